import { steadyNow } from '../clock.js'
import type { ReadOutcome, RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Time after which an answer of the store is given up, beyond the time that a call may wait there, milliseconds. */
const ANSWER_TIME = 900
/** Pause after a failed call, milliseconds; short, since a cut that has ended must be noticed within a second. */
const RETRY_PAUSE = 250
/** Shortest time between two answers, milliseconds, so that rapid changes come in batches. */
const SHORTEST_INTERVAL = 60

/** What is followed, and who is told. */
export interface TableFollowerOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly table: string
  /** Time that a call waits at the store for the first change, milliseconds; 0 polls. */
  readonly waitMilliseconds: number
  /** Pause between two calls, milliseconds. */
  readonly pauseMilliseconds: number
  /** True when the table is small beside what changes in it, so that it is read anew after an outage. */
  readonly isSmall: boolean
  /** Told of all rows of the table, after a start or when the history is gone. */
  readonly onAll: (rows: readonly StoredRow[], contact: Contact) => void
  /** Told of changed rows, in order. */
  readonly onChanges: (rows: readonly StoredRow[], contact: Contact) => void
}

/** What is known of the connection to the store when rows arrive. */
export interface Contact {
  /** Unix milliseconds of the answer before this one; 0 for the first. */
  readonly previousAt: number
}

/** Follows one table of the store. */
export interface TableFollower {
  /** Unix milliseconds of the last answer; 0 when there was none. */
  readonly contactAt: number
  /** True while the store does not answer. */
  readonly isLost: boolean
  stop (): void
}

/** True when rows bring a version that a later one among them replaces: the follower lags behind the changes. */
function hasReplaced (rows: readonly StoredRow[]): boolean {
  return new Set(rows.map((row) => `${row.part}\n${row.key}`)).size < rows.length
}

/**
 * Starts to follow a table: reads it whole, then its changes. It reads the table again when the history is gone; a
 * small table also after an outage and when it lags behind, as the newest rows alone take less time on a slow link than
 * all that was missed.
 */
export function followTable (options: TableFollowerOptions): TableFollower {
  let stopped = false
  let contactAt = 0
  let lostSince: number | undefined
  let version: number | undefined

  async function step (): Promise<number> {
    // A call that waits at the store would hide for that long that the connection is dead.
    const wait = lostSince === undefined ? options.waitMilliseconds : 0
    const deadline = steadyNow() + wait + ANSWER_TIME
    const outcome = version === undefined
      ? await options.store.read(options.table, '', deadline)
      : await options.store.follow(options.table, version, wait, deadline)
    if (stopped) return 0
    return handle(outcome)
  }

  function handle (outcome: ReadOutcome): number {
    const now = steadyNow()
    switch (outcome.kind) {
      case 'rows': {
        const contact = { previousAt: contactAt }
        contactAt = now
        if (lostSince !== undefined) options.log.event('storeRegained', { table: options.table, lostForMilliseconds: now - lostSince })
        lostSince = undefined
        if (version === undefined) options.onAll(outcome.rows, contact)
        else if (outcome.rows.length > 0) options.onChanges(outcome.rows, contact)
        version = options.isSmall && hasReplaced(outcome.rows) ? undefined : outcome.version
        return Math.max(options.pauseMilliseconds, SHORTEST_INTERVAL)
      }
      case 'historyGone':
        options.log.event('storeHistoryGone', { table: options.table, after: version })
        version = undefined
        return 0
      case 'unavailable':
        if (lostSince === undefined) options.log.event('storeLost', { table: options.table, reason: outcome.reason, lastAnswerAt: contactAt })
        lostSince ??= now
        if (options.isSmall) version = undefined
        return RETRY_PAUSE
    }
  }

  async function run (): Promise<void> {
    for (;;) {
      if (stopped) return
      const pause = await step().catch((error: unknown) => {
        options.log.warning('tableFollowerFailed', { table: options.table, reason: String(error) })
        return RETRY_PAUSE
      })
      if (pause > 0) await new Promise((resolve) => setTimeout(resolve, pause))
    }
  }

  run().catch((error: unknown) => options.log.warning('tableFollowerEnded', { table: options.table, reason: String(error) }))
  return {
    get contactAt () { return contactAt },
    get isLost () { return lostSince !== undefined },
    stop: () => { stopped = true }
  }
}
