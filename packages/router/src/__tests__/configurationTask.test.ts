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

/** A task whose only peer has the given objects; the store is empty or down. */
function start (options: StartOptions): ReturnType<typeof createConfigurationTask> & { readonly platform: ReturnType<typeof createMemoryPlatform> } {
  const memory = createMemoryPlatform()
  const delays = [...options.delays ?? []]
  const refuse = async (): Promise<never> => { throw new Error('store is down') }
  const platform = options.storeDown === true ? { ...memory, table: { ...memory.table, read: refuse }, objects: { put: refuse, get: refuse } } : memory
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

/** Offers are handled in a few promise turns; no timer is involved while the peer answers. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 200; turn++) await Promise.resolve()
}

describe('configurationTask', () => {
  // Guards against an instance that goes back to a lower revision, or takes one that the fleet key did not sign.
  test('ends with the highest genuine revision in any order of offers and never goes back', async () => {
    const offer = fc.record({ revision: fc.integer({ min: 1, max: 6 }), flaw: fc.constantFrom('none', 'forged', 'raised', 'damaged', 'missing') })
    const delays = fc.array(fc.integer({ min: 0, max: 60 }), { maxLength: 12 })
    await fc.assert(fc.asyncProperty(fc.array(offer, { maxLength: 12 }), delays, async (offers, someDelays) => {
      const peerObjects = new Map(buildConfiguration(configurationWith('shared parts')).objects)
      const heads = offers.map(({ revision, flaw }, index) => {
        const built = buildConfiguration(configurationWith(flaw === 'none' ? `secret ${revision}` : `secret ${revision} ${index}`))
        // Parts that revisions share stay intact; the client account's part differs in each.
        for (const [name, content] of built.objects) {
          if (flaw === 'damaged' && !peerObjects.has(name)) peerObjects.set(name, new Uint8Array([...content, 0]))
          else if (flaw !== 'missing') peerObjects.set(name, content)
        }
        const head = headOf(BigInt(revision), built, flaw === 'forged' ? 'another fleet key' : FLEET_KEY)
        return flaw === 'raised' ? { ...head, revision: head.revision + 10n } : head
      })
      const task = start({ storeDown: true, peerObjects, delays: someDelays })
      const seen: bigint[] = []
      task.onChange((view) => seen.push(view.revision))
      for (const head of heads) task.offerHead(head, PEER)
      await settle()
      // Gossip offers heads again; at most 4 are fetched at once.
      for (const head of heads) {
        task.offerHead(head, PEER)
        await settle()
      }
      await task.stop()
      seen.forEach((revision, index) => expect(revision > (seen[index - 1] ?? 0n)).toBe(true))
      const highest = Math.max(0, ...offers.filter(({ flaw }) => flaw === 'none').map(({ revision }) => revision))
      expect(task.current()?.revision ?? 0n).toBe(BigInt(highest))
      expect(task.head()?.revision ?? 0n).toBe(BigInt(highest))
    }), { numRuns: 200 })
  })

  test('takes an accepted revision from the store and serves its objects to peers', async () => {
    const task = start({})
    const configuration = buildConfiguration(configurationWith('secret'))
    await acceptConfiguration(task.platform, { configuration, baseRevision: 0n, author: { operator: 'ana', role: 'planner' }, at: 1, fleetKey: FLEET_KEY, auditId: 'a', action: 'sheet apply', subject: '', detail: '' })
    await new Promise((resolve) => task.onChange(resolve))
    await task.stop()
    for (const [name, content] of configuration.objects) expect(task.object(name)).toEqual(content)
  })

  // Guards against a rotated or revoked key that is still let in.
  test('refuses rotated and revoked keys and lets issued ones in', async () => {
    const issued = create(SheetKeySchema, { id: 'k2', clientAccount: 'school', budget: 'school-2026', saltHex: SALT, hashHex: hashKey(SALT, 'issued') })
    const revisions = [configurationWith('old'), configurationWith('new', { issuedKeys: [issued] }), configurationWith('new', { issuedKeys: [issued], revokedKeyIds: ['k2', 'k1'] })].map(buildConfiguration)
    const task = start({ storeDown: true, peerObjects: new Map(revisions.flatMap(({ objects }) => [...objects])) })
    const letIn: string[][] = []
    for (const [index, built] of revisions.entries()) {
      task.offerHead(headOf(BigInt(index + 1), built), PEER)
      await settle()
      letIn.push(['k1.old', 'k1.new', 'k2.issued', 'k2.wrong', 'k3.old', 'k1', ''].filter((key) => task.current()?.authenticate(key) !== undefined))
    }
    await task.stop()
    expect(letIn).toEqual([['k1.old'], ['k1.new', 'k2.issued'], []])
    expect(task.current()?.findRoute('ledger', 'GET', '/orders/7?a=b')?.idempotent).toBe(true)
    expect(task.current()?.findRoute('ledger', 'POST', '/orders/7')?.idempotent).toBe(false)
    expect(task.current()?.findRoute('ledger', 'GET', '/orders/../deposits')).toBeUndefined()
  })
})
