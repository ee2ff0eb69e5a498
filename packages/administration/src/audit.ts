import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Row, RowCheck, RowWrite, TableStore } from '@quinceshunt/table-store'
import { AuditRecordSchema, type AuditRecord } from '@quinceshunt/schemas'
import { auditKey, type Author } from '@quinceshunt/sheet'
import { randomUUID } from 'node:crypto'

const AUDIT_PREFIX = 'audit/'
const SCAN_PAGE_ROWS = 1000
/** Attempts of a transaction while its replies are lost; after the last one the error is rethrown. */
const MAX_TRANSACTION_ATTEMPTS = 5
const INITIAL_WINDOW_MS = 3_600_000
const WINDOW_GROWTH_FACTOR = 12

/** An operator's action, for the audit log. */
export interface AuditedAction {
  readonly author: Author
  /** Unix milliseconds. */
  readonly at: number
  readonly action: string
  readonly subject: string
  readonly detail: string
}

/** Creates an audit row with a unique key. If a reply is lost, the row also shows whether its transaction took effect. */
export function createAuditWrite (action: AuditedAction): RowWrite {
  const record = create(AuditRecordSchema, {
    at: BigInt(action.at), operator: action.author.operator, role: action.author.role, action: action.action, subject: action.subject, detail: action.detail
  })
  return { key: auditKey(action.at, randomUUID()), value: toBinary(AuditRecordSchema, record), delete: false }
}

/** Writes a new value and the audit row in one transaction, if `row` is unchanged since it was read. */
export async function writeWithAudit (table: TableStore, row: Row, newValue: Uint8Array, audit: RowWrite): Promise<void> {
  const checks: RowCheck[] = [{ key: row.key, expectedVersion: row.version }, { key: audit.key, expectedVersion: 0n }]
  const writes: RowWrite[] = [{ key: row.key, value: newValue, delete: false }, audit]
  for (let attempt = 1; ; attempt++) {
    let conflict = false
    try {
      const outcome = await table.transact(checks, writes)
      if (outcome.kind === 'applied') return
      conflict = true
    } catch (error) {
      if (attempt === MAX_TRANSACTION_ATTEMPTS) throw error
    }
    const [auditRow] = await table.read([audit.key])
    if (auditRow!.version !== 0n) return
    if (conflict) throw new ConnectError('another change was made at the same time; look at it and try again', Code.Aborted)
  }
}

/** Latest audit records, newest first. */
export async function listAudit (table: TableStore, now: number, limit: number): Promise<AuditRecord[]> {
  // Keys sort by time and scans run forward, so growing windows before `now` are read until one has enough rows.
  for (let windowMilliseconds = INITIAL_WINDOW_MS; ; windowMilliseconds *= WINDOW_GROWTH_FACTOR) {
    const since = Math.max(0, now - windowMilliseconds)
    const rows = await scanAll(table, since === 0 ? '' : auditKey(since, ''))
    if (rows.length >= limit || since === 0) return rows.slice(-limit).reverse().map((row) => fromBinary(AuditRecordSchema, row.value))
  }
}

async function scanAll (table: TableStore, startAfter: string): Promise<Row[]> {
  const rows: Row[] = []
  for (let more = true; more;) {
    const page = await table.scan(AUDIT_PREFIX, rows.at(-1)?.key ?? startAfter, SCAN_PAGE_ROWS)
    rows.push(...page.rows)
    more = page.more
  }
  return rows
}
