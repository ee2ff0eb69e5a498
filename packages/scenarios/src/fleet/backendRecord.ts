import type { Run } from '@quinceshunt/backend-standin'
import type { FleetMember } from './fleetMember.js'

/** Run recorded by a backend server stand-in; described in its README. */
export type RecordedRun = Readonly<Run>

/** Record of a backend server stand-in since it started. */
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

/** Reads the runs of all given backend servers, ordered by arrival. */
export async function readRuns (members: readonly FleetMember[]): Promise<RecordedRun[]> {
  const records = await Promise.all(members.map(readRecord))
  return records.flatMap((record) => record.runs).sort((one, other) => one.arrivedAt - other.arrivedAt)
}
