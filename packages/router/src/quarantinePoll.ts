import type { Clock, Decision } from '@quinceshunt/effects'
import type { Platform, Row } from '@quinceshunt/table-store'
import { rowDeletion, releaseExplainedQuarantine, decodeSuspect, SUSPECT_PREFIX, type StoreCommand } from '@quinceshunt/requests'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import type { Logger } from '@quinceshunt/telemetry'

/** Shortest time between polls of the table, milliseconds; gossip and reports are faster. */
const POLL_MILLISECONDS = 2000
/** Added for each row, so that a poll of rows of about 200 bytes costs at most 2 KB/s. */
const POLL_MILLISECONDS_PER_ROW = 100
const SCAN_LIMIT = 1000
/** Cleared suspects are deleted after this time; gossip has carried them long before. */
const CLEARED_KEPT_MILLISECONDS = 600_000
/** Suspects that nobody has sent again are deleted after this time; quarantined ones never are. */
const SUSPECT_KEPT_MILLISECONDS = 7 * 24 * 3_600_000
/** Rows deleted in one poll, at most. */
const DELETIONS_PER_POLL = 20

/** What the poll needs. */
export interface QuarantinePollOptions {
  readonly platform: Platform
  readonly clock: Clock
  readonly logger: Logger
  readonly stopped: AbortSignal
  readonly run: <Result>(step: string, decision: Decision<StoreCommand, Result>) => Promise<Result | undefined>
  /** Refreshes evidence from the instance list. */
  refresh (): Promise<void>
  /** Told of all rows; returns all records known. */
  learned (records: readonly SuspectRecord[]): ReadonlyMap<string, SuspectRecord>
}

/** Polls the suspects' rows until stopped; resolves when it has ended. */
export async function startQuarantinePoll (options: QuarantinePollOptions): Promise<void> {
  const { clock, stopped, logger } = options
  while (!stopped.aborted) {
    let rows = 0
    try {
      await options.refresh()
      rows = await pollOnce(options)
    } catch (error) {
      logger.debug({ err: error, step: 'poll suspects' }, 'the suspects were not read; gossip goes on')
    }
    await clock.waitUntil(clock.now() + Math.max(POLL_MILLISECONDS, rows * POLL_MILLISECONDS_PER_ROW), stopped)
  }
}

async function pollOnce ({ platform, clock, run, learned }: QuarantinePollOptions): Promise<number> {
  const rows: Row[] = []
  for (let more = true; more;) {
    const page = await platform.table.scan(SUSPECT_PREFIX, rows.at(-1)?.key ?? '', SCAN_LIMIT)
    rows.push(...page.rows)
    more = page.more
  }
  const records = rows.map((row) => decodeSuspect(row).record!)
  const known = learned(records)
  for (const record of records) {
    const released = await run('release explained quarantine', releaseExplainedQuarantine(record, known))
    if (released !== undefined) learned([released])
  }
  const now = clock.now()
  const outdated = rows.filter((_row, index) => isOutdated(records[index]!, now)).slice(0, DELETIONS_PER_POLL)
  for (const { key, version } of outdated) await platform.table.transact([{ key, expectedVersion: version }], [rowDeletion(key)])
  return rows.length
}

function isOutdated (record: SuspectRecord, now: number): boolean {
  const age = now - Number(record.updatedAt)
  if (record.state === SuspectState.CLEARED) return age > CLEARED_KEPT_MILLISECONDS
  return record.state === SuspectState.SUSPECT && age > SUSPECT_KEPT_MILLISECONDS
}
