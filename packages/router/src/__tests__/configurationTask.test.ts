import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { systemClock } from '@quinceshunt/effects'
import { createMemoryPlatform } from '@quinceshunt/table-store'
import { FleetConfigurationSchema, PeerIdentitySchema, RouterSettingsSchema, SheetKeySchema, type FleetConfiguration, type SheetHead } from '@quinceshunt/schemas'
import { acceptConfiguration, buildConfiguration, hashKey, signHead, type BuiltConfiguration } from '@quinceshunt/sheet'
import { createLogger, createMetrics } from '@quinceshunt/telemetry'
import fc from 'fast-check'
import { createConfigurationTask } from '../configurationTask.js'
import type { PeerDirectory } from '../taskContracts.js'

const FLEET_KEY = 'fleet-key-of-the-tests'
const SALT = '00112233445566778899aabbccddeeff'
const PEER = 'http://127.0.0.1:7001'

function configurationWith (secret: string, changes: Partial<FleetConfiguration> = {}): FleetConfiguration {
  return {
    ...create(FleetConfigurationSchema, {
      sheet: {
        deployment: 'taller',
        clientAccounts: [{ id: 'school', targets: ['painter', 'ledger'] }],
        budgets: [{ id: 'school-2026', clientAccount: 'school' }],
        keys: [{ id: 'k1', clientAccount: 'school', budget: 'school-2026', saltHex: SALT, hashHex: hashKey(SALT, secret) }],
        routes: [{ service: 'ledger', method: 'GET', pathPrefix: '/orders', idempotent: true }, { service: 'ledger', method: '*', pathPrefix: '/', idempotent: false }]
      }
    }),
    ...changes
  }
}

function headOf (revision: bigint, built: BuiltConfiguration, fleetKey = FLEET_KEY): SheetHead {
  return signHead(fleetKey, { revision, sha256: built.sha256, operator: 'ana', acceptedAt: 1 })
}

interface StartOptions { readonly storeDown?: boolean, readonly peerObjects?: ReadonlyMap<string, Uint8Array>, readonly delays?: readonly number[] }

/** Starts a task whose only peer has the given objects; the store is empty or down. */
function startConfigurationTask (options: StartOptions): ReturnType<typeof createConfigurationTask> & { readonly platform: ReturnType<typeof createMemoryPlatform> } {
  const memory = createMemoryPlatform()
  const delays = [...options.delays ?? []]
  const failStoreCall = async (): Promise<never> => { throw new Error('store is down') }
  const platform = options.storeDown === true ? { ...memory, table: { ...memory.table, read: failStoreCall }, objects: { put: failStoreCall, get: failStoreCall } } : memory
  const peers = {
    peers: () => options.peerObjects === undefined ? [] : [create(PeerIdentitySchema, { address: PEER })],
    client: () => ({
      getObjects: async ({ sha256 }: { sha256: string[] }) => {
        for (let turn = delays.shift() ?? 0; turn > 0; turn--) await Promise.resolve()
        return { contents: sha256.map((name) => options.peerObjects?.get(name) ?? new Uint8Array()) }
      }
    })
  } as unknown as PeerDirectory
  const context = {
    identity: create(PeerIdentitySchema, { instanceId: 'router-1' }),
    platform,
    metrics: createMetrics(),
    clock: systemClock,
    logger: createLogger({ name: 'test', instanceId: 'router-1', level: 'fatal' })
  }
  const settings = create(RouterSettingsSchema, { fleetKey: FLEET_KEY, sheetPollMilliseconds: 20 })
  return { ...createConfigurationTask(context, settings, peers), platform: memory }
}

/** Runs enough microtasks to handle all announcements; no timers are involved while the peer responds. */
async function flushPromises (): Promise<void> {
  for (let turn = 0; turn < 200; turn++) await Promise.resolve()
}

