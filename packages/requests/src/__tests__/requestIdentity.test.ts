import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { matchResponse, REQUEST_ID_HEADER } from '../matchResponse.js'
import { claimKey, computeRequestIdentity, type RequestIdentity, type RequestIdentityInput } from '../requestIdentity.js'

function identityOf (body: string, changes: Partial<RequestIdentityInput> = {}): RequestIdentity {
  return computeRequestIdentity({ clientAccount: 'escuela', idempotencyKey: 'k1', idempotent: false, target: 'ledger POST /deposits', body: new TextEncoder().encode(body), randomId: 'random', ...changes })
}

describe('computeRequestIdentity', () => {
  // Guards against a poison request that evades quarantine by a new idempotency key, account, JSON key order or whitespace.
  test('the fingerprint depends only on target and content', () => {
    fc.assert(fc.property(fc.dictionary(fc.string(), fc.jsonValue()), (value) => {
      const reversed = Object.fromEntries(Object.entries(value).reverse())
      const first = identityOf(JSON.stringify(value))
      const second = identityOf(JSON.stringify(reversed, null, 2), { idempotencyKey: 'k2', clientAccount: 'otra' })
      expect(second.fingerprint).toBe(first.fingerprint)
      expect(second.requestId).not.toBe(first.requestId)
    }))
  })

  test.each([
    ['body', identityOf('{"a":2}')],
    ['target', identityOf('{"a":1}', { target: 'ledger POST /pledges' })],
    ['bytes that are not JSON', identityOf('{"a":1')],
    ['bytes that are not UTF-8', identityOf('', { body: new Uint8Array([0xff, 0xfe]) })]
  ])('a different %s changes body hash and fingerprint but not the request ID of a non-idempotent request', (_name, other) => {
    const first = identityOf('{"a":1}')
    expect(other.bodyHash).not.toBe(first.bodyHash)
    expect(other.fingerprint).not.toBe(first.fingerprint)
    expect(other.requestId).toBe(first.requestId)
  })

  // Guards against answering a request with the recorded answer of another one, because their long numbers parse to the same value.
  test('bodies that differ only beyond double precision have different hashes', () => {
    expect(identityOf('{"a":12345678901234567890}').bodyHash).not.toBe(identityOf('{"a":12345678901234567891}').bodyHash)
  })

  test('the request ID of an idempotent request depends on its body; without a key it is the random ID', () => {
    expect(identityOf('1', { idempotent: true }).requestId).not.toBe(identityOf('2', { idempotent: true }).requestId)
    expect(identityOf('1', { idempotencyKey: undefined }).requestId).toBe('random')
  })

  // Guards against a stack overflow on malicious nesting, which would crash the router.
  test('hashes deeply nested bodies', () => {
    const deep = '['.repeat(50_000) + ']'.repeat(50_000)
    expect(identityOf(deep).fingerprint).toHaveLength(64)
  })

  // Guards against two client accounts sharing a claim row.
  test('claim keys of different client accounts or idempotency keys differ', () => {
    expect(claimKey('a', 'k')).not.toBe(claimKey('b', 'k'))
    expect(claimKey('a', 'k')).not.toBe(claimKey('a', 'k2'))
  })
})

describe('matchResponse', () => {
  test.each([
    ['r1', 'matches'], ['r2', 'differs'], [['r1', 'r2'], 'differs'], [undefined, 'missing']
  ])('a response with ID %j: %s', (received, kind) => {
    expect(matchResponse('r1', { [REQUEST_ID_HEADER]: received })).toEqual({ kind })
  })
})
