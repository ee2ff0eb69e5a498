import { describe, expect, test } from '@jest/globals'
import { createMemoryPlatform } from '@quinceshunt/table-store'
import fc from 'fast-check'
import { sheetFixture } from '../__fixtures__/sheetFixture.js'
import { HEAD_KEY, decodeHead, type AcceptanceOutcome } from '../acceptance.js'
import { acceptConfiguration } from '../acceptConfiguration.js'
import { assembleConfiguration, buildConfiguration, configurationOf, replaceSheet } from '../configuration.js'
import { generateKey, hashKey, verifySecret, splitKey } from '../keys.js'
import { signHead, verifyHead } from '../sheetHead.js'
import { canonicalPath, pathMatchesPrefix } from '../routePath.js'
import { randomBytes } from 'node:crypto'

const FLEET_KEY = 'fleet-key-of-the-tests'

interface Attempt { readonly operator: string, readonly baseRevision: bigint, readonly sha256: string, readonly outcome: AcceptanceOutcome | undefined }

/** Operators concurrently apply different sheets, each based on the revision it last read; the scheduler interleaves calls, and replies are lost. */
async function raceOperators (scheduler: fc.Scheduler, lostReplies: readonly boolean[], operators: readonly string[]): Promise<{ attempts: Attempt[], heads: bigint[], auditRows: number }> {
  const { table, objects, memoryTable, instances } = createMemoryPlatform()
  let transactCalls = 0
  const heads: bigint[] = []
  const platform = {
    instances,
    objects,
    table: {
      ...table,
      read: async (keys: readonly string[]) => { await scheduler.schedule(Promise.resolve()); return memoryTable.read(keys) },
      transact: async (...[checks, writes]: Parameters<typeof table.transact>) => {
        await scheduler.schedule(Promise.resolve())
        const outcome = memoryTable.transact(checks, writes)
        heads.push(decodeHead(memoryTable.read([HEAD_KEY])[0])?.revision ?? 0n)
        await scheduler.schedule(Promise.resolve())
        if (lostReplies[transactCalls++] === true) throw new Error('reply lost')
        return outcome
      }
    }
  }
  const attempts: Attempt[] = []
  async function applySheets (operator: string): Promise<void> {
    for (let round = 0; round < 2; round++) {
      const baseRevision = decodeHead((await platform.table.read([HEAD_KEY]))[0])?.revision ?? 0n
      const configuration = buildConfiguration(configurationOf(sheetFixture(`${operator} ${round}`)))
      const outcome = await acceptConfiguration(platform, {
        configuration, baseRevision, author: { operator, role: 'planner' }, at: 1, fleetKey: FLEET_KEY, auditId: `${operator}${round}`, action: 'sheet apply', subject: 'taller', detail: ''
      }).catch(() => undefined)
      attempts.push({ operator, baseRevision, sha256: configuration.sha256, outcome })
    }
  }
  await scheduler.waitFor(Promise.all(operators.map(applySheets)))
  return { attempts, heads, auditRows: memoryTable.scan('audit/', '', 1000).rows.length }
}

describe('acceptConfiguration', () => {
  // Guards against lost updates, two accepted changes for one revision, and an accepted change reported as a conflict because its reply was lost.
  test('accepts exactly one of several concurrent changes per revision when replies are lost', async () => {
    const operators = ['ana', 'bruno', 'carla']
    await fc.assert(fc.asyncProperty(fc.scheduler(), fc.array(fc.boolean(), { maxLength: 12 }), async (scheduler, lostReplies) => {
      const { attempts, heads, auditRows } = await raceOperators(scheduler, lostReplies, operators)
      const accepted = attempts.flatMap(({ outcome, ...attempt }) => outcome?.kind === 'accepted' ? [{ ...attempt, head: outcome.head }] : [])
      const revisions = accepted.map(({ head }) => head.revision)
      expect(new Set(revisions).size).toBe(revisions.length)
      for (const { head, baseRevision, operator, sha256 } of accepted) expect(head).toMatchObject({ revision: baseRevision + 1n, operator, sha256 })
      heads.forEach((revision, index) => expect(revision >= (heads[index - 1] ?? 0n)).toBe(true))
      const unknown = attempts.filter(({ outcome }) => outcome === undefined).length
      const lastRevision = Number(heads.at(-1))
      // Every revision has one accepted change, unless its outcome stayed unknown.
      expect(accepted.length).toBeLessThanOrEqual(lastRevision)
      expect(accepted.length + unknown).toBeGreaterThanOrEqual(lastRevision)
      expect(auditRows).toBe(lastRevision)
    }), { numRuns: 200 })
  })

  test('reports a change as accepted when its reply was lost and a later revision is in force', async () => {
    const platform = createMemoryPlatform()
    const change = (operator: string, baseRevision: bigint): Parameters<typeof acceptConfiguration>[1] => ({
      configuration: buildConfiguration(configurationOf(sheetFixture(operator))), baseRevision, author: { operator, role: 'planner' }, at: 1, fleetKey: FLEET_KEY, auditId: operator, action: 'sheet apply', subject: '', detail: ''
    })
    let first = true
    const transact: typeof platform.table.transact = async (checks, writes) => {
      const outcome = await platform.table.transact(checks, writes)
      if (!first) return outcome
      first = false
      await acceptConfiguration(platform, change('bruno', 1n))
      throw new Error('reply lost')
    }
    const outcome = await acceptConfiguration({ ...platform, table: { ...platform.table, transact } }, change('ana', 0n))
    expect(outcome).toMatchObject({ kind: 'accepted', head: { revision: 1n, operator: 'ana' } })
  })
})

