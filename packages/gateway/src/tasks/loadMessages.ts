import * as v from 'valibot'
import type { HomeSums, InstanceReport, OthersSums, OwnSums } from '../decisions/loadBoard.js'
import { decodeRows, type LoadFigures } from '../decisions/loadRows.js'
import type { ServiceSums } from '../decisions/loadSums.js'

/**
 * Messages of the path `/loads`. Services and rows are arrays by position; elements beyond the known ones are ignored. An entry
 * of a service that is malformed is left out, and the others are used.
 */

/** Rates are sent as integers, in hundredths of a request per second. */
const RATE_UNITS = 100
const MAX_NAME_LENGTH = 200
const MAX_INTERVAL_MS = 60_000
const MAX_AGE_MS = 600_000
const KEY_PATTERN = /^[\w-]{6}$/

const integer = v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(1_000_000_000))
const name = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_LENGTH))
const key = v.pipe(v.string(), v.regex(KEY_PATTERN))
/** Name, rows. */
const reportedServiceSchema = v.tuple([name, v.string()])
/** Name, instances, requests sent and rejected, requests in progress, tokens, rows. */
const summedServiceSchema = v.tuple([name, v.pipe(integer, v.minValue(1)), integer, integer, integer, integer, v.string()])
/** Key of the instance, age of its report in milliseconds. */
const reporterSchema = v.tuple([key, integer])
const interval = v.pipe(v.number(), v.minValue(1), v.maxValue(MAX_INTERVAL_MS))

const reportSchema = v.object({ to: v.string(), kind: v.literal('report'), from: key, interval, services: v.array(v.unknown()) })
const sumsEntries = { kind: v.literal('sums'), home: name, domain: name, reporters: v.array(v.unknown()), services: v.array(v.unknown()) }
const messageSchema = v.variant('kind', [reportSchema, v.object({ to: v.string(), ...sumsEntries })])
const othersSchema = v.object({ kind: v.literal('others'), reporters: integer, age: v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_AGE_MS)), complete: v.boolean(), services: v.array(v.unknown()) })
const sumsReplySchema = v.object(sumsEntries)

/** A message as it is sent, without its receiver. */
export type LoadMessage =
  | Omit<v.InferOutput<typeof reportSchema>, 'to'>
  | v.InferOutput<typeof sumsReplySchema>

/** The reply to a report; the sums of another home in reply to sums, or none when it sends them itself. */
export type LoadReply = v.InferOutput<typeof othersSchema> | v.InferOutput<typeof sumsReplySchema> | { readonly kind: 'noted' }

/** A parsed message; `unreadable` is the first part that was left out. */
export type ParsedMessage =
  | { readonly kind: 'report', readonly to: string, readonly report: InstanceReport, readonly unreadable: string | undefined }
  | { readonly kind: 'sums', readonly to: string, readonly sums: HomeSums, readonly unreadable: string | undefined }

/** Collects the first part that can't be read. */
interface Unreadable { value: string | undefined }

function parseEntries<Schema extends v.GenericSchema> (schema: Schema, entries: readonly unknown[], unreadable: Unreadable): v.InferOutput<Schema>[] {
  return entries.flatMap((entry) => {
    const parsed = v.safeParse(schema, entry)
    if (parsed.success) return [parsed.output]
    unreadable.value ??= (JSON.stringify(entry) ?? '').slice(0, 100)
    return []
  })
}

function readRows (text: string, now: number, unreadable: Unreadable): ReadonlyMap<string, LoadFigures> {
  const decoded = decodeRows(text, now)
  unreadable.value ??= decoded.unreadable
  return decoded.rows
}

function toHomeSums ({ home, domain, reporters, services }: v.InferOutput<typeof sumsReplySchema>, now: number, unreadable: Unreadable): HomeSums {
  return {
    home,
    failureDomain: domain,
    reporters: new Map(parseEntries(reporterSchema, reporters, unreadable).map(([reporter, age]) => [reporter, now - age])),
    services: parseEntries(summedServiceSchema, services, unreadable).map(([service, instances, sent, rejected, , , rows]) => ({ name: service, instances, sentPerSecond: sent / RATE_UNITS, rejectedPerSecond: rejected / RATE_UNITS, rows: readRows(rows, now, unreadable) }))
  }
}

/** Parses a message; undefined when it is malformed as a whole. */
export function parseLoadMessage (message: unknown, now: number): ParsedMessage | undefined {
  const parsed = v.safeParse(messageSchema, message)
  if (!parsed.success) return undefined
  const unreadable: Unreadable = { value: undefined }
  const { output } = parsed
  switch (output.kind) {
    case 'report': {
      const services = parseEntries(reportedServiceSchema, output.services, unreadable).map(([service, rows]) => ({ name: service, rows: readRows(rows, now, unreadable) }))
      return { kind: 'report', to: output.to, report: { reporter: output.from, intervalMilliseconds: output.interval, services }, unreadable: unreadable.value }
    }
    case 'sums': {
      const sums = toHomeSums(output, now, unreadable)
      return { kind: 'sums', to: output.to, sums, unreadable: unreadable.value }
    }
  }
}

function encodeServices (services: readonly ServiceSums[]): unknown[] {
  return services.map((service) => [service.name, service.instances, Math.round(service.sentPerSecond * RATE_UNITS), Math.round(service.rejectedPerSecond * RATE_UNITS), service.requests, service.unansweredTokens, service.rows])
}

/** Encodes the reply to a report. */
export function encodeOthers ({ reporters, ageMilliseconds, isComplete, services }: OthersSums): LoadReply {
  return { kind: 'others', reporters, age: Math.round(ageMilliseconds), complete: isComplete, services: encodeServices(services) }
}

/** Parses the reply to a report; undefined when it is malformed as a whole. */
export function parseOthers (reply: unknown): { readonly others: OthersSums, readonly unreadable: string | undefined } | undefined {
  const parsed = v.safeParse(othersSchema, reply)
  if (!parsed.success) return undefined
  const unreadable: Unreadable = { value: undefined }
  const services = parseEntries(summedServiceSchema, parsed.output.services, unreadable).map(([service, instances, sent, rejected, requests, unansweredTokens, rows]) => ({ name: service, instances, sentPerSecond: sent / RATE_UNITS, rejectedPerSecond: rejected / RATE_UNITS, requests, unansweredTokens, rows }))
  const { reporters, age, complete } = parsed.output
  return { others: { reporters, ageMilliseconds: age, isComplete: complete, services }, unreadable: unreadable.value }
}

/** Encodes sums for another home. */
export function encodeSums (home: string, failureDomain: string, { reporters, services }: OwnSums, now: number): v.InferOutput<typeof sumsReplySchema> {
  return { kind: 'sums', home, domain: failureDomain, reporters: [...reporters].map(([reporter, at]) => [reporter, Math.max(0, Math.round(now - at))]), services: encodeServices(services) }
}

/** Parses the sums with which another home replies; undefined when they are malformed as a whole. */
export function parseSums (reply: unknown, now: number): { readonly sums: HomeSums, readonly unreadable: string | undefined } | undefined {
  const parsed = v.safeParse(sumsReplySchema, reply)
  if (!parsed.success) return undefined
  const unreadable: Unreadable = { value: undefined }
  const sums = toHomeSums(parsed.output, now, unreadable)
  return { sums, unreadable: unreadable.value }
}
