import type { Metrics } from '@quinceshunt/telemetry'
import { createRoomIssuer, type QueueAnswer, type RoomIssuingPower, type RoomReply, type RoomRequest } from '../decisions/roomIssuer.js'

/** Metrics of the lines of requests that wait for room. */
export type RoomMetrics = Pick<Metrics, 'count' | 'gauge' | 'record'>

/** Dependencies of the issuing of room. */
export interface RoomLinesOptions {
  readonly powerOf: (service: string) => RoomIssuingPower
  /** Time on the clock that all instances share. */
  readonly sharedNow: () => number
  /** Bounds the labels of metrics, as peers name the services. */
  readonly isListed: (service: string) => boolean
  readonly metrics: RoomMetrics | undefined
}

/** Issues room to all instances, also to this one. */
export interface RoomLines {
  /** Resolves later for a request that is queued. */
  issue (request: RoomRequest): RoomReply | Promise<RoomReply>
}

/** Creates an issuer without requests in line. */
export function createRoomLines ({ powerOf, sharedNow, isListed, metrics }: RoomLinesOptions): RoomLines {
  const issuer = createRoomIssuer()
  const waiters = new Map<string, (reply: RoomReply) => void>()

  function keyOf (service: string, { instanceId, sequence }: Pick<QueueAnswer, 'instanceId' | 'sequence'>): string {
    return JSON.stringify([service, instanceId, sequence])
  }

  function count (service: string, outcome: string): void {
    if (isListed(service)) metrics?.count('room_line_total', { service, outcome })
  }

  function giveAnswers (service: string): void {
    for (const answer of issuer.takeAnswers(service, powerOf(service), sharedNow())) {
      const key = keyOf(service, answer)
      waiters.get(key)?.(answer.reply)
      waiters.delete(key)
      count(service, answer.reply.kind === 'noted' ? 'withdrawn' : answer.reply.kind)
      metrics?.record('room_wait', answer.waitedMilliseconds)
    }
    if (isListed(service)) metrics?.gauge('room_line_length', issuer.lineLength(service), { service })
  }

  return {
    issue: (request) => {
      const { service } = request
      const power = powerOf(service)
      const now = sharedNow()
      const reply = issuer.handleOrQueue(request, power, now)
      if (power.hasLine !== true) return reply.kind === 'queued' ? { kind: 'noted' } : reply
      // Registered before answers are given: the request's own answer may be among them when its wait is short.
      const answer = reply.kind === 'queued' ? new Promise<RoomReply>((resolve) => { waiters.set(keyOf(service, request), resolve) }) : undefined
      giveAnswers(service)
      if (reply.kind === 'denied') count(service, 'denied')
      if (reply.kind !== 'queued' || answer === undefined) return reply.kind === 'queued' ? { kind: 'noted' } : reply
      count(service, 'queued')
      // Rounded up, as a timer that fires too early would find that the wait has not ended.
      setTimeout(() => giveAnswers(service), Math.ceil(reply.answerAt - now) + 1)
      return answer
    }
  }
}
