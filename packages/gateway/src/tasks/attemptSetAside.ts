import type { AttemptOutcome } from '../decisions/requestPlan.js'

/** The attempt that was set aside for a stall ends this long after its retry was sent, so that two backend servers don't work on a request for longer. */
const SET_ASIDE_MS = 250

/** Why an attempt is set aside: it makes no progress, or it is slower than usual and its request is sent a second time. */
export type SetAsideCause = 'stall' | 'secondSend'

/** An attempt that goes on until its retry elsewhere is answered. */
export interface AttemptSetAside {
  readonly cause: SetAsideCause
  /** True once the backend server has sent bytes again. */
  hasGoneOn: boolean
  /** Called when the backend server goes on, before any of its bytes are forwarded. */
  onGoneOn: () => void
  /** Resolves with the outcome of the attempt, which is checked for progress again from now on; undefined when it was given up. */
  resume (): Promise<AttemptOutcome> | undefined
  /** `isAnswered`: because the retry was answered. */
  giveUp (isAnswered?: boolean): void
}

/** Starts the time after which the attempt that was set aside is given up; one with a second send goes on until that is answered. */
export function limitSetAside (earlier: AttemptSetAside | undefined): NodeJS.Timeout | undefined {
  return earlier?.cause === 'stall' ? setTimeout(() => earlier.giveUp(), SET_ASIDE_MS) : undefined
}

/** What the attempt does when it is taken up again or given up. */
export interface SetAsideOwner {
  /** False once the backend server has gone on or the attempt was taken up again. */
  readonly isSetAside: () => boolean
  readonly takeUp: () => void
  readonly abort: () => void
  /** How the race with its second send ended; called at most once. */
  readonly settleRace: (outcome: 'won' | 'lost') => void
}

/** Creates the handle of an attempt that ends with `outcome`. */
export function createSetAside (cause: SetAsideCause, outcome: Promise<AttemptOutcome>, owner: SetAsideOwner): AttemptSetAside {
  let isGivenUp = false
  return {
    cause,
    hasGoneOn: false,
    onGoneOn: () => {},
    resume: () => {
      owner.takeUp()
      if (isGivenUp) return undefined
      owner.settleRace('lost')
      return outcome
    },
    giveUp: (isAnswered) => {
      if (!owner.isSetAside() || isGivenUp) return
      isGivenUp = true
      owner.settleRace(isAnswered === true ? 'won' : 'lost')
      owner.abort()
    }
  }
}
