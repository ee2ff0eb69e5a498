import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import fastCheck from 'fast-check'
import { createMemoryRowStore, type MemoryRowStore, type RowStoreCopy } from '../__fixtures__/memoryRowStore.js'
import type { RowStore } from '../ports.js'
import { createRestorableFleet, type RestorableFleet, type RestorableInstance } from '../__fixtures__/restorableFleet.js'

const ACCOUNT = 'school'
const PREPAID = 100_000
const LARGE_PREPAID = 1_000_000
/** Sizes of requests that use up a large account. */
const LARGE_SIZES = [80_000, 20_000, 5000]
/** Used of an account after the kills of two processes that held a part of it. */
const WITHOUT_LOSS_SHARE = 0.6
/** Longer than an announcement of a ceiling takes to count. */
const PATIENT_FAILURES = 24
const NAMES = ['a', 'b', 'c'] as const

interface TestFleet {
  readonly memory: MemoryRowStore
  readonly fleet: RestorableFleet
  instances: RestorableInstance[]
  used: number
}

async function startTestFleet (prepaid = PREPAID, names: readonly string[] = NAMES): Promise<TestFleet> {
  const memory = createMemoryRowStore()
  const fleet = createRestorableFleet(memory.store, ACCOUNT, prepaid)
  const instances = names.map((name) => fleet.start(name))
  await jest.advanceTimersByTimeAsync(2000)
  return { memory, fleet, instances, used: 0 }
}

/** Uses tokens at an instance if it has them, and returns whether it had. */
async function use (testFleet: TestFleet, index: number, tokens: number): Promise<boolean> {
  const outcome = testFleet.instances[index]?.tokens.reserve(ACCOUNT, tokens, Number.MAX_SAFE_INTEGER)
  await jest.advanceTimersByTimeAsync(800)
  if ((await outcome)?.kind !== 'reserved') return false
  testFleet.used += tokens
  testFleet.instances[index]?.tokens.settle(ACCOUNT, tokens, tokens)
  return true
}

/** Uses tokens at all instances until none of them has any, nor gets any in some rounds. */
async function useUp (testFleet: TestFleet, sizes: readonly number[] = [8000, 2000, 500], maximumFailures = 12): Promise<void> {
  for (const tokens of sizes) {
    let failures = 0
    while (failures < maximumFailures) {
      const results: boolean[] = []
      for (const index of testFleet.instances.keys()) results.push(await use(testFleet, index, tokens))
      failures = results.includes(true) ? 0 : failures + 1
    }
  }
}

function restart (testFleet: TestFleet, index: number, store?: RowStore): void {
  testFleet.instances[index] = testFleet.fleet.start(NAMES[index] ?? '', store)
}

/** Kills all processes, restores the store from a copy and starts the instances again. */
function loseAll (testFleet: TestFleet, copy: RowStoreCopy): void {
  for (const instance of testFleet.instances) instance.kill()
  testFleet.memory.restore(copy)
  testFleet.instances = testFleet.instances.map((_, index) => testFleet.fleet.start(NAMES[index] ?? ''))
}

/** Replaces the fleet by one whose account is so large that part of its tokens is closed to draws at first. */
async function startLargeAccount (names?: readonly string[]): Promise<void> {
  for (const instance of testFleet.instances) instance.kill()
  testFleet = await startTestFleet(LARGE_PREPAID, names)
}

/** A connection to the store that fails while `isCut`. */
function createCuttableStore (store: RowStore): { readonly store: RowStore, isCut: boolean } {
  const state = { isCut: false }
  return {
    store: {
      transact: async (transaction, deadline) => state.isCut ? { kind: 'refused', reason: 'cut by the test' } : await store.transact(transaction, deadline),
      read: async (table, part, deadline, range) => state.isCut ? { kind: 'unavailable', reason: 'cut by the test' } : await store.read(table, part, deadline, range),
      readChanges: async (table, after, waitMilliseconds, deadline) => state.isCut ? { kind: 'unavailable', reason: 'cut by the test' } : await store.readChanges(table, after, waitMilliseconds, deadline),
      close: () => {}
    },
    get isCut () { return state.isCut },
    set isCut (isCut) { state.isCut = isCut }
  }
}

let testFleet: TestFleet

beforeEach(async () => {
  jest.useFakeTimers()
  testFleet = await startTestFleet()
})
afterEach(() => {
  for (const instance of testFleet.instances) instance.kill()
  jest.useRealTimers()
})

