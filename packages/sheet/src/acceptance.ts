import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { perform, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TransactOutcome } from '@quinceshunt/table-store'
import { AuditRecordSchema, SheetHeadSchema, type SheetHead } from '@quinceshunt/schemas'
import type { BuiltConfiguration } from './configuration.js'
import { signHead } from './sheetHead.js'

/** Row with the head of the revision in force. */
export const HEAD_KEY = 'sheet/head'
/** Attempts of a transaction while its replies are lost; after the last one the error is rethrown. */
const MAX_TRANSACTION_ATTEMPTS = 5
const REVISION_DIGITS = 20
const TIME_DIGITS = 15

/** Row that keeps the head of one revision permanently; it shows whether a transaction whose reply was lost took effect. */
export function revisionKey (revision: bigint): string {
  return `sheet/revision/${String(revision).padStart(REVISION_DIGITS, '0')}`
}

/** Row of an audit record; keys sort by time (Unix milliseconds). */
export function auditKey (at: number, id: string): string {
  return `audit/${String(at).padStart(TIME_DIGITS, '0')}/${id}`
}

/** The operator who makes a change, for the audit log. */
export interface Author {
  readonly operator: string
  /** The operator's role, for example `planner`. */
  readonly role: string
}

/** A new configuration and the audit record to write with it. */
export interface ConfigurationChange {
  readonly configuration: BuiltConfiguration
  /** Revision on which the change is based; 0 when there is none. */
  readonly baseRevision: bigint
  readonly author: Author
  /** Unix milliseconds. */
  readonly at: number
  readonly fleetKey: string
  /** Unique ID of the audit row. */
  readonly auditId: string
  /** For example `sheet apply`. */
  readonly action: string
  readonly subject: string
  readonly detail: string
  /** SHA-256 of objects that are stored already and need no upload. */
  readonly storedObjects?: ReadonlySet<string>
}

export type AcceptanceOutcome =
  | { readonly kind: 'accepted', readonly head: SheetHead }
  /** Another change was accepted first; `head` is the one in force, undefined when there is none. */
  | { readonly kind: 'conflict', readonly head: SheetHead | undefined }

export interface ReadRows extends Command<'readRows', readonly Row[]> { readonly kind: 'readRows', readonly keys: readonly string[] }
/** Stores one object; idempotent. */
export interface PutObject extends Command<'putObject'> { readonly kind: 'putObject', readonly sha256: string, readonly content: Uint8Array }
/** Runs a transaction; a rejection means that its outcome is unknown. */
export interface Transact extends Command<'transact', TransactOutcome> { readonly kind: 'transact', readonly checks: readonly RowCheck[], readonly writes: readonly RowWrite[] }
/** Calls to the platform that `acceptChange` requests. */
export type AcceptanceCommand = ReadRows | PutObject | Transact

/** Decodes the head in a row; undefined when the row is absent. */
export function decodeHead (row: Row | undefined): SheetHead | undefined {
  return row === undefined || row.version === 0n ? undefined : fromBinary(SheetHeadSchema, row.value)
}

/** Accepts a change by compare-and-set on the head: stores the objects first, then writes head, revision row and audit row in one transaction. */
export function * acceptChange (change: ConfigurationChange): Decision<AcceptanceCommand, AcceptanceOutcome> {
  const head = signHead(change.fleetKey, { revision: change.baseRevision + 1n, sha256: change.configuration.sha256, operator: change.author.operator, acceptedAt: change.at })
  const [headRow, revisionRow] = yield * perform<ReadRows>({ kind: 'readRows', keys: [HEAD_KEY, revisionKey(head.revision)] })
  const headInForce = decodeHead(headRow)
  if ((headInForce?.revision ?? 0n) !== change.baseRevision) return compareHeads(head, decodeHead(revisionRow), headInForce)
  for (const [sha256, content] of change.configuration.objects) {
    if (change.storedObjects?.has(sha256) !== true) yield * perform<PutObject>({ kind: 'putObject', sha256, content })
  }
  return yield * commitHead(change, head, headRow?.version ?? 0n)
}

/** Repeats the same transaction until its outcome is known; its checks let it apply at most once. */
function * commitHead (change: ConfigurationChange, head: SheetHead, headVersion: bigint): Decision<AcceptanceCommand, AcceptanceOutcome> {
  const transaction: Transact = { kind: 'transact', ...createHeadTransaction(change, head, headVersion) }
  for (let attempt = 1; ; attempt++) {
    try {
      if ((yield * perform(transaction)).kind === 'applied') return { kind: 'accepted', head }
    } catch (error) {
      if (attempt === MAX_TRANSACTION_ATTEMPTS) throw error
    }
    const outcome = yield * readOutcome(head)
    if (outcome !== undefined) return outcome
  }
}

/** Reads the outcome from the rows; undefined while the change may still take effect, or when the rows can't be read. */
function * readOutcome (head: SheetHead): Decision<AcceptanceCommand, AcceptanceOutcome | undefined> {
  try {
    const [revisionRow, headRow] = yield * perform<ReadRows>({ kind: 'readRows', keys: [revisionKey(head.revision), HEAD_KEY] })
    const headAtRevision = decodeHead(revisionRow)
    return headAtRevision === undefined ? undefined : compareHeads(head, headAtRevision, decodeHead(headRow))
  } catch {
    return undefined
  }
}

/** When the revision already has this content by the same operator, an earlier attempt succeeded and only its reply was lost. */
function compareHeads (head: SheetHead, headAtRevision: SheetHead | undefined, headInForce: SheetHead | undefined): AcceptanceOutcome {
  const committed = headAtRevision?.revision === head.revision && headAtRevision.sha256 === head.sha256 && headAtRevision.operator === head.operator
  return committed ? { kind: 'accepted', head: headAtRevision } : { kind: 'conflict', head: headInForce }
}

function createHeadTransaction (change: ConfigurationChange, head: SheetHead, headVersion: bigint): { readonly checks: readonly RowCheck[], readonly writes: readonly RowWrite[] } {
  const value = toBinary(SheetHeadSchema, head)
  const audit = create(AuditRecordSchema, {
    at: BigInt(change.at), operator: change.author.operator, role: change.author.role, action: change.action, subject: change.subject, detail: change.detail
  })
  const rows = [
    { key: HEAD_KEY, expectedVersion: headVersion, value },
    { key: revisionKey(head.revision), expectedVersion: 0n, value },
    { key: auditKey(change.at, change.auditId), expectedVersion: 0n, value: toBinary(AuditRecordSchema, audit) }
  ]
  return {
    checks: rows.map(({ key, expectedVersion }) => ({ key, expectedVersion })),
    writes: rows.map(({ key, value: rowValue }) => ({ key, value: rowValue, delete: false }))
  }
}
