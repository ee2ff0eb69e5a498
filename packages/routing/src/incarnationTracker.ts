import type { PeerIdentity } from '@quinceshunt/schemas'

/** Maximum time between a request and its caller's retry that is covered: the maximum request deadline. */
export const INCARNATION_RETENTION_MS = 3_600_000

interface KnownIncarnation {
  readonly instanceId: string
  readonly lastContactAt: number
  readonly leaving: boolean
}

/** Tracks processes of other instances that ended without a planned stop, as it is unknown which requests they sent. */
export class IncarnationTracker {
  readonly #incarnations = new Map<string, KnownIncarnation>()
  readonly #latestByInstance = new Map<string, string>()
  readonly #silenceTimeoutMilliseconds: number
  #discoveredCount = 0

  constructor (silenceTimeoutMilliseconds: number) {
    this.#silenceTimeoutMilliseconds = silenceTimeoutMilliseconds
  }

  /** Number of processes discovered so far. */
  get discoveredCount (): number {
    return this.#discoveredCount
  }

  /** Records a message sent by a process. */
  recordContact ({ instanceId, incarnation, leaving }: PeerIdentity, now: number): void {
    const known = this.#incarnations.get(incarnation)
    // A delayed message from a replaced process must not make it the latest again.
    if (known === undefined) {
      this.#latestByInstance.set(instanceId, incarnation)
      this.#discoveredCount++
    }
    this.#incarnations.set(incarnation, { instanceId, lastContactAt: now, leaving: leaving || known?.leaving === true })
    for (const [id, entry] of this.#incarnations) {
      if (entry.lastContactAt + INCARNATION_RETENTION_MS <= now) this.#incarnations.delete(id)
    }
  }

  /** Whether a process became silent or was replaced within the last hour without having announced that it was leaving. */
  hasUnplannedLoss (now: number): boolean {
    return [...this.#incarnations].some(([id, { instanceId, lastContactAt, leaving }]) =>
      !leaving && lastContactAt + INCARNATION_RETENTION_MS > now && (lastContactAt + this.#silenceTimeoutMilliseconds <= now || this.#latestByInstance.get(instanceId) !== id))
  }
}
