import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService, type TlsSettings } from '@quinceshunt/schemas'
import { readFileSync } from 'node:fs'
import { Agent as HttpAgent } from 'node:http'
import { Agent as HttpsAgent } from 'node:https'

/** Default timeout of a call to a peer. */
export const PEER_CALL_TIMEOUT_MS = 1000
/** Enough for a fleet of 390 instances. */
const MAX_CACHED_CLIENTS = 512
const MAX_CONNECTIONS_PER_PEER = 4

/** Cache of peer clients by address. */
export interface PeerClients {
  client (address: string): Client<typeof PeerService>
  /** Closes idle connections. */
  close (): void
}

/** Creates clients on demand; with TLS enabled they present this instance's certificate. */
export function createPeerClients (tls: TlsSettings | undefined): PeerClients {
  const agent = createAgent(tls)
  const clients = new Map<string, Client<typeof PeerService>>()

  function createPeerClient (address: string): Client<typeof PeerService> {
    return createClient(PeerService, createConnectTransport({
      baseUrl: tls?.enabled === true ? address.replace(/^http:/, 'https:') : address,
      httpVersion: '1.1',
      useBinaryFormat: true,
      defaultTimeoutMs: PEER_CALL_TIMEOUT_MS,
      nodeOptions: { agent }
    }))
  }

  return {
    client: (address) => {
      const cached = clients.get(address)
      if (cached !== undefined) return cached
      const created = createPeerClient(address)
      clients.set(address, created)
      for (const oldest of clients.keys()) {
        if (clients.size <= MAX_CACHED_CLIENTS) break
        clients.delete(oldest)
      }
      return created
    },
    close: () => agent.destroy()
  }
}

function createAgent (tls: TlsSettings | undefined): HttpAgent | HttpsAgent {
  const options = { keepAlive: true, maxSockets: MAX_CONNECTIONS_PER_PEER }
  if (tls?.enabled !== true) return new HttpAgent(options)
  return new HttpsAgent({
    ...options,
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ca: tls.authorityFile === '' ? undefined : readFileSync(tls.authorityFile)
  })
}
