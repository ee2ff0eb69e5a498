/**
 * Finds prompt parts whose row in the store names an older answer than this process knows of.
 *
 * Failure: all instances write the answers to a part into one row. An instance that was cut off from the store writes its answer from
 * then when it is back, over a newer one. Processes that start later know of no other answer, take the crashes since then for an
 * unbroken series, and refuse requests with a part that was answered all the time.
 */

/** The least recently used parts are evicted first. */
const MAX_PARTS = 10_000

/** Answers to prompt parts that crashed backend servers' requests had, as the store names them. Times are on the shared clock. */
export interface StoredAnswers {
  /** Records a crash of a backend server whose unanswered requests had the part. */
  recordCrash (part: string, crashedAt: number): void
  /** Records the answer that the store names last, which may be older than the one before. */
  recordStored (part: string, answeredAt: number): void
  /** True when a crash lies between the answer that the store names and the latest one that this process knows of. */
  isOutdated (part: string, latestAnswerAt: number | undefined): boolean
}

interface StoredAnswer {
  storedAt: number | undefined
  crashedAt: number
}

/** Creates an empty record. */
export function createStoredAnswers (): StoredAnswers {
  const known = new Map<string, StoredAnswer>()

  function recordOf (part: string): StoredAnswer {
    const record = known.get(part) ?? { storedAt: undefined, crashedAt: -Infinity }
    known.delete(part)
    known.set(part, record)
    const oldest = known.size > MAX_PARTS ? known.keys().next().value : undefined
    if (oldest !== undefined) known.delete(oldest)
    return record
  }

  return {
    recordCrash: (part, crashedAt) => {
      const record = recordOf(part)
      record.crashedAt = Math.max(record.crashedAt, crashedAt)
    },
    recordStored: (part, answeredAt) => { recordOf(part).storedAt = answeredAt },
    isOutdated: (part, latestAnswerAt) => {
      const { storedAt, crashedAt } = known.get(part) ?? { storedAt: undefined, crashedAt: -Infinity }
      return storedAt !== undefined && latestAnswerAt !== undefined && storedAt < crashedAt && crashedAt < latestAnswerAt
    }
  }
}
