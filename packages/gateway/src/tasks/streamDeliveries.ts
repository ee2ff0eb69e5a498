import { steadyNow } from '../clock.js'
import type { OwnStreams } from '../decisions/ownStreams.js'
import type { StreamOrigin } from '../decisions/streamOrigins.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

const FIRST_TIMEOUT_MS = 300
const MAX_TIMEOUT_MS = 2000
/** Pause before a home that did not take a message gets another one; doubles with each further one, like the timeout. */
const FIRST_PAUSE_MS = 250
/** A partition that has ended is noticed within this time. */
const MAX_PAUSE_MS = 2000
/** Random part of a pause, so that instances that lost a home together do not return to it together. */
const PAUSE_SPREAD = 0.25
const ORIGINS_PER_MESSAGE = 50
/** Messages in progress to homes that did not take the one before. In a large fleet nearly all homes can be silent at once. */
const MAX_PROBES = 8

/**
 * Delivers streams to their homes.
 *
 * Pattern: a hundred streams a second and more at one instance whose peers are cut off, all at once, for seconds. Each home gets one
 * message at a time with all that it does not know, and a silent one gets messages ever more rarely, so that what is sent does
 * not depend on how many streams begin.
 */
export interface StreamDeliveries {
  /** A home is to know a stream as it is now. */
  add (home: Peer, attemptId: string): void
  /** Sends what is due. */
  start (): void
  /** Sends one stream at once. Resolves once the home has replied, or can't. */
  deliver (home: Peer, attemptId: string): Promise<void>
}

/** Dependencies of the deliveries. */
export interface StreamDeliveriesOptions {
  readonly ownStreams: OwnStreams
  readonly findOrigin: (attemptId: string) => StreamOrigin | undefined
  /** The running process of an instance; undefined when it is not registered. */
  readonly currentIncarnation: (instanceId: string) => string | undefined
  /** Receives streams that a process is not told of any more, as it is gone, or that have changed since they were sent. */
  readonly onUndelivered: (attemptIds: Iterable<string>) => void
  readonly log: DecisionLog
  readonly count: (outcome: string) => void
  readonly post: Post
}

interface HomeQueue {
  readonly home: Peer
  readonly attemptIds: Set<string>
  isSending: boolean
  /** Consecutive messages that were not taken. */
  failures: number
  /** No message is sent before, by `steadyNow`. */
  nextAt: number
}

/** Creates deliveries without streams. */
export function createStreamDeliveries ({ ownStreams, findOrigin, currentIncarnation, onUndelivered, log, count, post }: StreamDeliveriesOptions): StreamDeliveries {
  const queues = new Map<string, HomeQueue>()
  let probes = 0
  let timer: NodeJS.Timeout | undefined

  function queueOf (home: Peer): HomeQueue {
    const known = queues.get(home.incarnationId)
    if (known !== undefined) return known
    const created = { home, attemptIds: new Set<string>(), isSending: false, failures: 0, nextAt: 0 }
    queues.set(home.incarnationId, created)
    return created
  }

  function isGone ({ home }: HomeQueue): boolean {
    return currentIncarnation(home.instanceId) !== home.incarnationId
  }

  function drop (queue: HomeQueue): void {
    queues.delete(queue.home.incarnationId)
    onUndelivered(queue.attemptIds)
  }

  async function postOrigins (home: Peer, attemptIds: readonly string[], timeoutMilliseconds: number): Promise<'taken' | 'notTaken'> {
    const origins = attemptIds.flatMap((attemptId) => findOrigin(attemptId) ?? [])
    if (origins.length === 0) return 'taken'
    const outcome = await post(home.address, PEER_PATH.streams, { to: home.incarnationId, origins }, timeoutMilliseconds)
    count(outcome.kind === 'answered' ? 'told' : 'notTold')
    switch (outcome.kind) {
      case 'answered':
        onUndelivered(origins.flatMap(({ attemptId, certainty }) => {
          const own = ownStreams.find(attemptId)
          if (own === undefined) return []
          if (own.toldAs !== certainty) return [attemptId]
          own.toldTo.add(home.incarnationId)
          return []
        }))
        return 'taken'
      // Its queue is dropped once the list of instances says so too: found again before, the home would be the same.
      case 'otherIncarnation': return 'notTaken'
      case 'failed':
        log.decision('peerDidNotAnswer', { peer: home.address, path: PEER_PATH.streams, reason: outcome.reason })
        return 'notTaken'
    }
  }

  function pauseOf ({ failures }: HomeQueue): number {
    return Math.min(MAX_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (failures - 1)) * (1 + PAUSE_SPREAD * Math.random())
  }

  async function send (queue: HomeQueue): Promise<void> {
    const batch = [...queue.attemptIds].slice(0, ORIGINS_PER_MESSAGE)
    for (const attemptId of batch) queue.attemptIds.delete(attemptId)
    const isProbe = queue.failures > 0
    if (isProbe) probes++
    queue.isSending = true
    const result = await postOrigins(queue.home, batch, Math.min(MAX_TIMEOUT_MS, FIRST_TIMEOUT_MS * 2 ** queue.failures))
    queue.isSending = false
    if (isProbe) probes--
    if (result === 'taken') {
      queue.failures = 0
      if (queue.attemptIds.size === 0) queues.delete(queue.home.incarnationId)
      return
    }
    for (const attemptId of batch) queue.attemptIds.add(attemptId)
    queue.failures++
    queue.nextAt = steadyNow() + pauseOf(queue)
  }

  function start (): void {
    clearTimeout(timer)
    const now = steadyNow()
    let wakeAt = Infinity
    for (const queue of queues.values()) {
      if (queue.isSending) continue
      if (queue.failures > 0 && isGone(queue)) {
        drop(queue)
        continue
      }
      if (queue.nextAt > now) wakeAt = Math.min(wakeAt, queue.nextAt)
      else if (queue.failures === 0 || probes < MAX_PROBES) send(queue).catch((error: unknown) => log.warning('streamsNotTold', { reason: String(error) })).finally(start)
    }
    if (wakeAt < Infinity) timer = setTimeout(start, wakeAt - now)
  }

  return {
    add: (home, attemptId) => { queueOf(home).attemptIds.add(attemptId) },
    start,
    deliver: async (home, attemptId) => {
      if (await postOrigins(home, [attemptId], FIRST_TIMEOUT_MS) === 'taken') return
      queueOf(home).attemptIds.add(attemptId)
      start()
    }
  }
}