describe('prepaid tokens after the store was restored from an older copy', () => {
  // Guards against balances that are too low after a restore, so that tokens are granted a second time.
  test('tokens that were drawn after the copy are not granted again, and all others stay usable', async () => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 5; round++) await use(testFleet, 0, 8000)
    testFleet.memory.restore(copy)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
    expect(testFleet.used).toBeGreaterThanOrEqual(PREPAID * 0.97)
  })

  // Guards against corrections that are taken back: the lease row shows them, and so does the transaction that took effect.
  test('tokens that were recorded again by a transaction whose reply was lost are not granted again', async () => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 5; round++) await use(testFleet, 0, 8000)
    let faults = 1
    testFleet.instances[0]?.kill()
    restart(testFleet, 0, { ...testFleet.memory.store, transact: async (transaction, deadline) => await loseReplyOf(transaction, deadline) })
    async function loseReplyOf (...call: Parameters<RowStore['transact']>): ReturnType<RowStore['transact']> {
      const outcome = await testFleet.memory.store.transact(...call)
      const isCorrection = isRestored && outcome.kind === 'applied' && call[0].writes.some(({ table }) => table === 'balances')
      return isCorrection && faults-- > 0 ? { kind: 'unknown', reason: 'lost by the test' } : outcome
    }
    let isRestored = false
    for (let round = 0; round < 3; round++) await use(testFleet, 0, 8000)
    testFleet.memory.restore(copy)
    isRestored = true
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  test('tokens that were returned after the copy can be used', async () => {
    for (let round = 0; round < 5; round++) await use(testFleet, 0, 8000)
    const copy = testFleet.memory.takeCopy()
    testFleet.instances[0]?.tokens.setPrepaid(ACCOUNT, PREPAID - 1)
    await jest.advanceTimersByTimeAsync(1500)
    testFleet.memory.restore(copy)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
    expect(testFleet.used).toBeGreaterThanOrEqual(PREPAID * 0.97)
  })

  // Guards against draws that only a killed process knew of: its lease row in the copy is older.
  test.each(['before', 'after'])('draws of a process that was killed after the copy and started again %s the restore are not granted again', async (order) => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 6; round++) await use(testFleet, 0, 8000)
    testFleet.instances[0]?.kill()
    if (order === 'before') {
      restart(testFleet, 0)
      await jest.advanceTimersByTimeAsync(1000)
    }
    testFleet.memory.restore(copy)
    if (order === 'after') restart(testFleet, 0)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  test('draws of a process that was killed after the copy and never started again are not granted again', async () => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 6; round++) await use(testFleet, 0, 8000)
    testFleet.instances[0]?.kill()
    testFleet.memory.restore(copy)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  test('two restores in quick succession grant nothing twice', async () => {
    const older = testFleet.memory.takeCopy()
    for (let round = 0; round < 3; round++) await use(testFleet, 0, 8000)
    const newer = testFleet.memory.takeCopy()
    for (let round = 0; round < 3; round++) await use(testFleet, 1, 8000)
    testFleet.memory.restore(newer)
    await jest.advanceTimersByTimeAsync(250)
    testFleet.memory.restore(older)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
    expect(testFleet.used).toBeGreaterThanOrEqual(PREPAID * 0.97)
  })

  // Guards against use that no row of the copy announces, when no process is left that knows of it.
  test('after the loss of all processes, an account whose use began after the copy is not overspent', async () => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 9; round++) await use(testFleet, 0, 8000)
    for (const instance of testFleet.instances) instance.kill()
    testFleet.memory.restore(copy)
    for (const index of NAMES.keys()) restart(testFleet, index)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  test('after the loss of all processes, use at the announced rate since the copy is taken as spent', async () => {
    for (let round = 0; round < 4; round++) await use(testFleet, 0, 2000)
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 6; round++) await use(testFleet, 0, 2000)
    for (const instance of testFleet.instances) instance.kill()
    testFleet.memory.restore(copy)
    for (const index of NAMES.keys()) restart(testFleet, index)
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  // Guards against draws of an instance that the copy does not know: without a lease row its next process took it for new.
  test.each(['and started again', 'and never started again'])('draws of an instance that first started after the copy and was killed %s are not granted again', async (what) => {
    const copy = testFleet.memory.takeCopy()
    testFleet.instances.push(testFleet.fleet.start('d'))
    await jest.advanceTimersByTimeAsync(1000)
    for (let round = 0; round < 5; round++) await use(testFleet, 3, 8000)
    testFleet.instances[3]?.kill()
    testFleet.memory.restore(copy)
    if (what === 'and started again') testFleet.instances[3] = testFleet.fleet.start('d')
    else testFleet.instances.pop()
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  // Guards against draws by processes that start after the restore, before the others have recorded theirs again.
  test('an instance that is added right after the restore waits with its draws for the others', async () => {
    const connection = createCuttableStore(testFleet.memory.store)
    testFleet.instances[2]?.kill()
    testFleet.instances[2] = testFleet.fleet.start('c', connection.store)
    await jest.advanceTimersByTimeAsync(1000)
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 11; round++) await use(testFleet, 2, 8000)
    connection.isCut = true
    testFleet.memory.restore(copy)
    testFleet.instances.push(testFleet.fleet.start('d'))
    await use(testFleet, 3, 8000)
    await use(testFleet, 3, 8000)
    connection.isCut = false
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  test('an instance that starts again after it has recorded its draws waits for the others', async () => {
    const connection = createCuttableStore(testFleet.memory.store)
    testFleet.instances[2]?.kill()
    testFleet.instances[2] = testFleet.fleet.start('c', connection.store)
    await jest.advanceTimersByTimeAsync(1000)
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 11; round++) await use(testFleet, 2, 8000)
    connection.isCut = true
    testFleet.memory.restore(copy)
    await jest.advanceTimersByTimeAsync(400)
    testFleet.instances[0]?.kill()
    restart(testFleet, 0)
    // More than its last process left, so that it has to draw.
    await use(testFleet, 0, 24_000)
    connection.isCut = false
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  // Guards against a wait that is over before the store is back, so that an instance that started meanwhile draws on balances that are too low.
  test('an instance that was added while the store was away waits with its draws for the others', async () => {
    const copy = testFleet.memory.takeCopy()
    const connections = NAMES.map((name, index) => {
      testFleet.instances[index]?.kill()
      const connection = createCuttableStore(testFleet.memory.store)
      testFleet.instances[index] = testFleet.fleet.start(name, connection.store)
      return connection
    })
    const added = createCuttableStore(testFleet.memory.store)
    await jest.advanceTimersByTimeAsync(1000)
    for (let round = 0; round < 11; round++) await use(testFleet, 2, 8000)
    for (const connection of connections) connection.isCut = true
    added.isCut = true
    testFleet.instances.push(testFleet.fleet.start('d', added.store))
    await jest.advanceTimersByTimeAsync(5000)
    testFleet.memory.restore(copy)
    // The instances notice the return of the store within their pauses after a failed call.
    added.isCut = false
    await use(testFleet, 3, 8000)
    await use(testFleet, 3, 8000)
    for (const connection of connections) connection.isCut = false
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
  })

  // Guards against the loss of what a process had not recorded again yet when it was killed: its row is of the new era, but lacks draws.
  test.each(['lives', 'is killed and started again', 'is killed and stays away'])('draws of a process that %s while it records them again are not granted again', async (fate) => {
    const accounts = Array.from({ length: 12 }, (_, index) => `account${index}`)
    const memory = createMemoryRowStore(() => ({ kind: 'none' }), 20)
    const fleet = createRestorableFleet(memory.store, ACCOUNT, PREPAID)
    const start = (name: string): RestorableInstance => {
      const instance = fleet.start(name)
      for (const account of accounts) instance.tokens.setPrepaid(account, PREPAID)
      return instance
    }
    const instances = NAMES.map(start)
    testFleet.instances.push(...instances)
    const used = new Map(accounts.map((account) => [account, 0]))
    const useTokens = async (index: number, account: string, tokens: number): Promise<boolean> => {
      const outcome = instances[index]?.tokens.reserve(account, tokens, Number.MAX_SAFE_INTEGER)
      await jest.advanceTimersByTimeAsync(800)
      if ((await outcome)?.kind !== 'reserved') return false
      used.set(account, (used.get(account) ?? 0) + tokens)
      instances[index]?.tokens.settle(account, tokens, tokens)
      return true
    }
    await jest.advanceTimersByTimeAsync(4000)
    const copy = memory.takeCopy()
    for (const account of accounts) for (let round = 0; round < 5; round++) await useTokens(0, account, 10_000)
    await jest.advanceTimersByTimeAsync(2000)
    memory.restore(copy)
    while (memory.getRow({ table: 'leases', part: 'a', key: 'a@2' }) === undefined) await jest.advanceTimersByTimeAsync(5)
    if (fate !== 'lives') instances[0]?.kill()
    await jest.advanceTimersByTimeAsync(500)
    if (fate === 'is killed and started again') testFleet.instances.push(instances[0] = start('a'))
    await jest.advanceTimersByTimeAsync(5000)
    if (fate === 'is killed and stays away') instances.shift()
    for (const account of accounts) {
      for (let failures = 0; failures < 6;) failures = (await useTokens(failures % instances.length, account, 8000)) ? 0 : failures + 1
    }
    expect(Math.max(...used.values())).toBeLessThanOrEqual(PREPAID)
  }, 60_000)

  // Guards against processes that wait for a recovery on ordinary starts.
  test('an instance that starts again without a restore draws at once', async () => {
    await use(testFleet, 0, 8000)
    testFleet.instances[0]?.kill()
    restart(testFleet, 0)
    await jest.advanceTimersByTimeAsync(200)
    expect(testFleet.instances[0]?.fleet.mayDraw).toBe(true)
  })
})

/** A step of a play: the index of an instance is taken modulo their number. */
type Step =
  | { readonly kind: 'use', readonly instance: number, readonly tokens: number }
  | { readonly kind: 'kill', readonly instance: number }
  | { readonly kind: 'restore', readonly age: number }
  | { readonly kind: 'loseAll', readonly age: number }

const step: fastCheck.Arbitrary<Step> = fastCheck.oneof(
  { weight: 8, arbitrary: fastCheck.record({ kind: fastCheck.constant('use' as const), instance: fastCheck.nat(2), tokens: fastCheck.integer({ min: 20_000, max: 120_000 }) }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('kill' as const), instance: fastCheck.nat(2) }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('restore' as const), age: fastCheck.nat(10) }) },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('loseAll' as const), age: fastCheck.nat(10) }) }
)

