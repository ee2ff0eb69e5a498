import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import type { Row, RowCheck, RowWrite, TableStore } from '@quinceshunt/table-store'
import { AuditRecordSchema, type AuditRecord } from '@quinceshunt/schemas'
import { auditKey, type Author } from '@quinceshunt/sheet'
import { randomUUID } from 'node:crypto'

const AUDIT_PREFIX = 'audit/'
const SCAN_ROWS = 1000
/** Tries to learn the outcome of a transaction whose reply was lost. */
const OUTCOME_TRIES = 5
const FIRST_WINDOW_MILLISECONDS = 3_600_000
const WINDOW_GROWTH = 12

/** What an operator did. */
export interface AuditedAction {
  readonly author: Author
  /** Unix milliseconds. */
  readonly at: number
  readonly action: string
  readonly subject: string
  readonly detail: string
}

/** Audit row under a unique key; it also shows after a lost reply that its transaction took effect. */
export function auditWrite (action: AuditedAction): RowWrite {
  const record = create(AuditRecordSchema, {
    at: BigInt(action.at), operator: action.author.operator, role: action.author.role, action: action.action, subject: action.subject, detail: action.detail
  })
  return { key: auditKey(action.at, randomUUID()), value: toBinary(AuditRecordSchema, record), delete: false }
}

/** Writes one row that must be as it was read, together with its audit row. */
export async function writeAudited (table: TableStore, before: Row, value: Uint8Array, audit: RowWrite): Promise<void> {
  const checks: RowCheck[] = [{ key: before.key, expectedVersion: before.version }, { key: audit.key, expectedVersion: 0n }]
  const writes: RowWrite[] = [{ key: before.key, value, delete: false }, audit]
  for (let attempt = 1; ; attempt++) {
    let conflict = false
    try {
      const outcome = await table.transact(checks, writes)
      if (outcome.kind === 'applied') return
      conflict = true
    } catch (error) {
      if (attempt === OUTCOME_TRIES) throw error
    }
    const [auditRow] = await table.read([audit.key])
    if (auditRow!.version !== 0n) return
    if (conflict) throw new ConnectError('another change was made at the same time; look at it and try again', Code.Aborted)
  }
}

/** Latest audit records, newest first. */
export async function listAudit (table: TableStore, now: number, limit: number): Promise<AuditRecord[]> {
  // Keys order by time ascending, so that ever longer windows are read until one holds enough.
  for (let window = FIRST_WINDOW_MILLISECONDS; ; window *= WINDOW_GROWTH) {
    const since = Math.max(0, now - window)
    const rows = await scanAll(table, since === 0 ? '' : auditKey(since, ''))
    if (rows.length >= limit || since === 0) return rows.slice(-limit).reverse().map((row) => fromBinary(AuditRecordSchema, row.value))
  }
}

async function scanAll (table: TableStore, startAfter: string): Promise<Row[]> {
  const rows: Row[] = []
  for (let more = true; more;) {
    const page = await table.scan(AUDIT_PREFIX, rows.at(-1)?.key ?? startAfter, SCAN_ROWS)
    rows.push(...page.rows)
    more = page.more
  }
  return rows
}
