import { processorTime, type EventLoopDelay } from '@quinceshunt/caller-connections'
import type { Metrics } from '@quinceshunt/telemetry'
import type { Socket } from 'node:net'
import { steadyNow } from '../clock.js'
import { choosePeerWithRoom, nextForwardedShare } from '../decisions/forwardedShare.js'
import type { GatewaySettings } from '../settings.js'
import { joinTunnel, openTunnel, type TunnelLoss } from './connectionTunnel.js'
import type { DecisionLog } from './decisionLog.js'
import { errorBody } from './errorBody.js'
import type { Peer } from './fleetTask.js'
import { createPeerRooms } from './peerRooms.js'

const INTERVAL_MS = 250
/** A peer that declines has been filled by another instance; the next one is asked at once, but not all in turn. */
const MAX_TRIES = 2
/** Forwarded connections that are open; each takes two file descriptors. */
const MAX_OPEN = 1000
/** Peers answer at a route's time limit themselves; a caller gets an answer within half a second after it. */
const ANSWER_MARGIN_MS = 250
/** An instance takes no connections of peers for this time after it has forwarded one of its own. */
const ACTIVE_MS = 1000

/** Forwards new connections to peers of the same failure domain while this instance has more to do than it can. */
export interface ConnectionForwarding {
  /** Forwards a caller's connection, or calls `serve` when it stays here. */
  accept (socket: Socket, serve: () => void): void
  /** True when a connection was forwarded within the last second. */
  readonly isActive: boolean
  /** Connections forwarded since the start. */
  readonly forwardedConnections: number
  /** Forwarded connections on which a request has begun to arrive. */
  readonly activeConnections: number
  /** Cuts off all, before the process ends. */
  cutOff (): void
}

/** Dependencies of the forwarding. */
export interface ConnectionForwardingOptions {
  readonly settings: Pick<GatewaySettings, 'failureDomain' | 'processorShare' | 'processorCores'>
  readonly peers: () => readonly Peer[]
  readonly eventLoopDelay: EventLoopDelay
  readonly isStopping: () => boolean
  /** 0 without a configuration. */
  readonly configurationVersion: () => number
  /** Of all routes. */
  readonly longestTimeoutMilliseconds: () => number
  readonly log: DecisionLog
  readonly metrics: Metrics
}

/** Starts to observe the processor. Without `processorShare` among the settings nothing is forwarded. */
export function startConnectionForwarding ({ settings, peers, eventLoopDelay, isStopping, configurationVersion, longestTimeoutMilliseconds, log, metrics }: ConnectionForwardingOptions): ConnectionForwarding {
  const rooms = createPeerRooms(() => peers().filter(({ failureDomain }) => failureDomain === settings.failureDomain))
  const open = new Set<Socket>()
  let share = 0
  /** New connections to forward since the last sample, those for which no room was known too. */
  let wantedConnections = 0
  let forwardedConnections = 0
  let activeUntil = 0
  let processorBefore = processorTime()
  let sampledAt = steadyNow()

  function sample (): void {
    const [now, processor] = [steadyNow(), processorTime()]
    const [interval, wanted] = [now - sampledAt, wantedConnections]
    wantedConnections = 0
    const load = settings.processorShare === undefined ? 0 : (processor - processorBefore) / interval / settings.processorShare / settings.processorCores
    processorBefore = processor
    sampledAt = now
    const before = share
    share = settings.processorShare === undefined ? 0 : nextForwardedShare(before, { processor: load, eventLoopDelayMilliseconds: eventLoopDelay.milliseconds })
    metrics.gauge('forwarded_share', share)
    if ((before === 0) !== (share === 0)) log.event('forwardingChanged', { isActive: share > 0, load: load.toFixed(2), eventLoopDelayMilliseconds: eventLoopDelay.milliseconds, peers: rooms.peers })
    if (wanted > 0) rooms.ask(wanted * 1000 / interval)
  }

  function responseTo (loss: TunnelLoss): string {
    metrics.count('forwarded_connections_lost_total', { loss })
    switch (loss) {
      case 'ended': return rawError('502 Bad Gateway', 'peer_connection_lost', 'the instance that served the request ended the connection')
      case 'silent': return rawError('504 Gateway Timeout', 'timeout', 'the instance that served the request did not answer in time')
    }
  }

  /** Opens a tunnel to a peer that has room; undefined when there is none, or when the peer does not answer. */
  async function findTunnel (): Promise<Socket | undefined> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const room = choosePeerWithRoom(rooms.current(), Math.random())
      if (room === undefined) return undefined
      room.take()
      const { address, incarnationId } = room.peer
      const tunnel = await openTunnel({ address, incarnationId, configurationVersion: configurationVersion() })
      if (typeof tunnel !== 'string') return tunnel
      metrics.count('forwarded_connections_total', { outcome: tunnel })
      log.decision('connectionNotForwarded', { peer: room.peer.instanceId, outcome: tunnel })
      rooms.forget(room.peer)
      if (tunnel === 'unanswered') return undefined
    }
    return undefined
  }

  async function forward (socket: Socket, serve: () => void): Promise<void> {
    const tunnel = await findTunnel()
    if (socket.destroyed) {
      tunnel?.destroy()
      return
    }
    if (tunnel === undefined) return serve()
    metrics.count('forwarded_connections_total', { outcome: 'forwarded' })
    forwardedConnections++
    activeUntil = steadyNow() + ACTIVE_MS
    open.add(socket)
    socket.once('close', () => open.delete(socket))
    joinTunnel(socket, tunnel, { timeoutMilliseconds: longestTimeoutMilliseconds() + ANSWER_MARGIN_MS, responseTo })
  }

  const timer = setInterval(sample, INTERVAL_MS)
  timer.unref()
  return {
    accept: (socket, serve) => {
      if (share === 0 || isStopping() || open.size >= MAX_OPEN || Math.random() >= share) return serve()
      wantedConnections++
      if (rooms.current().length === 0) {
        metrics.count('forwarded_connections_total', { outcome: 'no room' })
        return serve()
      }
      const ignoreError = (): void => {}
      // A caller that leaves meanwhile closes a connection without listeners.
      socket.on('error', ignoreError)
      forward(socket, serve)
        .catch((error: unknown) => log.warning('forwardingFailed', { reason: String(error) }))
        .finally(() => socket.removeListener('error', ignoreError))
    },
    get isActive () { return steadyNow() < activeUntil },
    get forwardedConnections () { return forwardedConnections },
    get activeConnections () { return [...open].filter(({ bytesRead, writableFinished }) => bytesRead > 0 && !writableFinished).length },
    cutOff: () => { for (const socket of open) if (!socket.writableFinished) socket.resetAndDestroy() }
  }
}

function rawError (statusLine: string, code: string, message: string): string {
  const body = errorBody({ code, message, run: 'unknown' })
  return `HTTP/1.1 ${statusLine}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\nConnection: close\r\n\r\n${body}`
}
