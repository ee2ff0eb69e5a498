import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { buildSlotRequest, flushMicrotasks } from '../__fixtures__/slotRequest.js'
import { PRIORITIES } from '../priority.js'
import { SlotQueue, type SlotResult, type SlotTicket } from '../slotQueue.js'

const QUEUE_LIMIT = 6

type Step =
  | { readonly kind: 'request', readonly priority: 0 | 1 | 2, readonly account: string }
  | { readonly kind: 'release' | 'withdraw', readonly index: number }
  | { readonly kind: 'window', readonly window: number }

const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('request' as const), priority: fc.constantFrom(0 as const, 1 as const, 2 as const), account: fc.constantFrom('one', 'two') }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('release' as const, 'withdraw' as const), index: fc.nat(40) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('window' as const), window: fc.integer({ min: 1, max: 5 }) }) }
)

describe('SlotQueue', () => {
  // Guards against slots that are lost, granted twice or leaked, and against unbounded queue growth.
  test('queue and slots stay within their limits and every request gets exactly one result', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 60, size: 'max' }), async (steps) => {
      let window = 3
      const queue = new SlotQueue({ queueLimit: QUEUE_LIMIT, window, bulkShare: 0.5, now: () => 0 })
      const results: SlotResult[][] = []
      const tickets: SlotTicket[] = []
      for (const step of steps) {
        const before = queue.running
        if (step.kind === 'request') {
          const settled: SlotResult[] = []
          results.push(settled)
          tickets.push(queue.request(buildSlotRequest({ priority: PRIORITIES[step.priority]!, account: step.account }), (result) => settled.push(result)))
        } else if (step.kind === 'window') queue.setWindow(window = step.window)
        else if (step.kind === 'withdraw') tickets[step.index]?.withdraw()
        else {
          const result = results[step.index]?.[0]
          if (result?.kind === 'granted') result.release(1)
        }
        await flushMicrotasks()
        expect(queue.queued).toBeLessThanOrEqual(QUEUE_LIMIT)
        expect(queue.running).toBeLessThanOrEqual(Math.max(window, before))
        if (before <= window) expect(queue.bulkRunning).toBeLessThanOrEqual(Math.max(1, Math.floor(5 * 0.5)))
        expect(queue.load().waiting.interactive + queue.load().waiting.standard === 0 || queue.running >= window).toBe(true)
      }
      for (let round = 0; round <= results.length; round++) {
        for (const [result] of results) if (result?.kind === 'granted') result.release(1)
        await flushMicrotasks()
      }
      expect(results.map((settled) => settled.length)).toEqual(results.map(() => 1))
      expect([queue.running, queue.bulkRunning, queue.queued]).toEqual([0, 0, 0])
      const granted: SlotResult[] = []
      for (let index = 0; index < window; index++) queue.request(buildSlotRequest(), (result) => granted.push(result))
      expect(granted.map((result) => result.kind)).toEqual(Array(window).fill('granted'))
    }), { numRuns: 200 })
  })

  // Guards against bulk requests taking the slots reserved for low-latency interactive requests.
  test('bulk requests leave slots free and are not starved by interactive requests', async () => {
    let now = 0
    const queue = new SlotQueue({ queueLimit: 100, window: 4, bulkShare: 0.5, now: () => now })
    const running: { bulk: boolean, release: (at: number) => void }[] = []
    let bulkStarted = 0
    function send (priority: 'bulk' | 'interactive'): void {
      queue.request(buildSlotRequest({ priority }), (result) => {
        if (result.kind !== 'granted') return
        running.push({ bulk: priority === 'bulk', release: result.release })
        if (priority === 'bulk') bulkStarted++
      })
    }
    for (let index = 0; index < 6; index++) send('bulk')
    expect(queue.running).toBe(2)
    for (let index = 0; index < 40; index++) send('interactive')
    expect(queue.running).toBe(4)
    // 36 dispatches after the overdue time: one in four goes to bulk, which has four waiting.
    now = 5000
    for (let index = 0; index < 24; index++) {
      running.shift()?.release(now)
      await flushMicrotasks()
    }
    expect(bulkStarted).toBe(6)
  })

  // Guards against a Retry-After after which the queue is certain to shed the request again.
  test('a request repeated at retryAt is queued, and retryAt is no later than the queue takes to drain', async () => {
    await fc.assert(fc.asyncProperty(fc.integer({ min: 10, max: 9000 }), fc.integer({ min: 1, max: 4 }), fc.constantFrom(...PRIORITIES), async (hold, window, priority) => {
      let now = 0
      const queue = new SlotQueue({ queueLimit: 40, window, bulkShare: 1, now: () => now })
      const running: { endsAt: number, release: (at: number) => void }[] = []
      const send = (): void => {
        queue.request(buildSlotRequest({ priority }), (result) => {
          if (result.kind === 'granted') running.push({ endsAt: now + hold, release: result.release })
        })
      }
      const advanceTo = async (time: number): Promise<void> => {
        for (let next = running[0]; next !== undefined && next.endsAt <= time; next = running[0]) {
          now = next.endsAt
          running.shift()!.release(now)
          await flushMicrotasks()
        }
        now = time
      }
      send()
      await advanceTo(hold)
      while (queue.preview(buildSlotRequest({ priority })).kind === 'queued') send()
      const admission = queue.preview(buildSlotRequest({ priority }))
      if (admission.kind !== 'shed') throw new Error(`expected shed, was ${admission.kind}`)
      expect(admission.retryAt - now).toBeLessThanOrEqual(Math.max(1000, (queue.queued + window) * hold / window))
      await advanceTo(admission.retryAt)
      expect(queue.preview(buildSlotRequest({ priority })).kind).toBe('queued')
    }), { numRuns: 60 })
  })
})
