import { bodyDelimiter, detectReset, handleArrivedEvents, isDelimitedByClose, isMalformedStatus, receiveResponse, type BodyDelimiter, type CloseVerdict } from '@quinceshunt/caller-connections'
import { Agent, request, type IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { steadyNow } from '../clock.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { BackendAgent, DEFAULT_IDLE_TIMEOUT_MS } from './backendAgent.js'

/** A round trip takes a few milliseconds. */
const CONNECT_TIMEOUT_MS = 400
/** Idle timeout of large fleets, whose instances send to a given engine every 10 to 20 s. */
export const LONG_IDLE_TIMEOUT_MS = 20_000

/** A connection on which nothing was read any more for this time has no bytes waiting in front of its end. */
const QUIET_MS = 15

/** One request to a backend server. */
export interface ExchangeRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer
  /**
   * Uses a connection of its own. A backend server may write a response once more, and a second copy for the same
   * request carries its ID, so that only the connection tells it from the response to the request that is sent again.
   */
  readonly needsNewConnection: boolean
  /** Judges a body that is delimited by the end of its connection, once that was closed in order; without it, such a body is whole. */
  readonly judgeClose?: () => Promise<CloseVerdict>
  /** The process that is listed at the address. */
  readonly backendProcess?: string
  /** Tells, before the request is sent, whether it may be sent on a connection. */
  readonly confirmConnection?: (connection: ConnectionOrigin) => Promise<boolean>
}

/**
 * Why an exchange broke: a backend server that sends an invalid head, such as one with an invalid status, has not crashed. A connection
 * that is not confirmed may lead to another process than the listed one.
 */
export type BreakCause = 'connection' | 'invalidHead' | 'unconfirmed'

/** Callbacks of an exchange. Exactly one of `onEnd` and `onBroken` is called, at the latest after an abort. */
export interface ExchangeListener {
  /** The request is being sent on an open connection. */
  readonly onConnected?: () => void
  readonly onHead: (incoming: IncomingMessage) => void
  readonly onData: (chunk: Buffer) => void
  /** The response is complete, as told by `delimiter`. */
  readonly onEnd: (delimiter: BodyDelimiter) => void
  /** `sent` is false when certainly no byte reached the backend server. */
  readonly onBroken: (sent: boolean, reason: string, cause: BreakCause) => void
}

/** A request in progress. */
export interface Exchange {
  abort (reason: string): void
  pause (): void
  resume (): void
  readonly reusedConnection: boolean
  /** Undefined until the connection is established. */
  readonly connection: ConnectionOrigin | undefined
}

/** Pool of connections to backend servers, by address. */
export interface BackendConnections {
  start (exchange: ExchangeRequest, listener: ExchangeListener): Exchange
  /** Closes the idle connections to an address. */
  closeIdle (address: string): void
  hasIdle (address: string): boolean
  /** When the idle connections to an address were established, by `steadyNow`. */
  idleConnections (address: string): readonly number[]
  /**
   * True while a connection is open, idle or in use, whose end would have been read by now: not while its exchange is paused, nor
   * while bytes come on it, behind which the end of a process that was killed may follow. One that has brought nothing yet may lead to
   * a forwarder only, which accepts connections for a process that has ended.
   */
  hasOpen (address: string): boolean
  /** When the connections that `hasOpen` counts were established, by `steadyNow`. */
  openConnections (address: string): readonly number[]
  closeAll (): void
}