describe('configurationTask', () => {
  // Announcements can arrive in any order and include heads not signed with the fleet key and damaged or missing objects.
  test('never returns to a lower revision and ends with the highest valid one for any order of announcements', async () => {
    const arbitraryAnnouncement = fc.record({ revision: fc.integer({ min: 1, max: 6 }), flaw: fc.constantFrom('none', 'forged', 'raised', 'damaged', 'missing') })
    const arbitraryDelays = fc.array(fc.integer({ min: 0, max: 60 }), { maxLength: 12 })
    await fc.assert(fc.asyncProperty(fc.array(arbitraryAnnouncement, { maxLength: 12 }), arbitraryDelays, async (announcements, peerDelays) => {
      const peerObjects = new Map(buildConfiguration(configurationWith('shared parts')).objects)
      const heads = announcements.map(({ revision, flaw }, index) => {
        const built = buildConfiguration(configurationWith(flaw === 'none' ? `secret ${revision}` : `secret ${revision} ${index}`))
        // Parts shared by revisions stay intact; the client account's part is different in each.
        for (const [name, content] of built.objects) {
          if (flaw === 'damaged' && !peerObjects.has(name)) peerObjects.set(name, new Uint8Array([...content, 0]))
          else if (flaw !== 'missing') peerObjects.set(name, content)
        }
        const head = headOf(BigInt(revision), built, flaw === 'forged' ? 'another fleet key' : FLEET_KEY)
        return flaw === 'raised' ? { ...head, revision: head.revision + 10n } : head
      })
      const task = startConfigurationTask({ storeDown: true, peerObjects, delays: peerDelays })
      const activeRevisions: bigint[] = []
      task.onChange((view) => activeRevisions.push(view.revision))
      for (const head of heads) task.receiveHead(head, PEER)
      await flushPromises()
      // Announces the heads again like gossip does, as at most 4 are fetched concurrently.
      for (const head of heads) {
        task.receiveHead(head, PEER)
        await flushPromises()
      }
      await task.stop()
      activeRevisions.forEach((revision, index) => expect(revision > (activeRevisions[index - 1] ?? 0n)).toBe(true))
      const highest = Math.max(0, ...announcements.filter(({ flaw }) => flaw === 'none').map(({ revision }) => revision))
      expect(task.current()?.revision ?? 0n).toBe(BigInt(highest))
      expect(task.head()?.revision ?? 0n).toBe(BigInt(highest))
    }), { numRuns: 200 })
  })

  test('loads an accepted revision from the store and serves its objects to peers', async () => {
    const task = startConfigurationTask({})
    const configuration = buildConfiguration(configurationWith('secret'))
    await acceptConfiguration(task.platform, { configuration, baseRevision: 0n, author: { operator: 'ana', role: 'planner' }, at: 1, fleetKey: FLEET_KEY, auditId: 'a', action: 'sheet apply', subject: '', detail: '' })
    await new Promise((resolve) => task.onChange(resolve))
    await task.stop()
    for (const [name, content] of configuration.objects) expect(task.object(name)).toEqual(content)
  })

  test('rejects rotated and revoked keys and accepts issued ones', async () => {
    const issued = create(SheetKeySchema, { id: 'k2', clientAccount: 'school', budget: 'school-2026', saltHex: SALT, hashHex: hashKey(SALT, 'issued') })
    const revisions = [configurationWith('old'), configurationWith('new', { issuedKeys: [issued] }), configurationWith('new', { issuedKeys: [issued], revokedKeyIds: ['k2', 'k1'] })].map(buildConfiguration)
    const task = startConfigurationTask({ storeDown: true, peerObjects: new Map(revisions.flatMap(({ objects }) => [...objects])) })
    const acceptedKeys: string[][] = []
    for (const [index, built] of revisions.entries()) {
      task.receiveHead(headOf(BigInt(index + 1), built), PEER)
      await flushPromises()
      acceptedKeys.push(['k1.old', 'k1.new', 'k2.issued', 'k2.wrong', 'k3.old', 'k1', ''].filter((key) => task.current()?.authenticate(key) !== undefined))
    }
    await task.stop()
    expect(acceptedKeys).toEqual([['k1.old'], ['k1.new', 'k2.issued'], []])
    expect(task.current()?.findRoute('ledger', 'GET', '/orders/7?a=b')?.idempotent).toBe(true)
    expect(task.current()?.findRoute('ledger', 'POST', '/orders/7')?.idempotent).toBe(false)
    expect(task.current()?.findRoute('ledger', 'GET', '/orders/../deposits')).toBeUndefined()
  })
})
