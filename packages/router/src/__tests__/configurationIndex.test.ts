import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { FleetConfigurationSchema, type FleetConfiguration } from '@quinceshunt/schemas'
import { allKeys, buildConfiguration, readManifest } from '@quinceshunt/sheet'
import fc from 'fast-check'
import { ConfigurationIndex } from '../configurationIndex.js'

const ACCOUNTS = ['school', 'museum', 'parish']
const IDS = ['a', 'b', 'c', 'd', 'e']

/** Maps each ID to a client account, or to undefined to omit the ID. */
const arbitraryOwnerById = fc.record(Object.fromEntries(IDS.map((id) => [id, fc.option(fc.constantFrom(...ACCOUNTS), { nil: undefined })])))

const arbitraryConfiguration: fc.Arbitrary<FleetConfiguration> = fc.tuple(arbitraryOwnerById, arbitraryOwnerById, arbitraryOwnerById).map(([keys, issued, budgets]) => {
  const createOwnedRecords = (owners: Record<string, string | undefined>, prefix: string): { id: string, clientAccount: string }[] =>
    Object.entries(owners).flatMap(([id, clientAccount]) => clientAccount === undefined ? [] : [{ id: `${prefix}${id}`, clientAccount }])
  return create(FleetConfigurationSchema, {
    sheet: { clientAccounts: ACCOUNTS.map((id) => ({ id })), keys: createOwnedRecords(keys, 'key-'), budgets: createOwnedRecords(budgets, 'budget-') },
    issuedKeys: createOwnedRecords(issued, 'issued-')
  })
})

function applyConfiguration (index: ConfigurationIndex, configuration: FleetConfiguration): void {
  const built = buildConfiguration(configuration)
  index.apply(readManifest(built.objects.get(built.sha256)!), (sha256) => built.objects.get(sha256)!)
}

describe('ConfigurationIndex', () => {
  // Partial updates must not keep removed keys or budgets, or lose those that move to another client account.
  test('contains no stale and misses no current keys or budgets after any sequence of revisions', () => {
    fc.assert(fc.property(fc.array(arbitraryConfiguration, { minLength: 1, maxLength: 6 }), (configurations) => {
      const index = new ConfigurationIndex()
      for (const configuration of configurations) applyConfiguration(index, configuration)
      const last = configurations.at(-1)!
      for (const id of IDS.flatMap((id) => [`key-${id}`, `issued-${id}`])) {
        expect(index.findKey(id)?.key.clientAccount).toBe(allKeys(last).find((key) => key.id === id)?.clientAccount)
      }
      for (const id of IDS.map((id) => `budget-${id}`)) {
        expect(index.findBudget(id)?.clientAccount).toBe(last.sheet?.budgets.find((budget) => budget.id === id)?.clientAccount)
      }
    }), { numRuns: 300 })
  })
})
