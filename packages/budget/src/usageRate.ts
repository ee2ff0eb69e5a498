/** Long enough to smooth out single long prompts. */
const TIME_CONSTANT_MS = 5_000

/** Exponentially weighted average of tokens used per second. */
export class UsageRate {
  #tokens = 0
  #updatedAt = 0

  /** Adds tokens used at `now` (Unix milliseconds). */
  add (tokens: number, now: number): void {
    this.#tokens = this.#decayedTokens(now) + tokens
    this.#updatedAt = now
  }

  /** Returns the average as of `now` (Unix milliseconds). */
  tokensPerSecond (now: number): number {
    return this.#decayedTokens(now) * 1000 / TIME_CONSTANT_MS
  }

  #decayedTokens (now: number): number {
    return this.#tokens * Math.exp(-Math.max(0, now - this.#updatedAt) / TIME_CONSTANT_MS)
  }
}
