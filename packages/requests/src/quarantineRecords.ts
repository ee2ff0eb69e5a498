import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import type { Row, RowCheck, RowWrite } from '@quinceshunt/table-store'
import { SuspectRecordSchema, SuspectState, TrialRecordSchema, type SuspectRecord, type TrialRecord } from '@quinceshunt/schemas'

/** Key prefix of all suspect rows. */
export const SUSPECT_PREFIX = 'suspect/'
const MAX_NEIGHBOURS = 32

/** Row key of a suspect. */
export const suspectKey = (fingerprint: string): string => `${SUSPECT_PREFIX}${fingerprint}`
/** Row key of the trial on a backend server. */
export const trialKey = (backendServer: string): string => `trial/${backendServer}`

/** Decoded row with the version check for its next write; `record` is undefined if the row is absent. */
export interface StoredRecord<Record> {
  readonly check: RowCheck
  readonly record: Record | undefined
}

export function decodeSuspect (row: Row): StoredRecord<SuspectRecord> {
  return { check: { key: row.key, expectedVersion: row.version }, record: row.version === 0n ? undefined : fromBinary(SuspectRecordSchema, row.value) }
}

export function decodeTrial (row: Row): StoredRecord<TrialRecord> {
  return { check: { key: row.key, expectedVersion: row.version }, record: row.version === 0n ? undefined : fromBinary(TrialRecordSchema, row.value) }
}

/** Creates the row write of a suspect's record. */
export function suspectWrite (record: SuspectRecord): RowWrite {
  return { key: suspectKey(record.fingerprint), value: toBinary(SuspectRecordSchema, record), delete: false }
}

/** Creates the row write of a trial's record. */
export function trialWrite (backendServer: string, record: TrialRecord): RowWrite {
  return { key: trialKey(backendServer), value: toBinary(TrialRecordSchema, record), delete: false }
}

/** Creates the write that deletes a row. */
export function rowDeletion (key: string): RowWrite {
  return { key, value: new Uint8Array(), delete: true }
}

/** Fields that an update of a suspect's record may change. */
export type SuspectChange = Partial<Pick<SuspectRecord, 'crashCount' | 'state' | 'trialIncarnation' | 'trialBackendServer' | 'neighbours'>>

/** Returns the updated record of a suspect; its `updatedAt` always increases, even if clocks disagree. */
export function updateSuspect (fingerprint: string, earlier: SuspectRecord | undefined, now: number, change: SuspectChange): SuspectRecord {
  const updatedAt = BigInt(now) > (earlier?.updatedAt ?? 0n) ? BigInt(now) : earlier!.updatedAt + 1n
  return { ...(earlier ?? create(SuspectRecordSchema)), fingerprint, ...change, updatedAt }
}

/** Returns the later of two records of one suspect; on equal times, the one with the more severe state. */
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

/** Whether the fingerprint is on trial on the backend server. */
export function isOnTrialAt (record: SuspectRecord | undefined, backendServer: string): record is SuspectRecord {
  return record?.state === SuspectState.ON_TRIAL && record.trialBackendServer === backendServer
}

/** Merges two lists of neighbours without the fingerprint itself, up to the limit. */
export function mergeNeighbours (fingerprint: string, first: readonly string[], second: readonly string[]): string[] {
  const merged = new Set([...first, ...second])
  merged.delete(fingerprint)
  return [...merged].slice(0, MAX_NEIGHBOURS)
}