/** Plays the steps, each of which takes 0.8 s, and then uses up the account. `age` is that of the copy, in steps. */
async function play (steps: readonly Step[]): Promise<void> {
  const copies: RowStoreCopy[] = [testFleet.memory.takeCopy()]
  for (const next of steps) {
    switch (next.kind) {
      case 'use':
        await use(testFleet, next.instance, next.tokens)
        break
      case 'kill':
        testFleet.instances[next.instance]?.kill()
        restart(testFleet, next.instance)
        await jest.advanceTimersByTimeAsync(800)
        break
      case 'restore':
      case 'loseAll': {
        const copy = copies.at(-1 - next.age) ?? copies[0]
        if (copy === undefined) throw new Error('no copy was taken')
        if (next.kind === 'restore') testFleet.memory.restore(copy)
        else loseAll(testFleet, copy)
        await jest.advanceTimersByTimeAsync(800)
      }
    }
    copies.push(testFleet.memory.takeCopy())
  }
  await useUp(testFleet, LARGE_SIZES)
}

describe('prepaid tokens after all processes that knew of their draws were lost with the store\'s last writes', () => {
  // Guards against a bound that follows the use before the copy.
  test.each([PREPAID, LARGE_PREPAID])('use that rises fivefold after the copy does not overspend an account of %i tokens', async (prepaid) => {
    if (prepaid === LARGE_PREPAID) await startLargeAccount()
    for (let round = 0; round < 4; round++) await use(testFleet, 0, prepaid / 100)
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 12; round++) await use(testFleet, round % 3, prepaid / 20)
    loseAll(testFleet, copy)
    await useUp(testFleet, LARGE_SIZES)
    expect(testFleet.used).toBeLessThanOrEqual(prepaid)
  })

  // Guards against a loss that closes accounts that were hardly used.
  test('a large account that was idle keeps a part that can be used, and all of a top-up', async () => {
    await startLargeAccount()
    await use(testFleet, 0, 5000)
    loseAll(testFleet, testFleet.memory.takeCopy())
    await useUp(testFleet, LARGE_SIZES, PATIENT_FAILURES)
    expect(testFleet.used).toBeGreaterThanOrEqual(LARGE_PREPAID / 5)
    const before = testFleet.used
    for (const { tokens } of testFleet.instances) tokens.setPrepaid(ACCOUNT, LARGE_PREPAID + 200_000)
    await useUp(testFleet, LARGE_SIZES)
    expect(testFleet.used - before).toBeGreaterThanOrEqual(200_000 * 0.97)
    expect(testFleet.used).toBeLessThanOrEqual(LARGE_PREPAID + 200_000)
  })

  // Guards against a loss that is accounted for by the prepaid tokens of an older configuration, before operators write theirs again.
  test.each([PREPAID, LARGE_PREPAID])('tokens of a top-up that was used after the copy are not granted again when it is written again (%i tokens)', async (prepaid) => {
    if (prepaid === LARGE_PREPAID) await startLargeAccount()
    const copy = testFleet.memory.takeCopy()
    const raised = prepaid * 1.5
    for (const { tokens } of testFleet.instances) tokens.setPrepaid(ACCOUNT, raised)
    for (let round = 0; round < 12; round++) await use(testFleet, round % 3, prepaid / 12)
    loseAll(testFleet, copy)
    await jest.advanceTimersByTimeAsync(1000)
    for (const { tokens } of testFleet.instances) tokens.setPrepaid(ACCOUNT, raised)
    await useUp(testFleet, LARGE_SIZES)
    expect(testFleet.used).toBeLessThanOrEqual(raised)
  })

  // Guards against a process that survives, knows nothing of the others' draws, and draws as if there were none.
  test.each(['start again', 'never start again'])('an instance that survives does not draw what others may have that were killed with all their peers and %s', async (what) => {
    const names = Array.from({ length: 9 }, (_, index) => `node${index}`)
    await startLargeAccount(names)
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 9; round++) await use(testFleet, 0, 60_000)
    const told = testFleet.instances[0]?.fleet.homes('lease/node0').map(({ instanceId }) => instanceId) ?? []
    const killed = new Set(['node0', ...told])
    const running = names.map((name, index) => ({ name, instance: testFleet.instances[index] })).filter(({ name }) => !killed.has(name))
    for (const [index, instance] of testFleet.instances.entries()) if (killed.has(names[index] ?? '')) instance.kill()
    testFleet.memory.restore(copy)
    testFleet.instances = running.flatMap(({ instance }) => instance ?? [])
    if (what === 'start again') testFleet.instances.push(...[...killed].map((name) => testFleet.fleet.start(name)))
    await useUp(testFleet, LARGE_SIZES)
    expect(testFleet.used).toBeLessThanOrEqual(LARGE_PREPAID)
  })

  // Guards against tokens that are withheld although a peer knows them: the copy names a process before the one that peers know.
  test('nothing is withheld from an instance that was killed around each of two restores while its peers ran on', async () => {
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 2; round++) {
      for (let request = 0; request < 3; request++) await use(testFleet, 0, 8000)
      testFleet.instances[0]?.kill()
      testFleet.memory.restore(copy)
      restart(testFleet, 0)
      await jest.advanceTimersByTimeAsync(1000)
    }
    await useUp(testFleet)
    expect(testFleet.used).toBeLessThanOrEqual(PREPAID)
    // What the killed processes held is lost with them.
    expect(testFleet.used).toBeGreaterThanOrEqual(PREPAID * WITHOUT_LOSS_SHARE)
  })

  // Guards against a second loss from a copy that is older than the first one's record.
  test('two losses in quick succession do not overspend', async () => {
    await startLargeAccount()
    const copy = testFleet.memory.takeCopy()
    for (let round = 0; round < 4; round++) await use(testFleet, 0, 80_000)
    loseAll(testFleet, copy)
    await jest.advanceTimersByTimeAsync(3500)
    for (let round = 0; round < 4; round++) await use(testFleet, 1, 80_000)
    loseAll(testFleet, copy)
    await useUp(testFleet, LARGE_SIZES)
    expect(testFleet.used).toBeLessThanOrEqual(LARGE_PREPAID)
  })

  // Guards against ceilings that callers meet on ordinary days.
  test('without a loss, an account that is used up within 25 s is never refused', async () => {
    await startLargeAccount(['a'])
    for (let round = 0; round < 28; round++) expect([round, await use(testFleet, 0, 32_000)]).toEqual([round, true])
  })

  // Guards against orders of copies, kills and restores that nobody thought of.
  test('an account is never overspent, whatever is killed and restored', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { minLength: 10, maxLength: 30, size: 'max' }), async (steps) => {
      await startLargeAccount()
      await play(steps)
      expect(testFleet.used).toBeLessThanOrEqual(LARGE_PREPAID)
    }), { numRuns: 25, endOnFailure: true })
  })
})
