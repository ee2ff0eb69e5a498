import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { buildSlotRequest, flushMicrotasks } from '../__fixtures__/slotRequest.js'
import { DispatchOrder } from '../dispatchOrder.js'
import { SlotQueue, type SlotResult } from '../slotQueue.js'

const LARGEST_COST = 5

/** Maximum difference in work per weight that start-time fair queuing allows between two backlogged accounts. */
function maxWorkDifference (left: number, right: number, cost: number): number {
  return cost / left + cost / right
}

describe('fairness among client accounts', () => {
  // Guards against large or numerous requests of one account delaying other accounts.
  test('dispatched work per weight of backlogged accounts stays within the bound', () => {
    const costs = fc.array(fc.integer({ min: 1, max: LARGEST_COST }), { minLength: 60, maxLength: 60 })
    fc.assert(fc.property(fc.integer({ min: 1, max: 8 }), fc.integer({ min: 1, max: 8 }), costs, costs, (weightOne, weightTwo, costsOne, costsTwo) => {
      const order = new DispatchOrder()
      const add = (account: string, weight: number) => (cost: number, index: number): void => {
        order.enqueue({ id: `${account}${index}`, account, weight, cost, priority: 'standard', enqueuedAt: 0 })
      }
      costsOne.forEach(add('one', weightOne))
      costsTwo.forEach(add('two', weightTwo))
      const work = { one: 0, two: 0 }
      while (new Set(order.waiting.map((request) => request.account)).size === 2) {
        const next = order.dequeue(0, true)!
        work[next.account as 'one' | 'two'] += next.cost / next.weight
        expect(Math.abs(work.one - work.two)).toBeLessThanOrEqual(maxWorkDifference(weightOne, weightTwo, LARGEST_COST) + 1e-9)
      }
    }), { numRuns: 200 })
  })

  // Guards against an account with many requests displacing other accounts from the bounded queue.
  test('under overload with shedding, accounts get slots by weight regardless of how much each sends', async () => {
    const account = fc.record({ weight: fc.integer({ min: 1, max: 4 }), burst: fc.integer({ min: 2, max: 30 }) })
    await fc.assert(fc.asyncProperty(fc.tuple(account, account, account), async (accounts) => {
      const queue = new SlotQueue({ queueLimit: 24, window: 2, bulkShare: 1, now: () => 0 })
      const granted = accounts.map(() => 0)
      const running: ((at: number) => void)[] = []
      function flood (): void {
        accounts.forEach(({ weight, burst }, index) => {
          for (let sent = 0; sent < burst; sent++) {
            queue.request(buildSlotRequest({ account: `account${index}`, weight }), (result: SlotResult) => {
              if (result.kind !== 'granted') return
              granted[index]!++
              running.push(result.release)
            })
          }
        })
      }
      flood()
      granted.fill(0)
      for (let dispatch = 0; dispatch < 60; dispatch++) {
        running.shift()!(0)
        await flushMicrotasks()
        flood()
      }
      const perWeight = accounts.map(({ weight }, index) => granted[index]! / weight)
      for (let left = 0; left < 3; left++) {
        for (let right = 0; right < left; right++) {
          const bound = maxWorkDifference(accounts[left]!.weight, accounts[right]!.weight, 1)
          expect(Math.abs(perWeight[left]! - perWeight[right]!)).toBeLessThanOrEqual(bound + 1e-9)
        }
      }
    }), { numRuns: 25 })
  })
})
