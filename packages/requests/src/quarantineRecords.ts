import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row, RowCheck, RowWrite } from '@quinceshunt/table-store'
import { SuspectRecordSchema, SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'

/** Prefix of all suspects' rows. */
export const SUSPECT_PREFIX = 'suspect/'
/** Neighbours that a record names, at most. */
const NEIGHBOUR_LIMIT = 32

/** Row key of a suspect. */
export const suspectKey = (fingerprint: string): string => `${SUSPECT_PREFIX}${fingerprint}`
/** Row key of the trial on a backend server. */
export const trialKey = (backendServer: string): string => `trial/${backendServer}`

/** A row as read, with the record in it; undefined when it is absent. */
export interface Stored<Record> {
  readonly check: RowCheck
  readonly record: Record | undefined
}

/** Decodes a suspect's row. */
export function storedSuspect (row: Row): Stored<SuspectRecord> {
  return { check: { key: row.key, expectedVersion: row.version }, record: row.version === 0n ? undefined : fromBinary(SuspectRecordSchema, row.value) }
}

/** Decodes the row of a backend server's trial. */
export function storedTrial (row: Row): Stored<TrialRecord> {
  return { check: { key: row.key, expectedVersion: row.version }, record: row.version === 0n ? undefined : fromBinary(TrialRecordSchema, row.value) }
}

/** Write of a suspect's record. */
export function suspectWrite (record: SuspectRecord): RowWrite {
  return { key: suspectKey(record.fingerprint), value: toBinary(SuspectRecordSchema, record), delete: false }
}

/** Write of a trial's record. */
export function trialWrite (backendServer: string, record: TrialRecord): RowWrite {
  return { key: trialKey(backendServer), value: toBinary(TrialRecordSchema, record), delete: false }
}

/** Deletion of a row. */
export function deletion (key: string): RowWrite {
  return { key, value: new Uint8Array(), delete: true }
}

/** What changes from one record of a suspect to the next. */
export type SuspectChange = Partial<Pick<SuspectRecord, 'crashCount' | 'state' | 'trialIncarnation' | 'trialBackendServer' | 'neighbours'>>

/** Next record of a suspect; its `updatedAt` is always above the earlier one's, whatever the clocks say. */
export function changeSuspect (fingerprint: string, earlier: SuspectRecord | undefined, now: number, change: SuspectChange): SuspectRecord {
  const updatedAt = BigInt(now) > (earlier?.updatedAt ?? 0n) ? BigInt(now) : earlier!.updatedAt + 1n
  return { ...(earlier ?? create(SuspectRecordSchema)), fingerprint, ...change, updatedAt }
}

/** Of two records of one suspect, the later; at the same time the more severe. */
export function laterSuspect (first: SuspectRecord | undefined, second: SuspectRecord | undefined): SuspectRecord | undefined {
  if (first === undefined || second === undefined) return first ?? second
  if (first.updatedAt !== second.updatedAt) return first.updatedAt > second.updatedAt ? first : second
  return severity(first.state) >= severity(second.state) ? first : second
}

function severity (state: SuspectState): number {
  return state === SuspectState.CLEARED ? -1 : state
}

/** Whether a fingerprint may only run as a trial. */
export function isSuspected (record: SuspectRecord | undefined): boolean {
  return record?.state === SuspectState.SUSPECT || record?.state === SuspectState.ON_TRIAL
}

/** Whether a record says that its fingerprint is on trial on the backend server. */
export function isOnTrialAt (record: SuspectRecord | undefined, backendServer: string): record is SuspectRecord {
  return record?.state === SuspectState.ON_TRIAL && record.trialBackendServer === backendServer
}

/** Joins two lists of neighbours, without the fingerprint itself. */
export function joinNeighbours (fingerprint: string, first: readonly string[], second: readonly string[]): string[] {
  const joined = new Set([...first, ...second])
  joined.delete(fingerprint)
  return [...joined].slice(0, NEIGHBOUR_LIMIT)
}
