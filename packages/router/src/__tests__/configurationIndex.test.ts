import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { FleetConfigurationSchema, type FleetConfiguration } from '@quinceshunt/schemas'
import { allKeys, buildConfiguration, readManifest } from '@quinceshunt/sheet'
import fc from 'fast-check'
import { ConfigurationIndex } from '../configurationIndex.js'

const ACCOUNTS = ['school', 'museum', 'parish']
const IDS = ['a', 'b', 'c', 'd', 'e']

/** Owners of each key and budget ID; undefined leaves the ID out. */
const arbitraryOwners = fc.record(Object.fromEntries(IDS.map((id) => [id, fc.option(fc.constantFrom(...ACCOUNTS), { nil: undefined })])))

const arbitraryConfiguration: fc.Arbitrary<FleetConfiguration> = fc.tuple(arbitraryOwners, arbitraryOwners, arbitraryOwners).map(([keys, issued, budgets]) => {
  const owned = (owners: Record<string, string | undefined>, prefix: string): { id: string, clientAccount: string }[] =>
    Object.entries(owners).flatMap(([id, clientAccount]) => clientAccount === undefined ? [] : [{ id: `${prefix}${id}`, clientAccount }])
  return create(FleetConfigurationSchema, {
    sheet: { clientAccounts: ACCOUNTS.map((id) => ({ id })), keys: owned(keys, 'key-'), budgets: owned(budgets, 'budget-') },
    issuedKeys: owned(issued, 'issued-')
  })
})

function applyTo (index: ConfigurationIndex, configuration: FleetConfiguration): void {
  const built = buildConfiguration(configuration)
  index.apply(readManifest(built.objects.get(built.sha256)!), (sha256) => built.objects.get(sha256)!)
}

describe('ConfigurationIndex', () => {
  // Guards against a key or budget that stays valid, or is lost, when only some parts change or an ID moves to another account.
  test('has exactly the keys and budgets of the last revision after any sequence of revisions', () => {
    fc.assert(fc.property(fc.array(arbitraryConfiguration, { minLength: 1, maxLength: 6 }), (configurations) => {
      const index = new ConfigurationIndex()
      for (const configuration of configurations) applyTo(index, configuration)
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
