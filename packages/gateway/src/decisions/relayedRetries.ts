import * as v from 'valibot'

/**
 * Retries of a relayed request. The instance that got the request from its caller hands out one attempt with each relay and grants
 * each further one when the peer asks for it, so that it knows what was handed out also when the peer is gone. It pays for them from
 * its retry budget, in which it has counted the request.
 */

/** What a peer is told of the retries that it may ask for. */
export const furtherAttemptsSchema = v.object({
  /** Process that grants them. */
  incarnationId: v.string(),
  relayId: v.string(),
  /** Backend servers beyond the first, at most. */
  attempts: v.pipe(v.number(), v.integer(), v.minValue(0))
})

/** What a peer is told of the retries that it may ask for. */
export type FurtherAttempts = v.InferOutput<typeof furtherAttemptsSchema>

/** `return` is a further send to a backend server that has the request already. */
export const retryKindSchema = v.picklist(['attempt', 'return'])
export type RetryKind = v.InferOutput<typeof retryKindSchema>

/** Attempts of a request, over this instance and its peers. */
export interface CountedAttempts {
  readonly maximumAttempts: number
  /** Sends that a backend server may have received, and attempts that were handed out to peers. */
  reachedBackends: number
}

/** Returns true when the request may be sent to one more backend server. */
export function hasAttemptLeft ({ maximumAttempts, reachedBackends }: CountedAttempts): boolean {
  return reachedBackends < maximumAttempts
}

/** Attempts that are handed out with one relay. */
export interface HandedOutAttempts {
  /** Hands out the first one. */
  handOut (): void
  /** Hands out one more if there is one and `pay` takes it from the retry budget; a `return` needs no attempt. */
  grant (kind: RetryKind, pay: () => boolean): boolean
  /** Takes all back, as the peer has sent the request to no backend server. */
  takeBack (): void
}

/** Counts the attempts of one relay of a request. */
export function createHandedOutAttempts (request: CountedAttempts): HandedOutAttempts {
  let handedOut = 0

  function handOut (): void {
    handedOut++
    request.reachedBackends++
  }

  return {
    handOut,
    grant: (kind, pay) => {
      if (kind === 'attempt' && !hasAttemptLeft(request)) return false
      if (!pay()) return false
      if (kind === 'attempt') handOut()
      return true
    },
    takeBack: () => {
      request.reachedBackends -= handedOut
      handedOut = 0
    }
  }
}
