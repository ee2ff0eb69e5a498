import type { Clock, Decision } from '@quinceshunt/effects'
import type { Platform, Row } from '@quinceshunt/table-store'
import { rowDeletion, releaseExplainedQuarantine, decodeSuspect, SUSPECT_PREFIX, type StoreCommand } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import type { Logger } from '@quinceshunt/telemetry'

/** Gossip and crash reports spread changes faster than the poll. */
const MIN_POLL_INTERVAL_MS = 2000
/** The interval grows with the number of rows, so that polling rows of about 200 bytes reads at most 2 KB/s. */
const POLL_INTERVAL_PER_ROW_MS = 100
const MAX_SCAN_ROWS = 1000
/** Cleared suspects are deleted after this time; gossip has spread them long before. */
const CLEARED_RETENTION_MS = 600_000
/** Suspects that were never sent again are deleted after this time; quarantined fingerprints are never deleted. */
const SUSPECT_RETENTION_MS = 7 * 24 * 3_600_000
const MAX_DELETIONS_PER_POLL = 20

export interface QuarantinePollOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly logger: Logger
  readonly stopped: AbortSignal
  readonly run: <Result>(step: string, decision: Decision<StoreCommand, Result>) => Promise<Result | undefined>
  /** Refreshes evidence from the instance list. */
  refreshEvidence (): Promise<void>
  /** Merges the records read from the table; returns all known records by fingerprint. */
  mergeRecords (records: readonly SuspectRecord[]): ReadonlyMap<string, SuspectRecord>
}

/** Polls the suspect rows until `stopped` is aborted, then resolves. */
export async function startQuarantinePoll (options: QuarantinePollOptions): Promise<void> {
  const { clock, stopped, logger } = options
  while (!stopped.aborted) {
    let rows = 0
    try {
      await options.refreshEvidence()
      rows = await pollOnce(options)
    } catch (error) {
      logger.debug({ err: error, step: 'poll suspects' }, 'failed to poll the suspects; gossip continues')
    }
    await clock.waitUntil(clock.now() + Math.max(MIN_POLL_INTERVAL_MS, rows * POLL_INTERVAL_PER_ROW_MS), stopped)
  }
}

async function pollOnce ({ platform, clock, run, mergeRecords }: QuarantinePollOptions): Promise<number> {
  const rows: Row[] = []
  for (let more = true; more;) {
    const page = await platform.table.scan(SUSPECT_PREFIX, rows.at(-1)?.key ?? '', MAX_SCAN_ROWS)
    rows.push(...page.rows)
    more = page.more
  }
  const records = rows.map((row) => decodeSuspect(row).record!)
  const known = mergeRecords(records)
  for (const record of records) {
    const released = await run('release explained quarantine', releaseExplainedQuarantine(record, known))
    if (released !== undefined) mergeRecords([released])
  }
  const now = clock.now()
  const expired = rows.filter((_row, index) => isExpired(records[index]!, now)).slice(0, MAX_DELETIONS_PER_POLL)
  for (const { key, version } of expired) await platform.table.transact([{ key, expectedVersion: version }], [rowDeletion(key)])
  return rows.length
}

function isExpired (record: SuspectRecord, now: number): boolean {
  const age = now - Number(record.updatedAt)
  if (record.state === SuspectState.CLEARED) return age > CLEARED_RETENTION_MS
  return record.state === SuspectState.SUSPECT && age > SUSPECT_RETENTION_MS
}