describe('configuration', () => {
  const issued = generateKey('school', 'school-2026', randomBytes).key

  test('keeps operators’ changes when a new sheet replaces the one in force', () => {
    const current = { ...configurationOf(sheetFixture()), issuedKeys: [issued], revokedKeyIds: ['k1'], drainedBackendServers: ['painter-1'] }
    const { sha256, objects } = buildConfiguration(replaceSheet(current, sheetFixture('another')))
    const assembled = assembleConfiguration(sha256, (name) => objects.get(name))
    expect(assembled).toMatchObject({ kind: 'assembled', configuration: { sheet: sheetFixture('another'), issuedKeys: [{ id: issued.id }], revokedKeyIds: ['k1'], drainedBackendServers: ['painter-1'] } })
  })

  // Guards against objects corrupted or swapped in storage or transit.
  test('rejects objects that don’t match their hash and lists missing ones', () => {
    const { sha256, objects } = buildConfiguration(configurationOf(sheetFixture()))
    for (const damaged of objects.keys()) {
      const lookUp = (name: string): Uint8Array | undefined => name === damaged ? new Uint8Array([...objects.get(name)!, 0]) : objects.get(name)
      expect(assembleConfiguration(sha256, lookUp)).toEqual({ kind: 'corrupt', sha256: damaged })
      expect(assembleConfiguration(sha256, (name) => name === damaged ? undefined : objects.get(name))).toEqual({ kind: 'missing', sha256: [damaged] })
    }
  })

  test('changes only the manifest and the part of the client account that changed', () => {
    const before = buildConfiguration(configurationOf(sheetFixture()))
    const after = buildConfiguration({ ...configurationOf(sheetFixture()), issuedKeys: [issued] })
    expect([...after.objects.keys()].filter((name) => !before.objects.has(name))).toHaveLength(2)
  })
})

describe('keys and heads', () => {
  test('verifies only the secret that was hashed', () => {
    const { bearerKey, key } = generateKey('school', 'school-2026', randomBytes)
    const { keyId, secret } = splitKey(bearerKey)!
    expect(keyId).toBe(key.id)
    expect(verifySecret(key, secret)).toBe(true)
    expect(verifySecret(key, `${secret}x`)).toBe(false)
    expect(hashKey('00', 'a')).toBe('022a6979e6dab7aa5ae4c3e5e45f7e977112a7e63593820dbec1ec738a24f93c')
  })

  test('verifies a head only with its revision, hash and fleet key', () => {
    const head = signHead(FLEET_KEY, { revision: 7n, sha256: 'a', operator: 'ana', acceptedAt: 1 })
    expect(verifyHead(FLEET_KEY, head)).toBe(true)
    expect(verifyHead(FLEET_KEY, { ...head, revision: 8n })).toBe(false)
    expect(verifyHead(FLEET_KEY, { ...head, sha256: 'b' })).toBe(false)
    expect(verifyHead('another fleet key', head)).toBe(false)
  })

  // Guards against a path that the route check and the backend server resolve differently.
  test('rejects paths with dot segments, empty segments, backslashes or their escapes', () => {
    for (const path of ['/orders/../deposits', '/orders/%2e%2e/deposits', '//deposits', '/a%2Fb', '/a\\b']) expect(canonicalPath(path)).toBeUndefined()
    expect(canonicalPath('/orders/7?x=../')).toBe('/orders/7')
    expect(pathMatchesPrefix('/orders-old', '/orders')).toBe(false)
    expect(pathMatchesPrefix('/orders/7', '/orders')).toBe(true)
  })
})
