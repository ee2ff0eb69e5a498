import { createServer, request, type Server } from 'node:http'
import * as v from 'valibot'
import type { DecisionLog } from './decisionLog.js'

/** Time in which a peer answers, milliseconds; it is in the same region. */
const PEER_TIME = 120
/** Peers asked for one shortage. */
const PEERS_ASKED = 8
/** Peers asked at once, so that tokens are not gathered beyond the need. */
const PEERS_AT_ONCE = 3
/** Largest message between peers, bytes. */
const LARGEST_MESSAGE = 1000

const transferRequestSchema = v.object({ account: v.string(), tokens: v.pipe(v.number(), v.integer(), v.minValue(1)) })
const transferReplySchema = v.object({ tokens: v.pipe(v.number(), v.integer(), v.minValue(0)) })

/**
 * Asks peers for tokens while the store can't be reached. A peer counts what it hands over as used before it answers, so
 * that a lost or late answer loses tokens and never doubles them.
 */
export async function askPeers (peers: readonly string[], account: string, tokens: number, log: DecisionLog): Promise<number> {
  const start = Math.floor(Math.random() * Math.max(1, peers.length))
  const inOrder = [...peers.slice(start), ...peers.slice(0, start)].slice(0, PEERS_ASKED)
  let received = 0
  let asked = 0
  while (received < tokens && asked < inOrder.length) {
    const round = inOrder.slice(asked, asked + PEERS_AT_ONCE)
    asked += round.length
    const wanted = Math.ceil(tokens - received)
    const replies = await Promise.all(round.map(async (peer) => await askPeer(peer, account, wanted, log)))
    received += replies.reduce((sum, reply) => sum + reply, 0)
  }
  log.decision('peersAsked', { account, tokens, asked, received })
  return received
}

function askPeer (peer: string, account: string, tokens: number, log: DecisionLog): Promise<number> {
  const [host = '', port = ''] = peer.split(':')
  const body = JSON.stringify({ account, tokens })
  return new Promise((resolve) => {
    const fail = (reason: string): void => {
      log.decision('peerDidNotAnswer', { peer, account, reason })
      resolve(0)
    }
    const outgoing = request({ host, port: Number(port), method: 'POST', path: '/transfers', agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), PEER_TIME)
    outgoing.on('error', (error) => {
      clearTimeout(timer)
      fail(error.message)
    })
    outgoing.on('response', (incoming) => {
      let text = ''
      incoming.setEncoding('utf8')
      incoming.on('data', (chunk: string) => { text += chunk })
      incoming.on('error', (error) => fail(error.message))
      incoming.on('end', () => {
        clearTimeout(timer)
        const reply = v.safeParse(transferReplySchema, parseJson(text))
        if (reply.success) resolve(reply.output.tokens)
        else fail(`status ${incoming.statusCode ?? 0}`)
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

/** Serves peers' requests for tokens. */
export function createPeerListener (handOver: (account: string, tokens: number) => number, log: DecisionLog): Server {
  return createServer((incoming, response) => {
    let text = ''
    incoming.setEncoding('utf8')
    incoming.on('data', (chunk: string) => {
      text += chunk
      if (text.length > LARGEST_MESSAGE) incoming.destroy()
    })
    incoming.on('error', (error) => log.decision('peerRequestBroken', { reason: error.message }))
    incoming.on('end', () => {
      const message = v.safeParse(transferRequestSchema, parseJson(text))
      if (incoming.url !== '/transfers' || !message.success) {
        response.writeHead(400)
        response.end()
        return
      }
      const tokens = handOver(message.output.account, message.output.tokens)
      log.decision('tokensHandedOver', { account: message.output.account, asked: message.output.tokens, tokens })
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ tokens }))
    })
  })
}
