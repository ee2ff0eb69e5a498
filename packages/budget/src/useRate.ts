/** Time constant of the average, milliseconds; long enough to smooth single long prompts. */
const AVERAGE_MILLISECONDS = 5_000

/** Exponentially weighted average of tokens used per second. */
export class UseRate {
  #tokens = 0
  #updatedAt = 0

  /** Adds tokens used at `now` (Unix milliseconds). */
  add (tokens: number, now: number): void {
    this.#tokens = this.#decayed(now) + tokens
    this.#updatedAt = now
  }

  /** Average as of `now`. */
  tokensPerSecond (now: number): number {
    return this.#decayed(now) * 1000 / AVERAGE_MILLISECONDS
  }

  #decayed (now: number): number {
    return this.#tokens * Math.exp(-Math.max(0, now - this.#updatedAt) / AVERAGE_MILLISECONDS)
  }
}
