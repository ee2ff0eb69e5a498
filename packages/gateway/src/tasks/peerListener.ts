import { createPipelineLimit, parseInPieces } from '@quinceshunt/caller-connections'
import { createByteCollector, createSharedLimit } from '@quinceshunt/memory-limits'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { RELAY_HEADER } from '../decisions/relayEnvelope.js'
import { createPeerMessageHandler, MAX_MESSAGE_BYTES, parseJson, PEER_STATUS, type PeerListenerOptions } from './peerMessages.js'

/** That of the callers' listener, and an envelope beside. */
const MAX_HEADER_BYTES = 36_864
/** Of all messages without a reply: 250 of the largest ones, or 16,000 usual ones. */
const MAX_MESSAGES_BYTES = 16_777_216
/** Peers wait for the reply to a message before they send another one on its connection. */
const MAX_UNANSWERED_MESSAGES = 8
/** The longest time that a sender waits for a reply. */
const MAX_ARRIVAL_MS = 2000
const HEADERS_TIMEOUT_MS = 5000
const CONNECTIONS_CHECK_INTERVAL_MS = 1000

/** Handles a request that another instance relays to this one. */
export type RelayHandler = (incoming: IncomingMessage, response: ServerResponse) => void

/** Creates the server for messages from peers, without binding it. */
export function createPeerListener (options: PeerListenerOptions, handleRelayed: RelayHandler): Server {
  const { log } = options
  const handleMessage = createPeerMessageHandler(options)
  const pipelines = createPipelineLimit(MAX_UNANSWERED_MESSAGES)
  /** The holders are connections: peers and a process outside the fleet may have the same address. */
  const messagesLimit = createSharedLimit(MAX_MESSAGES_BYTES)

  function receiveMessage (incoming: IncomingMessage, response: ServerResponse): void {
    const { socket } = incoming
    const sender = `${socket.remoteAddress ?? ''}:${socket.remotePort ?? ''}`
    const holding = messagesLimit.open(sender)
    const collector = createByteCollector(holding, MAX_MESSAGE_BYTES)
    const timer = setTimeout(() => incoming.destroy(new Error('the message did not arrive in time')), MAX_ARRIVAL_MS)
    let isRefused = false
    // A response behind another one of a closed connection has no event of its own.
    function release (): void {
      clearTimeout(timer)
      holding.release()
      socket.removeListener('close', release)
      response.removeListener('finish', release)
    }
    socket.once('close', release)
    response.once('finish', release)

    /** Must not follow the handling of this copy: the sender goes to another home, unless an earlier copy may have been handled. */
    function refuse (reason: string): void {
      isRefused = true
      log.decision('peerMessageRefused', { path: incoming.url?.slice(0, 100), sender, reason })
      response.writeHead(PEER_STATUS.overloaded, { connection: 'close' })
      response.end()
    }

    incoming.on('data', (chunk: Buffer) => {
      if (isRefused || collector.tryAppend(chunk)) return
      if (collector.length + chunk.length > MAX_MESSAGE_BYTES) incoming.destroy(new Error(`the message is larger than ${MAX_MESSAGE_BYTES} bytes`))
      else refuse('the messages without a reply take too much memory')
    })
    incoming.on('error', (error) => log.decision('peerRequestBroken', { reason: error.message }))
    incoming.on('end', () => {
      clearTimeout(timer)
      if (isRefused) return
      const reply = handleMessage(incoming.url ?? '', parseJson(collector.bytes().toString()), sender)
      if (reply === 'overloaded') return refuse('too many messages within a minute')
      if (reply === undefined) {
        // Peers send few of these, if any. Each large one costs several times its bytes until memory is collected.
        response.writeHead(PEER_STATUS.badRequest, { connection: 'close' })
        response.end()
        return
      }
      if (reply === 'otherIncarnation') {
        response.writeHead(PEER_STATUS.otherIncarnation)
        response.end()
        return
      }
      reply.then((value) => {
        response.writeHead(PEER_STATUS.ok, { 'content-type': 'application/json' })
        response.end(JSON.stringify(value))
      }, (error: unknown) => {
        log.warning('peerMessageFailed', { path: incoming.url, reason: String(error) })
        response.destroy()
      })
    })
  }

  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, headersTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: CONNECTIONS_CHECK_INTERVAL_MS }, (incoming, response) => {
    if (incoming.headers[RELAY_HEADER] !== undefined) return handleRelayed(incoming, response)
    const admission = pipelines.admit(incoming, response)
    if (admission.kind === 'ignored') return
    if (admission.kind === 'last') response.setHeader('connection', 'close')
    receiveMessage(incoming, response)
  })
  parseInPieces(server)
  return server
}
