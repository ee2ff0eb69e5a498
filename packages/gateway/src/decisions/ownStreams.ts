import { assertNever } from '@quinceshunt/effects'
import type { ConnectionOrigin } from './processProofs.js'
import { UNKNOWN_VERSION, type StartEvidence, type StreamOrigin } from './streamOrigins.js'

/** A stream of this instance. */
export interface OwnStream {
  readonly origin: StreamOrigin
  evidence: StartEvidence
  /** Processes that were told of it. */
  readonly toldTo: Set<string>
  toldAs: StreamOrigin['certainty']
}

/** Streams of this instance, in the order in which they began. Times are on the clock that all instances share. */
export interface OwnStreams {
  /** Forgets a few of the oldest that have expired. */
  begin (origin: StreamOrigin, evidence: StartEvidence, now: number): void
  find (attemptId: string): OwnStream | undefined
  all (): IterableIterator<OwnStream>
  forgetExpired (now: number): void
  /** What others are told of a stream; undefined while its version may still turn out to be certain. */
  originToTell (own: OwnStream): StreamOrigin | undefined
  readonly size: number
}

/** Streams at most that are forgotten when one begins; more than one, so that those of a burst go too. */
const FORGOTTEN_PER_STREAM = 2

function uncertain (origin: StreamOrigin): StreamOrigin {
  return { ...origin, version: UNKNOWN_VERSION, certainty: 'uncertain' }
}

/** Creates an empty record. `isProven` is true when a connection certainly leads to the process that was listed when it was opened. */
export function createOwnStreams (isProven: (connection: ConnectionOrigin) => boolean): OwnStreams {
  const streams = new Map<string, OwnStream>()

  /** Streams expire in about the order in which they began. */
  function forgetOldest (now: number): void {
    let forgotten = 0
    for (const [attemptId, { origin }] of streams) {
      if (origin.expiresAt > now || forgotten >= FORGOTTEN_PER_STREAM) return
      streams.delete(attemptId)
      forgotten++
    }
  }

  return {
    begin: (origin, evidence, now) => {
      forgetOldest(now)
      streams.delete(origin.attemptId)
      streams.set(origin.attemptId, { origin, evidence, toldTo: new Set(), toldAs: undefined })
    },
    find: (attemptId) => streams.get(attemptId),
    all: () => streams.values(),
    forgetExpired: (now) => { for (const [attemptId, { origin }] of streams) if (origin.expiresAt <= now) streams.delete(attemptId) },
    originToTell: ({ origin, evidence }) => {
      switch (evidence.kind) {
        case 'proven': return { ...origin, certainty: 'certain' }
        case 'listed': return origin
        case 'connection':
          if (isProven(evidence.connection)) return { ...origin, certainty: 'certain' }
          return evidence.wasSuspect ? uncertain(origin) : undefined
        case 'refuted': return uncertain(origin)
        default: return assertNever(evidence)
      }
    },
    get size () { return streams.size }
  }
}
