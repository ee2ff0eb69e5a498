import * as v from 'valibot'

/**
 * Bounds the tokens of a client account that instances may have drawn since the store was copied, so that an account is not
 * overspent when all processes that know of their draws are lost and the store is restored from the copy.
 *
 * Part of the prepaid tokens is closed to draws. The account's row announces when less will be closed, longer ahead than a
 * copy is old, so that each copy tells the most that may be drawn until the store is restored from it. After a loss everything
 * that the copy's row opens counts as drawn.
 */

/** Greatest age of a copy, at the time of the last write that it lacks, for which the bound holds: a third more than the drill's 9 s. */
export const MAX_COPY_AGE_MS = 12_000
/** Fraction of the remaining tokens that is closed at first: an account that is used up within 25 s uses half of it in `MAX_COPY_AGE_MS`. */
const CLOSED_DIVISOR = 3
/** Tokens of which nothing is closed, about a dozen long requests: single requests would wait for an announcement. */
const ALWAYS_OPEN_TOKENS = 150_000
/** Use that stays open from an announcement on: until it takes effect, and beyond for what homes hold in advance of their use. */
const OPEN_HORIZON_MS = 30_000
/** Bounds the length of the row. */
const ANNOUNCEMENT_INTERVAL_MS = 1000
/** Smaller changes are not announced, as a fraction of the remaining tokens. */
const MIN_CHANGE_DIVISOR = 100

const drawCeilingsSchema = v.object({
  /** Era of the store in which the account's draws from before it were last accounted for. */
  era: v.optional(v.number()),
  /** Tokens that count as drawn since nobody can tell whether they were. */
  withheld: v.number(),
  /** Tokens closed to draws from a store time on, in order of time; each is fewer than the one before. */
  steps: v.array(v.object({ closed: v.number(), from: v.number() }))
})

/** Limits to the draws on one client account. */
export type DrawCeilings = v.InferOutput<typeof drawCeilingsSchema>

/** Encodes the row of an account's ceilings. */
export function encodeDrawCeilings (ceilings: DrawCeilings): string {
  return JSON.stringify(ceilings)
}

/** Decodes the row of an account's ceilings. Throws a `SyntaxError` or `ValiError` when it is malformed. */
export function decodeDrawCeilings (value: string): DrawCeilings {
  return v.parse(drawCeilingsSchema, JSON.parse(value))
}

/** What is known of an account when its ceilings are brought into the current era. */
export interface AccountedDraws {
  readonly era: number | undefined
  readonly prepaid: number
  readonly granted: number
  /** Restores since the row was written after which draws may be unknown; 0 when all draws are recorded. */
  readonly losses: number
}

/** Returns the tokens that are closed without an announcement when `remaining` ones are not drawn. */
function initiallyClosed (remaining: number): number {
  return Math.floor(Math.max(0, remaining - ALWAYS_OPEN_TOKENS) / CLOSED_DIVISOR)
}

/** Returns the ceilings of the current era. An account without a row has drawn at most what is open without an announcement. */
export function accountForDraws (stored: DrawCeilings | undefined, { era, prepaid, granted, losses }: AccountedDraws): DrawCeilings {
  if (stored !== undefined && stored.era === era) return stored
  const ceilings = stored ?? { withheld: 0, steps: [{ closed: initiallyClosed(prepaid), from: 0 }] }
  let untouched = Math.min(...ceilings.steps.map(({ closed }) => closed))
  // The announcements since the copy are lost; an era opens its part without one, or accounts in use would wait for new ones.
  if (losses === 0) return stored === undefined ? { ...ceilings, era } : { era, withheld: stored.withheld, steps: [{ closed: initiallyClosed(untouched), from: 0 }] }
  // Each era in between may have opened its part of what was left, and its row is lost as well.
  for (let loss = 1; loss < losses && untouched > 0; loss++) untouched = initiallyClosed(untouched)
  const withheld = Math.max(ceilings.withheld, prepaid - untouched - granted)
  return { era, withheld, steps: [{ closed: initiallyClosed(prepaid - granted - withheld), from: 0 }] }
}

/** Returns the tokens that are closed to draws at a store time. */
export function closedTokens (ceilings: DrawCeilings, storeTime: number): number {
  return ceilings.steps.findLast(({ from }) => from <= storeTime)?.closed ?? Infinity
}

/** State of an account after a draw. */
export interface AnnouncementInput {
  /** Tokens that are neither granted nor withheld. */
  readonly ungranted: number
  /** Recent use, tokens per millisecond. */
  readonly rate: number
  /** Tokens by which waiting requests exceed the free ones. */
  readonly missingTokens: number
  readonly storeTime: number
}

/** Returns the ceilings with an announcement for the use to come; the same object when there is nothing to announce. */
export function announceCeiling (ceilings: DrawCeilings, { ungranted, rate, missingTokens, storeTime }: AnnouncementInput): DrawCeilings {
  const newest = ceilings.steps.at(-1)
  if (newest === undefined || newest.from > storeTime + MAX_COPY_AGE_MS - ANNOUNCEMENT_INTERVAL_MS) return ceilings
  const closed = Math.max(0, Math.floor(Math.min(initiallyClosed(ungranted), ungranted - rate * OPEN_HORIZON_MS - missingTokens)))
  if (closed >= newest.closed || (closed > 0 && newest.closed - closed < ungranted / MIN_CHANGE_DIVISOR)) return ceilings
  const current = ceilings.steps.findLastIndex(({ from }) => from <= storeTime)
  return { ...ceilings, steps: [...ceilings.steps.slice(Math.max(0, current)), { closed, from: storeTime + MAX_COPY_AGE_MS }] }
}
