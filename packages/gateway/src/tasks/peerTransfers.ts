import { Agent, createServer, request, type Server } from 'node:http'
import * as v from 'valibot'
import type { DecisionLog } from './decisionLog.js'

/** Time in which a peer answers, milliseconds; it is in the same region. */
const PEER_TIMEOUT_MS = 120
/** Peers asked for one shortage; each can give only what is open of its grant. */
const MAX_PEERS_PER_SHORTAGE = 12
/** Peers asked at once, so that tokens are not gathered beyond the need. */
const PARALLEL_PEER_REQUESTS = 4
/** Largest message between peers, bytes. */
const MAX_MESSAGE_BYTES = 65_536

/** Time in which a holder answers, milliseconds; it may have to draw first. */
const HOLDER_TIMEOUT_MS = 220
/** Holders asked for one need before this instance draws for itself, and while the store can't be reached. */
const MAX_HOLDER_REQUESTS = { normally: 2, withoutStore: 6 } as const

/** Kept connections to peers; a holder is asked for most requests of a large fleet. */
const peerAgent = new Agent({ keepAlive: true, maxFreeSockets: 2, timeout: 10_000 })

const transferRequestSchema = v.object({ account: v.string(), tokens: v.pipe(v.number(), v.integer(), v.minValue(1)) })
const handOffSchema = v.object({ accounts: v.record(v.string(), v.pipe(v.number(), v.integer(), v.minValue(1))) })
const transferReplySchema = v.object({ tokens: v.pipe(v.number(), v.integer(), v.minValue(0)) })

/**
 * Asks peers for tokens while the store can't be reached. A peer counts what it hands over as used before it answers, so
 * that a lost or late answer loses tokens and never doubles them.
 */
export async function requestFromPeers (peers: readonly string[], account: string, tokens: number, log: DecisionLog): Promise<number> {
  const start = Math.floor(Math.random() * Math.max(1, peers.length))
  const candidates = [...peers.slice(start), ...peers.slice(0, start)].slice(0, MAX_PEERS_PER_SHORTAGE)
  let received = 0
  let asked = 0
  while (received < tokens && asked < candidates.length) {
    const batch = candidates.slice(asked, asked + PARALLEL_PEER_REQUESTS)
    asked += batch.length
    const wanted = Math.ceil(tokens - received)
    const replies = await Promise.all(batch.map(async (peer) => await requestTransfer(peer, account, wanted, log)))
    received += replies.reduce((sum, reply) => sum + reply, 0)
  }
  log.decision('peersAsked', { account, tokens, asked, received })
  return received
}

/** Asks an account's holders in turn, in the order given, until the need is met. */
export async function requestFromHolders (holders: readonly string[], account: string, tokens: number, isStoreUnreachable: boolean, log: DecisionLog): Promise<number> {
  let received = 0
  for (const holder of holders.slice(0, isStoreUnreachable ? MAX_HOLDER_REQUESTS.withoutStore : MAX_HOLDER_REQUESTS.normally)) {
    received += await requestTransfer(holder, account, Math.ceil(tokens - received), log, HOLDER_TIMEOUT_MS)
    if (received >= tokens) break
  }
  return received
}

async function requestTransfer (peer: string, account: string, tokens: number, log: DecisionLog, timeoutMilliseconds = PEER_TIMEOUT_MS): Promise<number> {
  const answer = await postToPeer(peer, '/transfers', { account, tokens }, log, timeoutMilliseconds)
  const reply = v.safeParse(transferReplySchema, answer)
  return reply.success ? reply.output.tokens : 0
}

/**
 * Hands all tokens of a stopping instance to one peer. They have left the books before, and a message without an answer
 * is not sent to a second peer, as the first may have taken them.
 */
export async function handOffToPeer (peers: readonly string[], tokens: ReadonlyMap<string, number>, log: DecisionLog): Promise<void> {
  const peer = peers[Math.floor(Math.random() * peers.length)]
  if (peer === undefined) return
  const answer = await postToPeer(peer, '/hand-overs', { accounts: Object.fromEntries(tokens) }, log)
  log.event('tokensGivenAtStop', { peer, accounts: tokens.size, answered: answer !== undefined })
}

/** Posts a message; undefined when there is no usable answer. */
function postToPeer (peer: string, path: string, message: unknown, log: DecisionLog, timeoutMilliseconds = PEER_TIMEOUT_MS): Promise<unknown> {
  const [host = '', port = ''] = peer.split(':')
  const body = JSON.stringify(message)
  return new Promise((resolve) => {
    const outgoing = request({ host, port: Number(port), method: 'POST', path, agent: peerAgent, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMilliseconds)
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
    // The schema check that follows reports a text that is no JSON.
    return undefined
  }
}

/** What peers' messages act on. */
export interface PeerHandlers {
  readonly transferOut: (account: string, tokens: number) => Promise<number>
  readonly transferIn: (account: string, tokens: number) => void
}

/** Serves peers' messages. */
export function createPeerListener (handlers: PeerHandlers, log: DecisionLog): Server {
  /** Answer of a message; undefined when it can't be read. */
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
