import type { PeerIdentity } from '@quinceshunt/schemas'

/** Longest time between a request and its caller's retry that is covered: the longest request deadline. */
export const INCARNATION_MEMORY_MILLISECONDS = 3_600_000

interface KnownIncarnation {
  readonly instanceId: string
  readonly heardAt: number
  readonly leaving: boolean
}

/** Remembers which processes of other instances ended without a planned stop: what they sent, nobody can tell. */
export class IncarnationMemory {
  readonly #known = new Map<string, KnownIncarnation>()
  readonly #latest = new Map<string, string>()
  readonly #silentAfterMilliseconds: number
  #learned = 0

  constructor (silentAfterMilliseconds: number) {
    this.#silentAfterMilliseconds = silentAfterMilliseconds
  }

  /** Grows with each process heard for the first time. */
  get learned (): number {
    return this.#learned
  }

  /** Records a message from a process itself. */
  heard ({ instanceId, incarnation, leaving }: PeerIdentity, now: number): void {
    const known = this.#known.get(incarnation)
    // A late message of a replaced process must not make it the latest again.
    if (known === undefined) {
      this.#latest.set(instanceId, incarnation)
      this.#learned++
    }
    this.#known.set(incarnation, { instanceId, heardAt: now, leaving: leaving || known?.leaving === true })
    for (const [name, entry] of this.#known) {
      if (entry.heardAt + INCARNATION_MEMORY_MILLISECONDS <= now) this.#known.delete(name)
    }
  }

  /** True when a process has fallen silent or was replaced within the last hour and had not said that it was leaving. */
  hasLost (now: number): boolean {
    return [...this.#known].some(([name, { instanceId, heardAt, leaving }]) =>
      !leaving && heardAt + INCARNATION_MEMORY_MILLISECONDS > now && (heardAt + this.#silentAfterMilliseconds <= now || this.#latest.get(instanceId) !== name))
  }
}
