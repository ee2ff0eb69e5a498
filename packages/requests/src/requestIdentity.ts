import { createHash } from 'node:crypto'
import { canonicalBody } from './canonicalBody.js'

/** Input of `computeRequestIdentity`. */
export interface RequestIdentityInput {
  readonly clientAccount: string
  /** `Idempotency-Key` header of the caller. */
  readonly idempotencyKey: string | undefined
  /** As configured in the sheet for the route; models are idempotent. */
  readonly idempotent: boolean
  /** Model, or service, method and path with its query, for example `ledger POST /deposits`. */
  readonly target: string
  readonly body: Uint8Array
  /** Random UUID, used as the request ID if there is no idempotency key. */
  readonly randomId: string
}

/** Identifiers of a request; all are hex SHA-256, except a random `requestId`. */
export interface RequestIdentity {
  /** Identifies the bill and the response. */
  readonly requestId: string
  /** Hash of the target and the body as sent: parsed JSON loses digits of long numbers and duplicate names, so different requests could look equal. */
  readonly bodyHash: string
  /** Identifies the content for crash quarantine, independent of the client account and the idempotency key. */
  readonly fingerprint: string
}

export function computeRequestIdentity (input: RequestIdentityInput): RequestIdentity {
  const bodyHash = hashParts(['body', input.target, input.body])
  return {
    requestId: requestId(input, bodyHash),
    bodyHash,
    fingerprint: hashParts(['fingerprint', input.target, canonicalBody(input.body)])
  }
}

/** Row key of the claim for a client account's idempotency key. */
export function claimKey (clientAccount: string, idempotencyKey: string): string {
  return `claim/${encodeURIComponent(clientAccount)}/${hashParts(['key', idempotencyKey])}`
}

function requestId (input: RequestIdentityInput, bodyHash: string): string {
  if (input.idempotencyKey === undefined) return input.randomId
  const parts = ['request', input.clientAccount, input.idempotencyKey]
  return hashParts(input.idempotent ? [...parts, bodyHash] : parts)
}

/** Each part is prefixed with its length, so that different lists of parts never produce the same hash input. */
function hashParts (parts: readonly (string | Uint8Array)[]): string {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest('hex')
}
