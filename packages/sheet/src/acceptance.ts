import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { perform, type Command, type Decision } from '@quinceshunt/effects'
import type { Row, RowCheck, RowWrite, TransactOutcome } from '@quinceshunt/table-store'
import { AuditRecordSchema, SheetHeadSchema, type SheetHead } from '@quinceshunt/schemas'
import type { BuiltConfiguration } from './configuration.js'
import { signHead } from './sheetHead.js'

/** Row that holds the head of the revision in force. */
export const HEAD_KEY = 'sheet/head'
/** Tries to learn or force the outcome of a transaction whose reply was lost. */
const OUTCOME_TRIES = 5
const REVISION_DIGITS = 20
const TIME_DIGITS = 15

/** Row that holds the head of one revision for good; it is the evidence that a lost transaction took effect. */
export function revisionKey (revision: bigint): string {
  return `sheet/revision/${String(revision).padStart(REVISION_DIGITS, '0')}`
}

/** Row of an audit record; keys order by time (Unix milliseconds). */
export function auditKey (at: number, id: string): string {
  return `audit/${String(at).padStart(TIME_DIGITS, '0')}/${id}`
}

/** Who makes a change, for the audit. */
export interface Author {
  readonly operator: string
  /** Role in which the operator acts, for example `planner`. */
  readonly role: string
}

/** A change of the configuration to be accepted. */
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
  /** Objects known to be stored already, by SHA-256. */
  readonly storedObjects?: ReadonlySet<string>
}

/** Outcome of a change. */
export type AcceptanceOutcome =
  | { readonly kind: 'accepted', readonly head: SheetHead }
  /** Another change was first; `head` is the one in force, undefined when there is none. */
  | { readonly kind: 'conflict', readonly head: SheetHead | undefined }

/** Reads rows. */
export interface ReadRows extends Command<'readRows', readonly Row[]> { readonly kind: 'readRows', readonly keys: readonly string[] }
/** Stores one object; repeating it is harmless. */
export interface PutObject extends Command<'putObject'> { readonly kind: 'putObject', readonly sha256: string, readonly content: Uint8Array }
/** Runs a transaction; a rejection means that the outcome is not known. */
export interface Transact extends Command<'transact', TransactOutcome> { readonly kind: 'transact', readonly checks: readonly RowCheck[], readonly writes: readonly RowWrite[] }
/** What acceptance asks of the platform. */
export type AcceptanceCommand = ReadRows | PutObject | Transact

/** Head in a row; undefined when the row is absent. */
export function readHead (row: Row | undefined): SheetHead | undefined {
  return row === undefined || row.version === 0n ? undefined : fromBinary(SheetHeadSchema, row.value)
}

/** Accepts a change by compare-and-set on the head: objects first, then head, revision row and audit row in one transaction. */
export function * acceptChange (change: ConfigurationChange): Decision<AcceptanceCommand, AcceptanceOutcome> {
  const head = signHead(change.fleetKey, { revision: change.baseRevision + 1n, sha256: change.configuration.sha256, operator: change.author.operator, acceptedAt: change.at })
  const [headRow, revisionRow] = yield * perform<ReadRows>({ kind: 'readRows', keys: [HEAD_KEY, revisionKey(head.revision)] })
  const inForce = readHead(headRow)
  if ((inForce?.revision ?? 0n) !== change.baseRevision) return evaluate(head, readHead(revisionRow), inForce)
  for (const [sha256, content] of change.configuration.objects) {
    if (change.storedObjects?.has(sha256) !== true) yield * perform<PutObject>({ kind: 'putObject', sha256, content })
  }
  return yield * moveHead(change, head, headRow?.version ?? 0n)
}

/** The same transaction is repeated until its outcome is known; its checks let it apply at most once. */
function * moveHead (change: ConfigurationChange, head: SheetHead, headVersion: bigint): Decision<AcceptanceCommand, AcceptanceOutcome> {
  const transaction: Transact = { kind: 'transact', ...headTransaction(change, head, headVersion) }
  for (let attempt = 1; ; attempt++) {
    try {
      if ((yield * perform(transaction)).kind === 'applied') return { kind: 'accepted', head }
    } catch (error) {
      if (attempt === OUTCOME_TRIES) throw error
    }
    const outcome = yield * readOutcome(head)
    if (outcome !== undefined) return outcome
  }
}

/** What the rows show; undefined when the change has not taken effect and may still do so, or when they can't be read. */
function * readOutcome (head: SheetHead): Decision<AcceptanceCommand, AcceptanceOutcome | undefined> {
  try {
    const [revisionRow, headRow] = yield * perform<ReadRows>({ kind: 'readRows', keys: [revisionKey(head.revision), HEAD_KEY] })
    const atRevision = readHead(revisionRow)
    return atRevision === undefined ? undefined : evaluate(head, atRevision, readHead(headRow))
  } catch {
    return undefined
  }
}

/** The change is in force when its revision holds its content under the same operator: an earlier try whose reply was lost. */
function evaluate (head: SheetHead, atRevision: SheetHead | undefined, inForce: SheetHead | undefined): AcceptanceOutcome {
  const same = atRevision?.revision === head.revision && atRevision.sha256 === head.sha256 && atRevision.operator === head.operator
  return same ? { kind: 'accepted', head: atRevision } : { kind: 'conflict', head: inForce }
}

function headTransaction (change: ConfigurationChange, head: SheetHead, headVersion: bigint): { readonly checks: readonly RowCheck[], readonly writes: readonly RowWrite[] } {
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
    writes: rows.map(({ key, value: content }) => ({ key, value: content, delete: false }))
  }
}
