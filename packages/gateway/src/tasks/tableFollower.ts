import { steadyNow } from '../clock.js'
import type { ReadOutcome, RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Timeout of a call, in addition to the duration of a long poll. */
const RESPONSE_TIMEOUT_MS = 900
/** Pause after a failed call; short, as the end of an outage must be noticed within a second. */
const RETRY_PAUSE_MS = 250
/** Minimum pause between two calls, so that rapid changes arrive in batches. */
const MIN_POLL_INTERVAL_MS = 60

/** Options of a table follower. */
export interface TableFollowerOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly table: string
  /** Duration for which a long poll waits for the first change; 0 disables long polling. */
  readonly waitMilliseconds: number
  /** Pause between two calls. */
  readonly pauseMilliseconds: number
  /** True when the table is small compared to its changes, so that it is reread after an outage or when the follower lags behind. */
  readonly prefersFullRead: boolean
  /** Called with all rows of the table after each full read. */
  readonly onSnapshot: (rows: readonly StoredRow[], responseContext: ResponseContext) => void
  /** Called with changed rows, in order. */
  readonly onChanges: (rows: readonly StoredRow[], responseContext: ResponseContext) => void
}

/** Context of a store response. */
export interface ResponseContext {
  /** Unix milliseconds of the previous successful response; 0 for the first one. */
  readonly previousResponseAt: number
  /** By `steadyNow`: rows that differ from those of the response before were written after this time; -Infinity for the first one. */
  readonly changedSince: number
}

/** Follows one table of the store. */
export interface TableFollower {
  /** Unix milliseconds of the last successful response; 0 before the first one. */
  readonly lastResponseAt: number
  /** True while calls to the store fail. */
  readonly isStoreUnreachable: boolean
  /**
   * Resolves with true once the response to a call that was sent at `since` or later, by `steadyNow`, was taken over, so that all rows are known that were
   * written before; with false when a call fails. Calls without the pause if need be.
   */
  readSince (since: number): Promise<boolean>
  stop (): void
}

/** Returns true when the rows hold several versions of one row, which shows that the follower lags behind. */
function hasSupersededRows (rows: readonly StoredRow[]): boolean {
  return new Set(rows.map((row) => `${row.part}\n${row.key}`)).size < rows.length
}

/**
 * Starts following a table: reads all of its rows, then its changes. The table is reread when the store has dropped the
 * history or the changes are too many for one response; with `prefersFullRead` also after an outage and when the follower lags behind, as the current rows take less
 * time on a slow link than all missed changes.
 */
export function followTable (options: TableFollowerOptions): TableFollower {
  let stopped = false
  let lastResponseAt = 0
  /** When the last call was sent that got a response. */
  let lastReadAt = -Infinity
  let unreachableSince: number | undefined
  let version: number | undefined
  let readers: { readonly since: number, readonly resolve: (isRead: boolean) => void }[] = []
  let endPause = (): void => {}

  function answerReaders (sentAt: number, isRead: boolean): void {
    const answered = readers.filter(({ since }) => since <= sentAt)
    readers = readers.filter(({ since }) => since > sentAt)
    for (const { resolve } of answered) resolve(isRead)
  }

  async function poll (): Promise<number> {
    // During an outage calls don't long-poll, as that would delay the detection of a dead connection.
    const wait = unreachableSince === undefined ? options.waitMilliseconds : 0
    const deadline = steadyNow() + wait + RESPONSE_TIMEOUT_MS
    const sentAt = steadyNow()
    const outcome = version === undefined
      ? await options.store.read(options.table, '', deadline)
      : await options.store.readChanges(options.table, version, wait, deadline)
    if (stopped) return 0
    const pause = handleOutcome(outcome, sentAt)
    // Once the history is gone, the next call reads all rows.
    if (outcome.kind === 'rows') answerReaders(sentAt, true)
    else if (outcome.kind === 'unavailable') answerReaders(Infinity, false)
    return readers.length > 0 ? Math.min(pause, MIN_POLL_INTERVAL_MS) : pause
  }

  function handleOutcome (outcome: ReadOutcome, sentAt: number): number {
    const now = steadyNow()
    switch (outcome.kind) {
      case 'rows': {
        const responseContext = { previousResponseAt: lastResponseAt, changedSince: lastReadAt }
        lastResponseAt = now
        lastReadAt = sentAt
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
        if (options.prefersFullRead || outcome.mustReread === true) version = undefined
        return RETRY_PAUSE_MS
    }
  }

  async function sleep (milliseconds: number): Promise<void> {
    const startedAt = steadyNow()
    await new Promise<void>((resolve) => {
      let timer = setTimeout(resolve, milliseconds)
      endPause = () => {
        clearTimeout(timer)
        timer = setTimeout(resolve, startedAt + MIN_POLL_INTERVAL_MS - steadyNow())
      }
    })
  }

  async function run (): Promise<void> {
    for (;;) {
      if (stopped) return answerReaders(Infinity, false)
      const pause = await poll().catch((error: unknown) => {
        options.log.warning('tableFollowerFailed', { table: options.table, reason: String(error) })
        answerReaders(Infinity, false)
        return RETRY_PAUSE_MS
      })
      if (pause > 0) await sleep(pause)
    }
  }

  run().catch((error: unknown) => options.log.warning('tableFollowerEnded', { table: options.table, reason: String(error) }))
  return {
    get lastResponseAt () { return lastResponseAt },
    get isStoreUnreachable () { return unreachableSince !== undefined },
    readSince: async (since) => {
      if (stopped || unreachableSince !== undefined) return false
      if (lastReadAt >= since) return true
      const read = new Promise<boolean>((resolve) => readers.push({ since, resolve }))
      endPause()
      return await read
    },
    stop: () => { stopped = true }
  }
}
