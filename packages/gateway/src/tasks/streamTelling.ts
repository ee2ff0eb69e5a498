import { steadyNow } from '../clock.js'
import type { OwnStreams } from '../decisions/ownStreams.js'
import type { StreamOrigin } from '../decisions/streamOrigins.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { createStreamDeliveries } from './streamDeliveries.js'
import type { Post } from './tokenLoans.js'

/** Interval at which streams are reviewed whose version may still turn out to be certain. */
const REVIEW_INTERVAL_MS = 250
/** Streams whose homes are found in one pass of the event loop; finding them ranks all instances. */
const ORIGINS_PER_PASS = 50

/** Tells the streams of this instance to their homes until all of them know each stream as it is now. */
export interface StreamTelling {
  /** Some homes of these streams may not know them. */
  add (attemptIds: readonly string[]): void
  /** Tells one stream as it is now. Resolves once its homes have replied, or can't. */
  tell (attemptId: string): Promise<void>
  /** More may be certain of the streams that wait. */
  noteProcessAsked (): void
}

/** Dependencies of the task. */
export interface StreamTellingOptions {
  readonly ownStreams: OwnStreams
  /** What is known of a stream now. */
  readonly findOrigin: (attemptId: string) => StreamOrigin | undefined
  /** Homes of a stream without this instance. */
  readonly homesOf: (attemptId: string) => readonly Peer[]
  /** The running process of an instance; undefined when it is not registered. */
  readonly currentIncarnation: (instanceId: string) => string | undefined
  readonly sharedNow: () => number
  readonly log: DecisionLog
  readonly count: (outcome: string) => void
  readonly post: Post
}

/** Creates the task without streams. */
export function createStreamTelling ({ ownStreams, findOrigin, homesOf, currentIncarnation, sharedNow, log, count, post }: StreamTellingOptions): StreamTelling {
  /** Streams some of whose homes may not know them yet. */
  const untold = new Set<string>()
  /** Streams whose version may still turn out to be certain, which their homes know as they are or not at all. */
  const waiting = new Set<string>()
  const deliveries = createStreamDeliveries({ ownStreams, findOrigin, currentIncarnation, onUndelivered: add, log, count, post })
  /** The next telling; undefined when none is scheduled. */
  let telling: { readonly at: number, readonly timer: NodeJS.Timeout } | undefined

  function schedule (delayMilliseconds: number): void {
    if (untold.size + waiting.size === 0) return
    const at = steadyNow() + delayMilliseconds
    if (telling !== undefined && telling.at <= at) return
    clearTimeout(telling?.timer)
    const timer = setTimeout(() => {
      telling = undefined
      tellHomes()
    }, delayMilliseconds)
    telling = { at, timer }
  }

  function forgetExpired (): void {
    ownStreams.forgetExpired(sharedNow())
    for (const attemptIds of [untold, waiting]) for (const attemptId of attemptIds) if (ownStreams.find(attemptId) === undefined) attemptIds.delete(attemptId)
  }

  function endWaiting (): void {
    for (const attemptId of waiting) {
      const own = ownStreams.find(attemptId)
      if (own === undefined || ownStreams.originToTell(own)?.certainty === own.toldAs) continue
      waiting.delete(attemptId)
      untold.add(attemptId)
    }
  }

  /** Hands the streams that are to be told to the deliveries. */
  function deliverUntold (): void {
    for (const attemptId of [...untold].slice(0, ORIGINS_PER_PASS)) {
      untold.delete(attemptId)
      const own = ownStreams.find(attemptId)
      if (own === undefined) continue
      const origin = ownStreams.originToTell(own)
      if (origin?.certainty !== 'certain' && own.evidence.kind === 'connection') waiting.add(attemptId)
      if (origin === undefined) continue
      if (origin.certainty !== own.toldAs) own.toldTo.clear()
      own.toldAs = origin.certainty
      for (const home of homesOf(attemptId)) if (!own.toldTo.has(home.incarnationId)) deliveries.add(home, attemptId)
    }
    deliveries.start()
  }

  function tellHomes (): void {
    forgetExpired()
    endWaiting()
    deliverUntold()
    schedule(untold.size > 0 ? 0 : REVIEW_INTERVAL_MS)
  }

  function add (attemptIds: Iterable<string>): void {
    for (const attemptId of attemptIds) untold.add(attemptId)
    schedule(0)
  }

  return {
    add,
    tell: async (attemptId) => {
      const own = ownStreams.find(attemptId)
      if (own === undefined) return
      own.toldTo.clear()
      own.toldAs = ownStreams.originToTell(own)?.certainty
      await Promise.all(homesOf(attemptId).map(async (home) => await deliveries.deliver(home, attemptId)))
    },
    noteProcessAsked: () => schedule(0)
  }
}
