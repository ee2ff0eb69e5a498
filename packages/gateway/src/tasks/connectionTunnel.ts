import { handleArrivedEvents, linger } from '@quinceshunt/caller-connections'
import { connect, type Socket } from 'node:net'

/** Names the incarnation that is to take the connection. */
export const TUNNEL_HEADER = 'x-forwarded-connection'
/** Version of the configuration that the peer must know, as callers of this instance have seen its effects. */
export const TUNNEL_CONFIGURATION_HEADER = 'x-configuration-version'
/** The asking instance is full, so that a reply waits there for some hundred milliseconds before it is read. */
const MAX_OPENING_MS = 500
const MAX_REPLY_BYTES = 512
const HEAD_END = '\r\n\r\n'
const ACCEPTED_LINE = 'HTTP/1.1 200 '

/** Reply to a peer whose connection is taken. */
export const TUNNEL_ACCEPTED = `${ACCEPTED_LINE}Connection Established${HEAD_END}`
/** Reply to a peer whose connection is not taken. */
export const TUNNEL_DECLINED = `HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0${HEAD_END}`

/** Why no tunnel was opened. The peer has got nothing of the caller's. */
export type TunnelFailure = 'declined' | 'unanswered'

/** The peer that is to take a connection. */
export interface TunnelTarget {
  readonly address: string
  readonly incarnationId: string
  /** It must know this version of the configuration. */
  readonly configurationVersion: number
}

/** Asks a peer to take a connection; resolves with the connection to it, on which the caller's bytes go from now on. */
export function openTunnel ({ address, incarnationId, configurationVersion }: TunnelTarget): Promise<Socket | TunnelFailure> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve) => {
    const tunnel = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    let received = Buffer.alloc(0)
    let isSettled = false
    const timer = setTimeout(() => { failUnlessReplied().catch(() => fail('unanswered')) }, MAX_OPENING_MS)
    const onError = (): void => fail('unanswered')
    const onEnd = (): void => fail('declined')

    /** In a process that is behind, the timer runs before a reply that has arrived is read. */
    async function failUnlessReplied (): Promise<void> {
      await handleArrivedEvents()
      fail('unanswered')
    }

    function fail (failure: TunnelFailure): void {
      if (isSettled) return
      isSettled = true
      clearTimeout(timer)
      tunnel.removeListener('end', onEnd)
      tunnel.destroy()
      resolve(failure)
    }

    function receive (chunk: Buffer): void {
      received = Buffer.concat([received, chunk])
      const headEnd = received.indexOf(HEAD_END)
      if (headEnd === -1 && received.length < MAX_REPLY_BYTES) return
      if (headEnd === -1 || !received.subarray(0, ACCEPTED_LINE.length).equals(Buffer.from(ACCEPTED_LINE))) return fail('declined')
      isSettled = true
      clearTimeout(timer)
      tunnel.pause()
      tunnel.removeListener('data', receive)
      tunnel.removeListener('end', onEnd)
      tunnel.removeListener('error', onError)
      const rest = received.subarray(headEnd + HEAD_END.length)
      if (rest.length > 0) tunnel.unshift(rest)
      resolve(tunnel)
    }

    tunnel.on('error', onError)
    tunnel.on('end', onEnd)
    tunnel.on('data', receive)
    tunnel.write(`CONNECT ${incarnationId} HTTP/1.1\r\nHost: ${address}\r\n${TUNNEL_HEADER}: ${incarnationId}\r\n${TUNNEL_CONFIGURATION_HEADER}: ${configurationVersion}${HEAD_END}`)
  })
}

/** How a joined connection ended before its peer had answered anything. */
export type TunnelLoss = 'ended' | 'silent'

/** Options of `joinTunnel`. */
export interface JoinOptions {
  /** The peer answers within this time, if at all. */
  readonly timeoutMilliseconds: number
  /** Returns the response to a caller whose request may have run at the peer. */
  readonly responseTo: (loss: TunnelLoss) => string
}

/**
 * Passes all bytes between a caller and a peer. An end of either side is passed on as an end, a reset as a reset, so that a response
 * that is not whole does not look complete. A caller that has sent something and got nothing gets a response all the same.
 */
export function joinTunnel (caller: Socket, tunnel: Socket, { timeoutMilliseconds, responseTo }: JoinOptions): void {
  let hasAnswered = false
  let isOver = false
  let isPassingOn = false

  function finish (end: () => void): void {
    if (isOver) return
    isOver = true
    caller.unpipe(tunnel)
    tunnel.unpipe(caller)
    end()
  }

  function endCaller (lastBytes?: string): void {
    if (lastBytes === undefined) caller.end()
    else caller.end(lastBytes)
    // The caller may still send the rest of a body whose response is whole.
    linger(caller)
  }

  function lose (loss: TunnelLoss): void {
    finish(() => {
      tunnel.destroy()
      if (hasAnswered) caller.resetAndDestroy()
      else if (caller.bytesRead === 0) caller.destroy()
      else endCaller(responseTo(loss))
    })
  }

  function endWithPeer (): void {
    finish(() => {
      tunnel.end()
      endCaller()
    })
  }

  /**
   * A caller's close that arrived behind its request, while the process was behind, is read in a later pass of the event loop. The
   * peer would have started the request by then.
   */
  function passOnIfPresent (firstBytes: Buffer): void {
    const held = [firstBytes]
    const hold = (chunk: Buffer): void => { held.push(chunk) }
    caller.on('data', hold)
    handleArrivedEvents().then(() => {
      caller.removeListener('data', hold)
      if (isOver) return
      isPassingOn = true
      for (const chunk of held) tunnel.write(chunk)
      caller.pipe(tunnel)
    }, () => lose('ended'))
  }

  function endUnlessPassingOn (): void {
    if (isPassingOn) return
    finish(() => {
      tunnel.destroy()
      caller.destroy()
    })
  }

  tunnel.once('data', () => { hasAnswered = true })
  tunnel.once('end', () => hasAnswered ? endWithPeer() : lose('ended'))
  tunnel.on('error', () => lose('ended'))
  tunnel.once('close', () => lose('ended'))
  tunnel.setTimeout(timeoutMilliseconds, () => lose('silent'))
  caller.on('error', () => finish(() => tunnel.resetAndDestroy()))
  caller.once('close', () => finish(() => tunnel.destroy()))
  caller.once('end', endUnlessPassingOn)
  caller.once('data', passOnIfPresent)
  tunnel.pipe(caller, { end: false })
}
