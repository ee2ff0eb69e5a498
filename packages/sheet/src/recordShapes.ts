import { isIP } from 'node:net'
import { z } from 'zod'

/** Limit of one top-up; sums of many top-ups stay exact in a double. */
export const MAX_TOP_UP_TOKENS = 1_000_000_000_000
const MAX_PRICE_TOKENS = 1_000_000_000
const MAX_CONTEXT_TOKENS = 10_000_000
const MAX_WEIGHT = 100
const MAX_SLOTS = 1024
const MAX_PORT = 65_535

const IDENTIFIER_PATTERN = /^[A-Za-z0-9](?:[A-Za-z0-9._-]{0,62}[A-Za-z0-9])?$/
/** A key ID contains no dot, because the first dot of KEY_ID.SECRET ends it. */
const KEY_ID_PATTERN = /^[A-Za-z0-9](?:[A-Za-z0-9_-]{0,62}[A-Za-z0-9])?$/
const SALT_PATTERN = /^(?:[0-9a-f]{2}){16,64}$/
const SHA256_PATTERN = /^[0-9a-f]{64}$/
const METHOD_PATTERN = /^(?:[A-Z]{1,16}|\*)$/
const PATH_PREFIX_PATTERN = /^\/(?:[A-Za-z0-9._~-]+(?:\/[A-Za-z0-9._~-]+)*\/?)?$/

const identifier = z.string().regex(IDENTIFIER_PATTERN).describe('use 1 to 64 letters, digits, ".", "_" or "-", starting and ending with a letter or digit')
const identifierList = z.array(z.string().regex(IDENTIFIER_PATTERN)).describe('list IDs; in CSV separate them by spaces')
const flag = z.boolean().describe('use true or false')

function integer (minimum: number, maximum: number): z.ZodNumber {
  return z.number().int().min(minimum).max(maximum).describe(`use a whole number from ${minimum} to ${maximum}`)
}

/** True for http://IP:PORT with an IP address, not a host name, and a port from 1 to 65535. */
export function isAddress (text: string): boolean {
  const [, bracketed, plain, port] = /^http:\/\/(?:\[([^\]]+)\]|([^:/]+)):(\d{1,5})$/.exec(text) ?? []
  const host = bracketed ?? plain
  if (host === undefined || isIP(host) !== (bracketed === undefined ? 4 : 6)) return false
  return Number(port) >= 1 && Number(port) <= MAX_PORT
}

function isPathPrefix (text: string): boolean {
  return PATH_PREFIX_PATTERN.test(text) && !text.split('/').some((segment) => segment === '.' || segment === '..')
}

/** Zod schema of each kind of record; the description of a field states the allowed values. */
export const recordShapes = {
  deployment: z.strictObject({ id: identifier }),
  clientAccount: z.strictObject({
    id: identifier,
    weight: integer(1, MAX_WEIGHT).optional(),
    targets: identifierList.min(1).describe('list at least one model or service; in CSV separate them by spaces')
  }),
  budget: z.strictObject({ id: identifier, clientAccount: identifier }),
  topUp: z.strictObject({ id: identifier, budget: identifier, tokens: integer(1, MAX_TOP_UP_TOKENS) }),
  key: z.strictObject({
    id: z.string().regex(KEY_ID_PATTERN).describe('use 1 to 64 letters, digits, "_" or "-" without dots, starting and ending with a letter or digit'),
    clientAccount: identifier,
    budget: identifier,
    saltHex: z.string().regex(SALT_PATTERN).describe('use 32 to 128 lower-case hexadecimal digits, as "quinceshunt key issue" creates them'),
    hashHex: z.string().regex(SHA256_PATTERN).describe('use the 64 lower-case hexadecimal digits of SHA-256(salt, secret); never put the key itself in a sheet'),
    revoked: flag.optional()
  }),
  model: z.strictObject({
    id: identifier,
    contextTokens: integer(1, MAX_CONTEXT_TOKENS),
    completionTokens: integer(1, MAX_CONTEXT_TOKENS)
  }),
  service: z.strictObject({ id: identifier }),
  route: z.strictObject({
    service: identifier,
    method: z.string().regex(METHOD_PATTERN).describe('use an HTTP method in upper case, or *'),
    pathPrefix: z.string().refine(isPathPrefix).describe('use a path that starts with "/", without query, escapes or dot segments'),
    idempotent: flag,
    priceTokens: integer(0, MAX_PRICE_TOKENS).optional()
  }),
  backendServer: z.strictObject({
    id: identifier,
    target: identifier,
    address: z.string().refine(isAddress).describe('use http://IP:PORT with an IP number and a port from 1 to 65535'),
    failureDomain: identifier,
    slots: integer(1, MAX_SLOTS),
    clientAccounts: identifierList.optional(),
    checksFencing: flag.optional()
  })
} as const

/** Kind of record of a sheet. */
export type RecordKind = keyof typeof recordShapes
/** A record that conforms to its schema. */
export type ValidRecord<Kind extends RecordKind> = z.infer<typeof recordShapes[Kind]>

/** All kinds in the order in which `formatSheet` writes them. */
export const RECORD_KINDS = Object.keys(recordShapes) as readonly RecordKind[]

export function fieldNames (kind: RecordKind): readonly string[] {
  return Object.keys(recordShapes[kind].shape)
}

/** Describes the allowed values of a field; empty for an unknown field. */
export function describeAllowedValues (kind: RecordKind, field: string): string {
  const shape: Record<string, z.ZodType> = recordShapes[kind].shape
  const type = shape[field]
  // The description of an optional field may be on the wrapped type.
  return type?.description ?? (type instanceof z.ZodOptional ? (type.unwrap() as z.ZodType).description : undefined) ?? ''
}

/** How a CSV cell is parsed. */
export type CellType = 'text' | 'number' | 'flag' | 'list'

export function cellType (kind: RecordKind, field: string): CellType {
  const shape: Record<string, z.ZodType> = recordShapes[kind].shape
  const type = shape[field]
  const inner = type instanceof z.ZodOptional ? type.unwrap() : type
  if (inner instanceof z.ZodNumber) return 'number'
  if (inner instanceof z.ZodBoolean) return 'flag'
  return inner instanceof z.ZodArray ? 'list' : 'text'
}

/** Converts camel case to snake case: `clientAccount` to `client_account`. */
export function snakeCase (name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
}
