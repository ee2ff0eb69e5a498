import { create } from '@bufbuild/protobuf'
import { SheetHeadSchema, type SheetHead } from '@quinceshunt/schemas'
import { createHmac, timingSafeEqual } from 'node:crypto'

/** Keeps the MAC of a sheet head from being valid for other data signed with the fleet key. */
const MAC_DOMAIN_SEPARATOR = 'quinceshunt sheet head 1'

/** HMAC-SHA-256 over revision and manifest hash, with the fleet key. */
function computeMac (fleetKey: string, revision: bigint, sha256: string): Uint8Array {
  return createHmac('sha256', fleetKey).update(`${MAC_DOMAIN_SEPARATOR}\n${revision}\n${sha256}`, 'utf8').digest()
}

/** Creates a signed head. `acceptedAt` is Unix milliseconds. */
export function signHead (fleetKey: string, head: { readonly revision: bigint, readonly sha256: string, readonly operator: string, readonly acceptedAt: number }): SheetHead {
  return create(SheetHeadSchema, { ...head, acceptedAt: BigInt(head.acceptedAt), mac: new Uint8Array(computeMac(fleetKey, head.revision, head.sha256)) })
}

/** True when the MAC matches the fleet key and the head's revision and hash. */
export function verifyHead (fleetKey: string, head: SheetHead): boolean {
  const expected = computeMac(fleetKey, head.revision, head.sha256)
  return head.mac.length === expected.length && timingSafeEqual(head.mac, expected)
}
