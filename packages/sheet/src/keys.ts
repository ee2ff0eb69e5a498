import { create } from '@bufbuild/protobuf'
import { SheetKeySchema, type SheetKey } from '@quinceshunt/schemas'
import { createHash, timingSafeEqual } from 'node:crypto'

const SALT_BYTES = 16
const SECRET_BYTES = 24
const KEY_ID_BYTES = 5

/** Source of randomness, for example `randomBytes` of node:crypto. */
export type RandomBytes = (size: number) => Uint8Array

/** SHA-256 of the salt's bytes followed by the secret in UTF-8, hex. */
export function hashKey (saltHex: string, secret: string): string {
  return createHash('sha256').update(Buffer.from(saltHex, 'hex')).update(secret, 'utf8').digest('hex')
}

/** Splits a bearer key, KEY_ID.SECRET; undefined when either part is missing. */
export function splitKey (bearerKey: string): { readonly keyId: string, readonly secret: string } | undefined {
  const dot = bearerKey.indexOf('.')
  if (dot <= 0 || dot === bearerKey.length - 1) return undefined
  return { keyId: bearerKey.slice(0, dot), secret: bearerKey.slice(dot + 1) }
}

/** Checks a secret against the stored hash in constant time. */
export function verifySecret (key: Pick<SheetKey, 'saltHex' | 'hashHex'>, secret: string): boolean {
  const expected = Buffer.from(key.hashHex, 'hex')
  const actual = Buffer.from(hashKey(key.saltHex, secret), 'hex')
  return expected.length === actual.length && timingSafeEqual(expected, actual)
}

/** Generates a bearer key for the caller and its salted hash for the sheet. */
export function generateKey (clientAccount: string, budget: string, randomBytes: RandomBytes): { readonly bearerKey: string, readonly key: SheetKey } {
  const id = `k${Buffer.from(randomBytes(KEY_ID_BYTES)).toString('hex')}`
  const saltHex = Buffer.from(randomBytes(SALT_BYTES)).toString('hex')
  const secret = Buffer.from(randomBytes(SECRET_BYTES)).toString('base64url')
  const key = create(SheetKeySchema, { id, clientAccount, budget, saltHex, hashHex: hashKey(saltHex, secret) })
  return { bearerKey: `${id}.${secret}`, key }
}
