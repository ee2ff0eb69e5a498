import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { matchAnswer, REQUEST_ID_HEADER } from '../answerMatching.js'
import { claimKey, computeRequestIdentity, type RequestIdentity, type RequestIdentityInput } from '../requestIdentity.js'

function identityOf (body: string, changes: Partial<RequestIdentityInput> = {}): RequestIdentity {
  return computeRequestIdentity({ clientAccount: 'escuela', idempotencyKey: 'k1', idempotent: false, target: 'ledger POST /deposits', body: new TextEncoder().encode(body), randomId: 'random', ...changes })
}

describe('computeRequestIdentity', () => {
  // Guards against a poison request that escapes quarantine by a new key, account, key order or whitespace.
  test('the fingerprint depends on target and content only', () => {
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
  ])('another %s changes hash and fingerprint but not the non-idempotent request ID', (_name, other) => {
    const first = identityOf('{"a":1}')
    expect(other.bodyHash).not.toBe(first.bodyHash)
    expect(other.fingerprint).not.toBe(first.fingerprint)
    expect(other.requestId).toBe(first.requestId)
  })

  // Guards against one deposit answered with the record of another whose long number parses to the same value.
  test('numbers beyond double precision tell bodies apart', () => {
    expect(identityOf('{"a":12345678901234567890}').bodyHash).not.toBe(identityOf('{"a":12345678901234567891}').bodyHash)
  })

  test('idempotent requests with the same key and another body have another ID; no key means the random one', () => {
    expect(identityOf('1', { idempotent: true }).requestId).not.toBe(identityOf('2', { idempotent: true }).requestId)
    expect(identityOf('1', { idempotencyKey: undefined }).requestId).toBe('random')
  })

  // Guards against a stack overflow on hostile nesting, which would end the router.
  test('hashes deeply nested bodies', () => {
    const deep = '['.repeat(50_000) + ']'.repeat(50_000)
    expect(identityOf(deep).fingerprint).toHaveLength(64)
  })

  // Guards against two accounts sharing a claim row.
  test('claim keys of different accounts never collide', () => {
    expect(claimKey('a', 'k')).not.toBe(claimKey('b', 'k'))
    expect(claimKey('a', 'k')).not.toBe(claimKey('a', 'k2'))
  })
})

describe('matchAnswer', () => {
  test.each([
    ['r1', 'matches'], ['r2', 'differs'], [['r1', 'r2'], 'differs'], [undefined, 'missing']
  ])('an answer with ID %j %s', (received, kind) => {
    expect(matchAnswer('r1', { [REQUEST_ID_HEADER]: received })).toEqual({ kind })
  })
})
