import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { PeerService, type TlsSettings } from '@quinceshunt/schemas'
import { readFileSync } from 'node:fs'
import { Agent as HttpAgent } from 'node:http'
import { Agent as HttpsAgent } from 'node:https'

/** Longest time for a call to a peer that names no shorter one, milliseconds. */
export const PEER_CALL_MILLISECONDS = 1000
/** Clients kept; a fleet of 390 instances fits. */
const CLIENTS_LIMIT = 512
/** Connections to one peer at most. */
const CONNECTIONS_PER_PEER = 4

/** Clients of peers by address. */
export interface PeerClients {
  client (address: string): Client<typeof PeerService>
  /** Closes idle connections. */
  close (): void
}

/** Creates clients on demand; with TLS enabled they present this instance's certificate. */
export function createPeerClients (tls: TlsSettings | undefined): PeerClients {
  const agent = createAgent(tls)
  const clients = new Map<string, Client<typeof PeerService>>()

  function create (address: string): Client<typeof PeerService> {
    return createClient(PeerService, createConnectTransport({
      baseUrl: tls?.enabled === true ? address.replace(/^http:/, 'https:') : address,
      httpVersion: '1.1',
      useBinaryFormat: true,
      defaultTimeoutMs: PEER_CALL_MILLISECONDS,
      nodeOptions: { agent }
    }))
  }

  return {
    client: (address) => {
      const known = clients.get(address)
      if (known !== undefined) return known
      const created = create(address)
      clients.set(address, created)
      for (const oldest of clients.keys()) {
        if (clients.size <= CLIENTS_LIMIT) break
        clients.delete(oldest)
      }
      return created
    },
    close: () => agent.destroy()
  }
}

function createAgent (tls: TlsSettings | undefined): HttpAgent | HttpsAgent {
  const options = { keepAlive: true, maxSockets: CONNECTIONS_PER_PEER }
  if (tls?.enabled !== true) return new HttpAgent(options)
  return new HttpsAgent({
    ...options,
    cert: readFileSync(tls.certificateFile),
    key: readFileSync(tls.keyFile),
    ca: tls.authorityFile === '' ? undefined : readFileSync(tls.authorityFile)
  })
}
