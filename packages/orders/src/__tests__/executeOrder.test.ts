import { describe, expect, test } from '@jest/globals'
import { createMemoryPlatform, runTableDecision, type TableStore } from '@quinceshunt/table-store'
import fc from 'fast-check'
import { executeOrder, type EngineOrder, type OrderCommand } from '../executeOrder.js'
import { decodeOrder, orderKey } from '../orderRecords.js'
import { requestOrder } from '../requestOrder.js'

const KEY = orderKey('engine-1', 'load_model')
const LEASE_MILLISECONDS = 10

interface Engine {
  loaded: string | undefined
  readonly executed: EngineOrder[]
  receive (order: EngineOrder): boolean
}

function createEngine (checksFencing: boolean): Engine {
  const executed: EngineOrder[] = []
  return {
    loaded: undefined,
    executed,
    receive (order) {
      const highest = Math.max(0, ...executed.map((earlier) => earlier.fencingNumber))
      if (checksFencing && order.fencingNumber < highest) return false
      executed.push(order)
      this.loaded = order.name
      return true
    }
  }
}

/** Executes the order one command per call, so that a schedule can pause it at any command. */
function startRound (incarnation: string, table: TableStore, engine: Engine, now: () => number): () => Promise<boolean> {
  let decision: ReturnType<typeof executeOrder> | undefined
  let response: unknown
  return async () => {
    if (decision === undefined) {
      const row = decodeOrder((await table.read([KEY]))[0]!)
      if (row === undefined) return false
      decision = executeOrder({ incarnation, leaseMilliseconds: LEASE_MILLISECONDS }, row)
      response = undefined
    }
    const step = decision.next(response)
    if (step.done === true) {
      decision = undefined
      return false
    }
    response = await answer(step.value, table, engine, now)
    return true
  }
}

async function answer (command: OrderCommand, table: TableStore, engine: Engine, now: () => number): Promise<unknown> {
  switch (command.kind) {
    case 'readTime': return now()
    case 'readEngine': return engine.loaded
    case 'sendOrder': return engine.receive(command.order) ? { kind: 'executed' } : { kind: 'fenced' }
    case 'read': return await table.read(command.keys)
    case 'transact': return await table.transact(command.checks, command.writes)
    default: throw new Error(`unexpected command ${command.kind}`)
  }
}

type Step = { readonly kind: 'advance', readonly holder: number } | { readonly kind: 'request', readonly name: string } | { readonly kind: 'wait' }

const arbitrarySteps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('advance' as const), holder: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('request' as const), name: fc.constantFrom('small', 'large', 'vision') }) },
  { weight: 2, arbitrary: fc.constant({ kind: 'wait' as const }) }
), { maxLength: 60 })

async function runSchedule (steps: readonly Step[], checksFencing: boolean): Promise<{ engine: Engine, wanted: string | undefined }> {
  const { table } = createMemoryPlatform()
  const engine = createEngine(checksFencing)
  let now = 1000
  let wanted: string | undefined
  const holders = ['a', 'b', 'c'].map((incarnation) => startRound(incarnation, table, engine, () => now))
  for (const step of steps) {
    switch (step.kind) {
      case 'advance': await holders[step.holder]!(); break
      case 'wait': now += LEASE_MILLISECONDS; break
      case 'request':
        wanted = step.name
        await runTableDecision(requestOrder({ backendServer: 'engine-1', kind: 'load_model', name: step.name, operator: 'test', now }), table)
    }
  }
  // All paused holders finish their current round and then run further rounds.
  for (let round = 0; round < 4; round++) {
    now += 2 * LEASE_MILLISECONDS
    for (const holder of holders) while (await holder());
  }
  return { engine, wanted }
}

describe('executeOrder', () => {
  // Guards against a paused holder that sends its old order after a newer one was executed.
  test('an engine that checks fencing numbers never executes an older order after a newer one', async () => {
    await fc.assert(fc.asyncProperty(arbitrarySteps, async (steps) => {
      const { engine } = await runSchedule(steps, true)
      const numbers = engine.executed.map((order) => order.fencingNumber)
      expect(numbers).toEqual([...numbers].sort((first, second) => first - second))
    }), { numRuns: 500 })
  })

  // Guards against an engine whose final state is that of a paused holder's delayed order.
  test.each([true, false])('the engine ends in the state that was ordered last (checks fencing: %s)', async (checksFencing) => {
    await fc.assert(fc.asyncProperty(arbitrarySteps, async (steps) => {
      const { engine, wanted } = await runSchedule(steps, checksFencing)
      expect(engine.loaded).toBe(wanted)
    }), { numRuns: 500 })
  })

  // Guards against two holders that send orders with the same number.
  test('no two lease acquisitions use the same fencing number', async () => {
    await fc.assert(fc.asyncProperty(arbitrarySteps, async (steps) => {
      const { engine } = await runSchedule(steps, false)
      const numbers = engine.executed.map((order) => order.fencingNumber)
      expect(new Set(numbers).size).toBe(numbers.length)
    }), { numRuns: 500 })
  })
})
