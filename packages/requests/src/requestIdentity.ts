import { createHash } from 'node:crypto'
import { canonicalBody } from './canonicalBody.js'

/** What identifies a request is computed from. */
export interface RequestIdentityInput {
  readonly clientAccount: string
  /** `Idempotency-Key` of the caller; undefined when there is none. */
  readonly idempotencyKey: string | undefined
  /** As the sheet says for the route; models are idempotent. */
  readonly idempotent: boolean
  /** Model, or service, method and path with its query, for example `ledger POST /deposits`. */
  readonly target: string
  readonly body: Uint8Array
  /** Random UUID, used as request ID when there is no key. */
  readonly randomId: string
}

/** Names of a request; all but a random `requestId` are hex SHA-256. */
export interface RequestIdentity {
  /** Names the bill and the answer. */
  readonly requestId: string
  /** Hash of target and body as sent: parsing JSON loses digits of long numbers and repeated names, which must not make two actions equal. */
  readonly bodyHash: string
  /** Names the content for crash quarantine, whatever client account and key sent it. */
  readonly fingerprint: string
}

/** Computes request ID, body hash and fingerprint of a request. */
export function computeRequestIdentity (input: RequestIdentityInput): RequestIdentity {
  const bodyHash = hashParts(['body', input.target, input.body])
  return {
    requestId: requestId(input, bodyHash),
    bodyHash,
    fingerprint: hashParts(['fingerprint', input.target, canonicalBody(input.body)])
  }
}

/** Table key of the claim of a client account's idempotency key. */
export function claimKey (clientAccount: string, idempotencyKey: string): string {
  return `claim/${encodeURIComponent(clientAccount)}/${hashParts(['key', idempotencyKey])}`
}

function requestId (input: RequestIdentityInput, bodyHash: string): string {
  if (input.idempotencyKey === undefined) return input.randomId
  const parts = ['request', input.clientAccount, input.idempotencyKey]
  return hashParts(input.idempotent ? [...parts, bodyHash] : parts)
}

/** Each part is preceded by its length, so that no two lists of parts share a hash input. */
function hashParts (parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest('hex')
}
