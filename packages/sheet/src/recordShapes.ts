import { isIP } from 'node:net'
import { z } from 'zod'

/** Largest amount of one top-up, tokens; sums of many stay exact in a double. */
export const LARGEST_TOP_UP_TOKENS = 1_000_000_000_000
const LARGEST_PRICE_TOKENS = 1_000_000_000
const LARGEST_CONTEXT_TOKENS = 10_000_000
const LARGEST_WEIGHT = 100
const LARGEST_SLOTS = 1024
const LARGEST_PORT = 65_535

const IDENTIFIER = /^[A-Za-z0-9](?:[A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$/
/** A key ID ends at the first dot of KEY_ID.SECRET and so contains none. */
const KEY_IDENTIFIER = /^[A-Za-z0-9](?:[A-Za-z0-9_-]{0,62}[A-Za-z0-9])?$/
const SALT = /^(?:[0-9a-f]{2}){16,64}$/
const HASH = /^[0-9a-f]{64}$/
const METHOD = /^(?:[A-Z]{1,16}|\*)$/
const PATH_PREFIX = /^\/(?:[A-Za-z0-9._~-]+(?:\/[A-Za-z0-9._~-]+)*\/?)?$/

const identifier = z.string().regex(IDENTIFIER).describe('use 1 to 64 letters, digits, ".", "_" or "-", starting and ending with a letter or digit')
const identifierList = z.array(z.string().regex(IDENTIFIER)).describe('list IDs; in CSV separate them by spaces')
const flag = z.boolean().describe('use true or false')

function wholeNumber (minimum: number, maximum: number): z.ZodNumber {
  return z.number().int().min(minimum).max(maximum).describe(`use a whole number from ${minimum} to ${maximum}`)
}

/** True for http://IP:PORT with an IP number and a port from 1 to 65535. */
export function isAddress (text: string): boolean {
  const [, bracketed, plain, port] = /^http:\/\/(?:\[([^\]]+)\]|([^:/]+)):(\d{1,5})$/.exec(text) ?? []
  const host = bracketed ?? plain
  if (host === undefined || isIP(host) !== (bracketed === undefined ? 4 : 6)) return false
  return Number(port) >= 1 && Number(port) <= LARGEST_PORT
}

function isPathPrefix (text: string): boolean {
  return PATH_PREFIX.test(text) && !text.split('/').some((segment) => segment === '.' || segment === '..')
}

/** Shape of each kind of record; the description of a field says what is allowed. */
export const recordShapes = {
  deployment: z.strictObject({ id: identifier }),
  clientAccount: z.strictObject({
    id: identifier,
    weight: wholeNumber(1, LARGEST_WEIGHT).optional(),
    targets: identifierList.min(1).describe('list at least one model or service; in CSV separate them by spaces')
  }),
  budget: z.strictObject({ id: identifier, clientAccount: identifier }),
  topUp: z.strictObject({ id: identifier, budget: identifier, tokens: wholeNumber(1, LARGEST_TOP_UP_TOKENS) }),
  key: z.strictObject({
    id: z.string().regex(KEY_IDENTIFIER).describe('use 1 to 64 letters, digits, "_" or "-" without dots, starting and ending with a letter or digit'),
    clientAccount: identifier,
    budget: identifier,
    saltHex: z.string().regex(SALT).describe('use 32 to 128 lower-case hexadecimal digits, as "quinceshunt key issue" creates them'),
    hashHex: z.string().regex(HASH).describe('use the 64 lower-case hexadecimal digits of SHA-256(salt, secret); never put the key itself in a sheet'),
    revoked: flag.optional()
  }),
  model: z.strictObject({
    id: identifier,
    contextTokens: wholeNumber(1, LARGEST_CONTEXT_TOKENS),
    completionTokens: wholeNumber(1, LARGEST_CONTEXT_TOKENS)
  }),
  service: z.strictObject({ id: identifier }),
  route: z.strictObject({
    service: identifier,
    method: z.string().regex(METHOD).describe('use an HTTP method in upper case, or *'),
    pathPrefix: z.string().refine(isPathPrefix).describe('use a path that starts with "/", without query, escapes or dot segments'),
    idempotent: flag,
    priceTokens: wholeNumber(0, LARGEST_PRICE_TOKENS).optional()
  }),
  backendServer: z.strictObject({
    id: identifier,
    target: identifier,
    address: z.string().refine(isAddress).describe('use http://IP:PORT with an IP number and a port from 1 to 65535'),
    failureDomain: identifier,
    slots: wholeNumber(1, LARGEST_SLOTS),
    clientAccounts: identifierList.optional(),
    checksFencing: flag.optional()
  })
} as const

/** Kind of record of a sheet. */
export type RecordKind = keyof typeof recordShapes
/** A record whose shape has been checked. */
export type RecordOf<Kind extends RecordKind> = z.infer<typeof recordShapes[Kind]>

/** All kinds in the order in which sheets are written. */
export const RECORD_KINDS = Object.keys(recordShapes) as readonly RecordKind[]

/** Names of the fields of a kind. */
export function fieldNames (kind: RecordKind): readonly string[] {
  return Object.keys(recordShapes[kind].shape)
}

/** What is allowed in a field; empty for an unknown field. */
export function allowedIn (kind: RecordKind, field: string): string {
  const shape: Record<string, z.ZodType> = recordShapes[kind].shape
  const type = shape[field]
  // An optional field carries the description of the type that it wraps.
  return type?.description ?? (type instanceof z.ZodOptional ? (type.unwrap() as z.ZodType).description : undefined) ?? ''
}

/** How the text of a CSV cell is read. */
export type CellType = 'text' | 'number' | 'flag' | 'list'

/** Type of a field's cells in CSV. */
export function cellType (kind: RecordKind, field: string): CellType {
  const shape: Record<string, z.ZodType> = recordShapes[kind].shape
  const type = shape[field]
  const inner = type instanceof z.ZodOptional ? type.unwrap() : type
  if (inner instanceof z.ZodNumber) return 'number'
  if (inner instanceof z.ZodBoolean) return 'flag'
  return inner instanceof z.ZodArray ? 'list' : 'text'
}

/** `clientAccount` as `client_account`. */
export function snakeCase (name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
}
