import { Agent, createServer, request, type Server } from 'node:http'
import * as v from 'valibot'
import type { DecisionLog } from './decisionLog.js'

/** Peers are in the same region. */
const PEER_TIMEOUT_MS = 120
/** Several are needed, as each peer can transfer only the usable part of its grant. */
const MAX_PEERS_PER_SHORTAGE = 12
/** Limited, so that no more tokens than needed are collected. */
const PARALLEL_PEER_REQUESTS = 4
const MAX_MESSAGE_BYTES = 65_536

/** Longer than for other peers, as a holder may have to draw tokens first. */
const HOLDER_TIMEOUT_MS = 220
/** Holders tried for one request: normally, after which this instance draws itself, and while the store is unreachable. */
const MAX_HOLDER_REQUESTS = { normally: 2, withoutStore: 6 } as const

/** Reuses connections: in a large fleet most requests need tokens from a holder. */
const peerAgent = new Agent({ keepAlive: true, maxFreeSockets: 2, timeout: 10_000 })

const transferRequestSchema = v.object({ account: v.string(), tokens: v.pipe(v.number(), v.integer(), v.minValue(1)) })
const handOffSchema = v.object({ accounts: v.record(v.string(), v.pipe(v.number(), v.integer(), v.minValue(1))) })
const transferReplySchema = v.object({ tokens: v.pipe(v.number(), v.integer(), v.minValue(0)) })

/**
 * Requests tokens from peers while the store is unreachable. A peer counts transferred tokens as used before it responds,
 * so that a lost or late response loses tokens but never duplicates them.
 */
export async function requestFromPeers (peers: readonly string[], account: string, tokens: number, log: DecisionLog): Promise<number> {
  const start = Math.floor(Math.random() * Math.max(1, peers.length))
  const candidates = [...peers.slice(start), ...peers.slice(0, start)].slice(0, MAX_PEERS_PER_SHORTAGE)
  let received = 0
  let requestedPeers = 0
  while (received < tokens && requestedPeers < candidates.length) {
    const batch = candidates.slice(requestedPeers, requestedPeers + PARALLEL_PEER_REQUESTS)
    requestedPeers += batch.length
    const missingTokens = Math.ceil(tokens - received)
    const replies = await Promise.all(batch.map(async (peer) => await requestTransfer(peer, account, missingTokens, log)))
    received += replies.reduce((sum, reply) => sum + reply, 0)
  }
  log.decision('peersAsked', { account, tokens, asked: requestedPeers, received })
  return received
}

/** Requests tokens from an account's holders one after the other, in the given order, until `tokens` are received. */
export async function requestFromHolders (holders: readonly string[], account: string, tokens: number, isStoreUnreachable: boolean, log: DecisionLog): Promise<number> {
  let received = 0
  for (const holder of holders.slice(0, isStoreUnreachable ? MAX_HOLDER_REQUESTS.withoutStore : MAX_HOLDER_REQUESTS.normally)) {
    received += await requestTransfer(holder, account, Math.ceil(tokens - received), log, HOLDER_TIMEOUT_MS)
    if (received >= tokens) break
  }
  return received
}

async function requestTransfer (peer: string, account: string, tokens: number, log: DecisionLog, timeoutMilliseconds = PEER_TIMEOUT_MS): Promise<number> {
  const response = await postToPeer(peer, '/transfers', { account, tokens }, log, timeoutMilliseconds)
  const reply = v.safeParse(transferReplySchema, response)
  return reply.success ? reply.output.tokens : 0
}

/**
 * Sends all tokens of a stopping instance to one peer. The caller has removed them from its ledgers. A message without a
 * response is not sent to a second peer, as the first one may have accepted the tokens.
 */
export async function handOffToPeer (peers: readonly string[], tokens: ReadonlyMap<string, number>, log: DecisionLog): Promise<void> {
  const peer = peers[Math.floor(Math.random() * peers.length)]
  if (peer === undefined) return
  const response = await postToPeer(peer, '/hand-overs', { accounts: Object.fromEntries(tokens) }, log)
  log.event('tokensGivenAtStop', { peer, accounts: tokens.size, answered: response !== undefined })
}

/** Posts a message; resolves with undefined when there is no usable response. */
function postToPeer (peer: string, path: string, message: unknown, log: DecisionLog, timeoutMilliseconds = PEER_TIMEOUT_MS): Promise<unknown> {
  const [host = '', port = ''] = peer.split(':')
  const body = JSON.stringify(message)
  return new Promise((resolve) => {
    const outgoing = request({ host, port: Number(port), method: 'POST', path, agent: peerAgent, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => outgoing.destroy(new Error('no response in time')), timeoutMilliseconds)
    const fail = (reason: string): void => {
      clearTimeout(timer)
      log.decision('peerDidNotAnswer', { peer, path, reason })
      resolve(undefined)
    }
    outgoing.on('error', (error) => fail(error.message))
    outgoing.on('response', (incoming) => {
      let text = ''
      incoming.setEncoding('utf8')
      incoming.on('data', (chunk: string) => { text += chunk })
      incoming.on('error', (error) => fail(error.message))
      incoming.on('end', () => {
        if (incoming.statusCode !== 200) return fail(`status ${incoming.statusCode ?? 0}`)
        clearTimeout(timer)
        resolve(parseJson(text))
      })
    })
    outgoing.end(body)
  })
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    // Text that is not JSON fails the schema check of the caller.
    return undefined
  }
}

/** Handlers of messages from peers. */
export interface PeerHandlers {
  readonly transferOut: (account: string, tokens: number) => Promise<number>
  readonly transferIn: (account: string, tokens: number) => void
}

/** Creates the server for messages from peers, without binding it. */
export function createPeerListener (handlers: PeerHandlers, log: DecisionLog): Server {
  /** Resolves with the reply to a message, or with undefined when the message is malformed. */
  async function handleMessage (path: string, message: unknown): Promise<unknown> {
    switch (path) {
      case '/transfers': {
        const transferRequest = v.safeParse(transferRequestSchema, message)
        if (!transferRequest.success) return undefined
        const tokens = await handlers.transferOut(transferRequest.output.account, transferRequest.output.tokens)
        log.decision('tokensHandedOver', { account: transferRequest.output.account, asked: transferRequest.output.tokens, tokens })
        return { tokens }
      }
      case '/hand-overs': {
        const handOff = v.safeParse(handOffSchema, message)
        if (!handOff.success) return undefined
        for (const [account, tokens] of Object.entries(handOff.output.accounts)) handlers.transferIn(account, tokens)
        log.event('tokensTakenOver', { accounts: Object.keys(handOff.output.accounts).length })
        return {}
      }
      default: return undefined
    }
  }

  return createServer((incoming, response) => {
    let text = ''
    incoming.setEncoding('utf8')
    incoming.on('data', (chunk: string) => {
      text += chunk
      if (text.length > MAX_MESSAGE_BYTES) incoming.destroy()
    })
    incoming.on('error', (error) => log.decision('peerRequestBroken', { reason: error.message }))
    incoming.on('end', () => {
      handleMessage(incoming.url ?? '', parseJson(text)).then((reply) => {
        response.writeHead(reply === undefined ? 400 : 200, { 'content-type': 'application/json' })
        response.end(reply === undefined ? undefined : JSON.stringify(reply))
      }, (error: unknown) => {
        log.warning('peerMessageFailed', { path: incoming.url, reason: String(error) })
        response.destroy()
      })
    })
  })
}