/** Creates an empty connection pool. A backend server that announces a shorter idle timeout is believed. */
export function createBackendConnections (maximumIdleTimeout = DEFAULT_IDLE_TIMEOUT_MS): BackendConnections {
  const agents = new Map<string, Agent>()
  /** Connections of paused exchanges, which are not read. */
  const paused = new WeakSet<Socket>()
  const lastReadAt = new WeakMap<Socket, number>()
  /** By `steadyNow`. */
  const establishedAt = new WeakMap<Socket, number>()

  function agentFor (address: string): Agent {
    const found = agents.get(address)
    if (found !== undefined) return found
    const agent = new BackendAgent(maximumIdleTimeout)
    agents.set(address, agent)
    return agent
  }

  /** A request that Node does not open, such as one with a header that can't be written, is one that was not sent. */
  function start (exchange: ExchangeRequest, listener: ExchangeListener): Exchange {
    try {
      return open(exchange, listener)
    } catch (error) {
      queueMicrotask(() => listener.onBroken(false, (error as Error).message, 'connection'))
      return { abort: () => {}, pause: () => {}, resume: () => {}, reusedConnection: false, connection: undefined }
    }
  }

  function open (exchange: ExchangeRequest, listener: ExchangeListener): Exchange {
    const [host = '', port = ''] = exchange.address.split(':')
    let connected = false
    let isConfirming = false
    let finished = false
    let incoming: IncomingMessage | undefined
    let connection: ConnectionOrigin | undefined
    const headers = exchange.body.length > 0 || exchange.method === 'POST' || exchange.method === 'PUT'
      ? { ...exchange.headers, 'content-length': String(exchange.body.length) }
      : exchange.headers
    const agent = exchange.needsNewConnection ? new Agent({ keepAlive: false }) : agentFor(exchange.address)
    const outgoing = request({ agent, host, port: Number(port), method: exchange.method, path: exchange.path, headers, setHost: false })
    let connectTimer: NodeJS.Timeout | undefined

    function finish (report: () => void): void {
      if (finished) return
      finished = true
      clearTimeout(connectTimer)
      report()
    }
    async function confirmAndSend (established: ConnectionOrigin): Promise<void> {
      connection = established
      if (finished) return
      if (exchange.confirmConnection !== undefined) {
        isConfirming = true
        const isConfirmed = await exchange.confirmConnection(established)
        isConfirming = false
        if (!isConfirmed) return fail('another process may have replaced the listed one', 'unconfirmed')
      }
      send()
    }
    function sendOnConnection (socket: Socket): void {
      const at = establishedAt.get(socket) ?? steadyNow()
      establishedAt.set(socket, at)
      // The process that is listed now, as the one that was listed before may have been replaced when the connection was opened.
      confirmAndSend({ backendProcess: exchange.backendProcess ?? '', establishedAt: at }).catch((error: unknown) => fail(String(error)))
    }
    /** The headers and the body are sent only now, so that an exchange that is aborted before reaches no backend server. */
    function send (): void {
      if (finished) return
      connected = true
      listener.onConnected?.()
      outgoing.end(exchange.body.length > 0 ? exchange.body : undefined)
    }
    /** A kept connection that its server closes while it is confirmed shows no loss. */
    function fail (reason: string, cause: BreakCause = isConfirming ? 'unconfirmed' : 'connection'): void {
      finish(() => listener.onBroken(connected, reason, cause))
      outgoing.destroy()
    }
    /** In a process that was paused or behind, the timer fires before it is read that the connection was established. */
    async function failUnlessConnected (socket: Socket): Promise<void> {
      await handleArrivedEvents()
      if (socket.connecting) fail('connection timed out')
    }
    /** A response that can't be processed, such as one with a header that can't be forwarded, breaks only its own exchange. */
    function processResponse (callback: () => void): void {
      try {
        callback()
      } catch (error) {
        fail((error as Error).message)
      }
    }
    function complete (response: IncomingMessage): void {
      processResponse(() => {
        if (finished) return
        listener.onEnd(bodyDelimiter(response))
        finish(() => {})
      })
    }
    /** Completes a body that is delimited by the end of its connection. */
    async function completeClosed (response: IncomingMessage, isReset: boolean): Promise<void> {
      if (finished) return
      if (isReset) return fail('response ended with a connection reset')
      const verdict = await exchange.judgeClose?.()
      if (verdict?.kind === 'broken') fail(`response ended with its backend server: ${verdict.because}`)
      else complete(response)
    }
    outgoing.on('socket', (socket) => {
      socket.setNoDelay(true)
      if (!socket.connecting) {
        sendOnConnection(socket)
        return
      }
      connectTimer = setTimeout(() => { failUnlessConnected(socket).catch((error: unknown) => fail(String(error))) }, CONNECT_TIMEOUT_MS)
      socket.once('connect', () => {
        clearTimeout(connectTimer)
        // In a process that was paused or behind, the caller may have left while the connection was being established.
        handleArrivedEvents().then(() => sendOnConnection(socket), (error: unknown) => fail(String(error)))
      })
    })
    outgoing.on('error', (error) => {
      // Bytes after a whole response belong to no request. Node closes the connection, and the end of the response follows.
      if (incoming?.complete === true && !isDelimitedByClose(incoming)) return
      fail(error.message, isMalformedStatus(error) ? 'invalidHead' : undefined)
    })
    outgoing.on('close', () => { if (incoming === undefined) fail('connection closed without a response') })
    receiveResponse(outgoing, { onResponse: receive, onInvalid: (reason) => fail(reason, 'invalidHead') })
    function receive (response: IncomingMessage): void {
      if (finished) return
      incoming = response
      lastReadAt.set(response.socket, steadyNow())
      const resetDetection = detectReset(response)
      response.on('data', (chunk: Buffer) => {
        lastReadAt.set(response.socket, steadyNow())
        if (!finished) processResponse(() => listener.onData(chunk))
      })
      response.on('error', (error) => fail(error.message))
      response.on('end', () => {
        if (!response.complete) fail('incomplete response')
        else if (resetDetection !== undefined) resetDetection.then(async (isReset) => await completeClosed(response, isReset)).catch((error: unknown) => fail(String(error)))
        else complete(response)
      })
      response.on('close', () => { if (!response.complete || !response.readableEnded) fail('incomplete response') })
      processResponse(() => listener.onHead(response))
    }
    return {
      abort: (reason) => fail(reason, 'connection'),
      pause: () => {
        if (incoming === undefined) return
        paused.add(incoming.socket)
        incoming.pause()
      },
      resume: () => {
        if (incoming === undefined) return
        paused.delete(incoming.socket)
        incoming.resume()
      },
      get reusedConnection () { return outgoing.reusedSocket },
      get connection () { return connection }
    }
  }

  function closeIdle (address: string): void {
    for (const socket of idleSockets(address)) socket.destroy()
  }

  function idleSockets (address: string): readonly Socket[] {
    return Object.values(agents.get(address)?.freeSockets ?? {}).flatMap((sockets) => sockets ?? [])
  }

  function hasIdle (address: string): boolean {
    return idleSockets(address).length > 0
  }

  function isOpen (socket: Socket): boolean {
    const isQuiet = steadyNow() - (lastReadAt.get(socket) ?? Infinity) > QUIET_MS
    return isQuiet && !socket.connecting && !socket.destroyed && !socket.readableEnded && !paused.has(socket)
  }

  function openSockets (address: string): readonly Socket[] {
    const inUse = Object.values(agents.get(address)?.sockets ?? {}).flatMap((sockets) => sockets ?? [])
    return [...idleSockets(address), ...inUse.filter(isOpen)]
  }

  return {
    start,
    closeIdle,
    hasIdle,
    idleConnections: (address) => idleSockets(address).flatMap((socket) => establishedAt.get(socket) ?? []),
    hasOpen: (address) => openSockets(address).length > 0,
    openConnections: (address) => openSockets(address).flatMap((socket) => establishedAt.get(socket) ?? []),
    closeAll: () => { for (const agent of agents.values()) agent.destroy() }
  }
}
