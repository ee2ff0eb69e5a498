import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createMemoryRowStore, type MemoryRowStore } from '../__fixtures__/memoryRowStore.js'
import { createRecordingLog, type RecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import type { BackendState } from '../decisions/backendState.js'
import { createEvacuatedDomains, RESTORED_EVACUATIONS_MS } from '../decisions/evacuatedDomains.js'
import type { GatewayPlatform } from '../ports.js'
import { startConfigurationTask, type ConfigurationTask } from '../tasks/configurationTask.js'
import { createEvacuations, type Evacuations } from '../tasks/evacuations.js'
import { watchStoreEra } from '../tasks/storeEra.js'

const POLL_MS = 500
const KEY_PREFIX = 'evacuate/'

let memory: MemoryRowStore
let log: RecordingLog
let backends: readonly BackendState[] | undefined
let evacuations: Evacuations
let configuration: ConfigurationTask
let isStoreDown: boolean

/** The part of the platform's decoder that the tests need. */
function decodeEvacuation (failureDomain: string, value: string): void {
  if (failureDomain === '' || value !== '{}') throw new Error('malformed')
}

beforeEach(async () => {
  jest.useFakeTimers()
  memory = createMemoryRowStore()
  log = createRecordingLog()
  backends = ['north', 'south'].map((failureDomain) => createTestBackend(`server-${failureDomain}`, { failureDomain }))
  isStoreDown = false
  const watched = watchStoreEra({
    ...memory.store,
    read: async (...call) => isStoreDown ? { kind: 'unavailable', reason: 'down' } : await memory.store.read(...call),
    readChanges: async (...call) => isStoreDown ? { kind: 'unavailable', reason: 'down' } : await memory.store.readChanges(...call)
  }, log)
  const platform = { store: watched.store, wire: { decodeEvacuation }, tables: { configuration: { table: 'op', key: 'config' }, evacuations: { table: 'op', keyPrefix: KEY_PREFIX }, backendServers: { table: 'servers' } } } as unknown as GatewayPlatform
  evacuations = createEvacuations({ log, era: watched.era, wire: platform.wire, keyPrefix: KEY_PREFIX, listedBackends: () => backends, lastResponseAt: () => configuration.follower.lastResponseAt })
  configuration = startConfigurationTask({ platform, log, evacuations, onChange: () => {} })
  await jest.advanceTimersByTimeAsync(POLL_MS)
})
afterEach(() => {
  configuration.stop()
  evacuations.stop()
  jest.useRealTimers()
})

function evacuate (failureDomain: string, value = '{}'): void {
  memory.putRow({ table: 'op', part: '', key: `${KEY_PREFIX}${failureDomain}` }, value)
}

function lift (failureDomain: string): void {
  memory.removeRow({ table: 'op', part: '', key: `${KEY_PREFIX}${failureDomain}` })
}

function linesOf (name: string): readonly unknown[] {
  return log.lines.filter((line) => line.name === name).map(({ fields }) => fields)
}

describe('an evacuation', () => {
  // Guards against an evacuation that is lost, or that outlives its row.
  test('is in force from the first poll after its row was written until the first one after its removal, also again a second later', async () => {
    for (let round = 0; round < 2; round++) {
      evacuate('north')
      await jest.advanceTimersByTimeAsync(POLL_MS)
      expect(evacuations.evacuated).toEqual(['north'])
      expect([evacuations.isEvacuated('north'), evacuations.isEvacuated('south')]).toEqual([true, false])
      lift('north')
      await jest.advanceTimersByTimeAsync(1000)
      expect(evacuations.evacuated).toEqual([])
    }
    expect(linesOf('failureDomainEvacuated').length).toBe(2)
    expect(linesOf('failureDomainReturned').length).toBe(2)
  })

  test('is logged with its row version, its backend servers, the requests in progress there and those sent there meanwhile', async () => {
    const [north] = backends as readonly [BackendState]
    north.attempts = 7
    north.pending.add({ sentAt: 0, prefillTokens: 0, answered: false })
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(linesOf('failureDomainEvacuated')).toEqual([{ failureDomain: 'north', rowVersion: 1, backends: 1, pending: 1 }])
    north.attempts = 9
    lift('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(linesOf('failureDomainReturned')).toMatchObject([{ failureDomain: 'north', sent: 2 }])
  })

  // Guards against an instance that forgets evacuations while the store is away.
  test('stays in force while the store is away, and ends when the first full read after it has no row', async () => {
    evacuate('north')
    evacuate('south')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    isStoreDown = true
    await jest.advanceTimersByTimeAsync(20_000)
    expect(evacuations.evacuated).toEqual(['north', 'south'])
    lift('south')
    isStoreDown = false
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(evacuations.evacuated).toEqual(['north'])
  })

  test('of a domain without backend servers is kept, and logged once the list of backend servers is known', async () => {
    const listed = backends
    backends = undefined
    evacuate('north')
    evacuate('east')
    await jest.advanceTimersByTimeAsync(3000)
    expect(linesOf('evacuationOfUnknownDomain')).toEqual([])
    backends = listed
    await jest.advanceTimersByTimeAsync(3000)
    expect(linesOf('evacuationOfUnknownDomain')).toEqual([{ failureDomain: 'east' }])
    expect(evacuations.isEvacuated('east')).toBe(true)
  })

  // Guards against a malformed row that evacuates a domain, lifts its evacuation or fills the log.
  test('with a malformed row is logged once and changes nothing', async () => {
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    evacuate('north', '[]')
    evacuate('south', 'yes')
    evacuate('', '{}')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    isStoreDown = true
    await jest.advanceTimersByTimeAsync(POLL_MS)
    isStoreDown = false
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(evacuations.evacuated).toEqual(['north'])
    expect(linesOf('evacuationUnreadable')).toMatchObject([{ key: 'evacuate/north', value: '[]' }, { key: 'evacuate/south', value: 'yes' }, { key: 'evacuate/', value: '{}' }])
    lift('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(evacuations.evacuated).toEqual([])
  })
})

describe('after a restore of the store', () => {
  // Guards against requests to an evacuated domain from the restore until the operators' rows are written again.
  test('an evacuation that the copy lacks stays in force when its row is written again in time', async () => {
    const copy = memory.takeCopy()
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(4000)
    evacuate('north')
    await jest.advanceTimersByTimeAsync(10_000)
    expect(evacuations.evacuated).toEqual(['north'])
    expect(linesOf('failureDomainReturned')).toEqual([])
  })

  test('an evacuation that is still missing after five seconds is lifted', async () => {
    const copy = memory.takeCopy()
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(RESTORED_EVACUATIONS_MS - 200)
    expect(evacuations.evacuated).toEqual(['north'])
    await jest.advanceTimersByTimeAsync(POLL_MS + 500)
    expect(evacuations.evacuated).toEqual([])
  })

  // Guards against an evacuation that a timer lifts while nobody can know whether its row was written again.
  test('an evacuation is not lifted before the store has answered after the five seconds', async () => {
    const copy = memory.takeCopy()
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(1000)
    isStoreDown = true
    await jest.advanceTimersByTimeAsync(20_000)
    expect(evacuations.evacuated).toEqual(['north'])
    isStoreDown = false
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(evacuations.evacuated).toEqual([])
  })

  test('a removal by the operators counts at once', async () => {
    const copy = memory.takeCopy()
    evacuate('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    memory.restore(copy)
    await jest.advanceTimersByTimeAsync(POLL_MS)
    lift('north')
    await jest.advanceTimersByTimeAsync(POLL_MS)
    expect(evacuations.evacuated).toEqual([])
  })
})

// Guards against a sequence of changes after which an instance that followed them and one that reads the table disagree.
test('changes and full reads of the same rows lead to the same evacuations', () => {
  const step = fc.record({ failureDomain: fc.constantFrom('a', 'b', 'c'), isRemoved: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const followed = createEvacuatedDomains()
    const rows = new Map<string, { failureDomain: string, rowVersion: number, isRemoved: boolean }>()
    steps.forEach((each, index) => {
      rows.set(each.failureDomain, { ...each, rowVersion: index + 1 })
      followed.applyChanges([{ ...each, rowVersion: index + 1 }], index)
      const read = createEvacuatedDomains()
      read.applySnapshot({ rows: [...rows.values()], unreadable: new Set(), restoredAt: undefined }, steadyNow())
      expect(followed.names).toEqual(read.names)
    })
  }))
})
