import { steadyNow } from '../clock.js'
import type { ReadOutcome, RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Time after which an answer of the store is given up, beyond the time that a call may wait there, milliseconds. */
const RESPONSE_TIMEOUT_MS = 900
/** Pause after a failed call, milliseconds; short, since a cut that has ended must be noticed within a second. */
const RETRY_PAUSE_MS = 250
/** Shortest time between two answers, milliseconds, so that rapid changes come in batches. */
const MIN_POLL_INTERVAL_MS = 60

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
  readonly prefersFullRead: boolean
  /** Told of all rows of the table, after a start or when the history is gone. */
  readonly onSnapshot: (rows: readonly StoredRow[], contact: ResponseContext) => void
  /** Told of changed rows, in order. */
  readonly onChanges: (rows: readonly StoredRow[], contact: ResponseContext) => void
}

/** What is known of the connection to the store when rows arrive. */
export interface ResponseContext {
  /** Unix milliseconds of the answer before this one; 0 for the first. */
  readonly previousResponseAt: number
}

/** Follows one table of the store. */
export interface TableFollower {
  /** Unix milliseconds of the last answer; 0 when there was none. */
  readonly lastResponseAt: number
  /** True while the store does not answer. */
  readonly isStoreUnreachable: boolean
  stop (): void
}

/** True when rows bring a version that a later one among them replaces: the follower lags behind the changes. */
function hasSupersededRows (rows: readonly StoredRow[]): boolean {
  return new Set(rows.map((row) => `${row.part}\n${row.key}`)).size < rows.length
}

/**
 * Starts to follow a table: reads it whole, then its changes. It reads the table again when the history is gone; a
 * small table also after an outage and when it lags behind, as the newest rows alone take less time on a slow link than
 * all that was missed.
 */
export function followTable (options: TableFollowerOptions): TableFollower {
  let stopped = false
  let lastResponseAt = 0
  let unreachableSince: number | undefined
  let version: number | undefined

  async function poll (): Promise<number> {
    // A call that waits at the store would hide for that long that the connection is dead.
    const wait = unreachableSince === undefined ? options.waitMilliseconds : 0
    const deadline = steadyNow() + wait + RESPONSE_TIMEOUT_MS
    const outcome = version === undefined
      ? await options.store.read(options.table, '', deadline)
      : await options.store.readChanges(options.table, version, wait, deadline)
    if (stopped) return 0
    return handleOutcome(outcome)
  }

  function handleOutcome (outcome: ReadOutcome): number {
    const now = steadyNow()
    switch (outcome.kind) {
      case 'rows': {
        const responseContext = { previousResponseAt: lastResponseAt }
        lastResponseAt = now
        if (unreachableSince !== undefined) options.log.event('storeRegained', { table: options.table, lostForMilliseconds: now - unreachableSince })
        unreachableSince = undefined
        if (version === undefined) options.onSnapshot(outcome.rows, responseContext)
        else if (outcome.rows.length > 0) options.onChanges(outcome.rows, responseContext)
        version = options.prefersFullRead && hasSupersededRows(outcome.rows) ? undefined : outcome.version
        return Math.max(options.pauseMilliseconds, MIN_POLL_INTERVAL_MS)
      }
      case 'historyGone':
        options.log.event('storeHistoryGone', { table: options.table, after: version })
        version = undefined
        return 0
      case 'unavailable':
        if (unreachableSince === undefined) options.log.event('storeLost', { table: options.table, reason: outcome.reason, lastAnswerAt: lastResponseAt })
        unreachableSince ??= now
        if (options.prefersFullRead) version = undefined
        return RETRY_PAUSE_MS
    }
  }

  async function run (): Promise<void> {
    for (;;) {
      if (stopped) return
      const pause = await poll().catch((error: unknown) => {
        options.log.warning('tableFollowerFailed', { table: options.table, reason: String(error) })
        return RETRY_PAUSE_MS
      })
      if (pause > 0) await new Promise((resolve) => setTimeout(resolve, pause))
    }
  }

  run().catch((error: unknown) => options.log.warning('tableFollowerEnded', { table: options.table, reason: String(error) }))
  return {
    get lastResponseAt () { return lastResponseAt },
    get isStoreUnreachable () { return unreachableSince !== undefined },
    stop: () => { stopped = true }
  }
}
