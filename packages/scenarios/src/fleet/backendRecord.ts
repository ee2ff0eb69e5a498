import type { Run } from '@quinceshunt/backend-standin'
import type { FleetMember } from './fleetMember.js'

/** One run as a backend server stand-in recorded it; described in its README. */
export type RecordedRun = Readonly<Run>

/** What a backend server stand-in has run since it started. */
export interface BackendRecord {
  readonly id: string
  readonly incarnation: string
  readonly state: 'live' | 'leaving'
  readonly leavingSince: number | null
  readonly runs: readonly RecordedRun[]
  readonly orders?: readonly { readonly kind: string, readonly name: string, readonly fencingNumber: number, readonly receivedAt: number, readonly executed: boolean }[]
}

/** Reads the record of a backend server. */
export async function readRecord (member: FleetMember): Promise<BackendRecord> {
  return await (await fetch(`${member.address()}/record`)).json() as BackendRecord
}

/** Runs of all given backend servers, in the order of arrival. */
export async function readRuns (members: readonly FleetMember[]): Promise<RecordedRun[]> {
  const records = await Promise.all(members.map(readRecord))
  return records.flatMap((record) => record.runs).sort((one, other) => one.arrivedAt - other.arrivedAt)
}
