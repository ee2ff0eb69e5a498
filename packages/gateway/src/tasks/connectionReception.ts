import type { EventLoopDelay } from '@quinceshunt/caller-connections'
import type { Metrics } from '@quinceshunt/telemetry'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { connectionRoom } from '../decisions/connectionRoom.js'
import type { GatewaySettings } from '../settings.js'
import { answerRoomRequest } from './connectionRoom.js'
import { TUNNEL_ACCEPTED, TUNNEL_CONFIGURATION_HEADER, TUNNEL_DECLINED, TUNNEL_HEADER } from './connectionTunnel.js'
import { BYTES_PER_MEGABIT, type MeasuredUse } from './measuredUse.js'
import type { MessageResult } from './peerMessages.js'

/** A process that is this late with its work takes no connections of other instances. */
const MAX_EVENT_LOOP_DELAY_MS = 250

/** The connections that peers forward to this instance. */
export interface ConnectionReception {
  /** Takes what was used in the last second, from which the room for the next one follows. */
  note (use: MeasuredUse): void
  /** Tells a peer how many connections are still taken in this second. Nothing is reserved: which peers forward how many is not known before. */
  answer (message: unknown): MessageResult
  /** Takes the connection on which a peer has sent CONNECT, or declines it. */
  receive (incoming: IncomingMessage, socket: Socket): void
  isReceived (socket: Socket): boolean
  /** Connections taken since the start. */
  readonly receivedConnections: number
}

/** Dependencies of the reception. */
export interface ConnectionReceptionOptions {
  readonly incarnationId: string
  readonly settings: Pick<GatewaySettings, 'linkMegabitsPerSecond' | 'processorShare' | 'processorCores'>
  /** False while the instance takes no new callers, or forwards its own. */
  readonly hasRoom: () => boolean
  /** 0 without a configuration. */
  readonly configurationVersion: () => number
  readonly eventLoopDelay: EventLoopDelay
  /** Serves a connection like one that a caller has opened here. */
  readonly serve: (socket: Socket) => void
  readonly metrics: Metrics
}

/** Creates a reception without room until the first second has been measured, and always without the capacities among the settings. */
export function createConnectionReception ({ incarnationId, settings, hasRoom, configurationVersion, eventLoopDelay, serve, metrics }: ConnectionReceptionOptions): ConnectionReception {
  const received = new WeakSet<Socket>()
  /** Of this second and the one before, of which a peer may have been told. */
  let room = 0
  let roomBefore = 0
  let taken = 0
  let receivedConnections = 0

  function declineReason (incoming: IncomingMessage): string | undefined {
    if (incoming.headers[TUNNEL_HEADER] !== incarnationId) return 'another process'
    // Callers of the other instance may have seen the effects of its version.
    if (!(Number(incoming.headers[TUNNEL_CONFIGURATION_HEADER]) <= configurationVersion())) return 'older configuration'
    if (!hasRoom()) return 'not ready'
    if (eventLoopDelay.milliseconds > MAX_EVENT_LOOP_DELAY_MS) return 'behind with its work'
    return taken < Math.max(room, roomBefore) ? undefined : 'no room'
  }

  return {
    note: ({ sampledMilliseconds, requests, receivedBytes, sentBytes, processorMilliseconds }) => {
      const { linkMegabitsPerSecond, processorShare, processorCores } = settings
      roomBefore = room
      room = linkMegabitsPerSecond === undefined && processorShare === undefined
        ? 0
        : connectionRoom({
          processorMilliseconds,
          availableProcessorMilliseconds: (processorShare ?? Infinity) * processorCores * sampledMilliseconds,
          linkBytes: Math.max(receivedBytes, sentBytes),
          availableLinkBytes: (linkMegabitsPerSecond ?? Infinity) * BYTES_PER_MEGABIT * sampledMilliseconds / 1000,
          requests,
          taken
        })
      taken = 0
      metrics.gauge('connection_room', room)
    },
    answer: (message) => answerRoomRequest(message, incarnationId, hasRoom() ? Math.max(0, room - taken) : 0),
    receive: (incoming, socket) => {
      // Those of the listener for messages; its parser is gone.
      socket.removeAllListeners('data')
      const reason = declineReason(incoming)
      metrics.count('received_connections_total', { outcome: reason ?? 'taken' })
      if (reason !== undefined) {
        socket.on('error', () => {})
        socket.end(TUNNEL_DECLINED, () => socket.destroy())
        return
      }
      taken++
      receivedConnections++
      received.add(socket)
      socket.write(TUNNEL_ACCEPTED)
      serve(socket)
    },
    isReceived: (socket) => received.has(socket),
    get receivedConnections () { return receivedConnections }
  }
}
