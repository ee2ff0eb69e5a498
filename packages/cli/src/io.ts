import type { DescMessage, MessageInitShape, MessageShape } from '@bufbuild/protobuf'
import { create, toJson } from '@bufbuild/protobuf'
import Table from 'cli-table3'

/** Output streams and environment variables of a command. */
export interface CommandIo {
  /** Results. */
  readonly writeOut: (text: string) => void
  /** Progress and errors. */
  readonly writeError: (text: string) => void
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Writes a human-readable table, without colour codes so that the output can be piped. */
export function writeTable (io: CommandIo, header: readonly string[], rows: readonly (readonly (string | number | bigint | boolean)[])[]): void {
  const table = new Table({ head: [...header], style: { head: [], border: [] } })
  for (const row of rows) table.push(row.map(String))
  io.writeOut(`${table.toString()}\n`)
}

/** Writes a message as JSON; 64-bit integers become strings, as in the Protocol Buffers JSON mapping. */
export function writeMessage<Schema extends DescMessage> (io: CommandIo, schema: Schema, message: MessageShape<Schema> | MessageInitShape<Schema>): void {
  const json = toJson(schema, create(schema, message as MessageInitShape<Schema>), { alwaysEmitImplicit: true })
  io.writeOut(`${JSON.stringify(json, undefined, 2)}\n`)
}

/** Formats Unix milliseconds as ISO 8601 in UTC. */
export function formatTime (milliseconds: bigint): string {
  return new Date(Number(milliseconds)).toISOString()
}

const MILLISECONDS_PER_MINUTE = 60_000n
const MINUTES_PER_HOUR = 60n
const HOURS_PER_DAY = 24n

/** Formats a duration in its largest units, for example `2 d 3 h`. */
export function formatAge (milliseconds: bigint): string {
  const minutes = milliseconds / MILLISECONDS_PER_MINUTE
  const hours = minutes / MINUTES_PER_HOUR
  if (minutes < 1n) return 'under 1 min'
  if (hours < 1n) return `${minutes} min`
  if (hours < HOURS_PER_DAY) return `${hours} h ${minutes % MINUTES_PER_HOUR} min`
  return `${hours / HOURS_PER_DAY} d ${hours % HOURS_PER_DAY} h`
}
