import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createLoanNetwork } from '../__fixtures__/loanNetwork.js'
import { startPlainService, type PlainService, type SimulatedRequest } from '../__fixtures__/plainService.js'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import { steadyNow } from '../clock.js'

const INSTANCES = 6
const LATENCY_TARGET_MS = 199
const WORK_MS = 43

let service: PlainService
let random: () => number
let startedAt: number
/** Until then, all instances learn of the shortage from figures that are a second old, and the servers' queues that have filled before are served. */
const ONSET_MS = 2500

beforeEach(() => {
  jest.useFakeTimers()
  random = createSeededRandom(5)
})
afterEach(() => {
  service.stop()
  jest.useRealTimers()
})

function start (queueForRoom: boolean, workMilliseconds: readonly number[]): void {
  random = createSeededRandom(5)
  startedAt = steadyNow()
  service = startPlainService({ instances: INSTANCES, workMilliseconds, latencyTargetMilliseconds: LATENCY_TARGET_MS, network: createLoanNetwork(() => ({ kind: 'none' }), steadyNow), queueForRoom, random, sharesLoads: true })
}

interface Sender { readonly account: string, readonly priority: number, readonly load: number }

/** Sends at a multiple of what all servers serve when none is lost. */
async function sendFor (milliseconds: number, senders: readonly Sender[], capacity = service.capacity): Promise<void> {
  const due = senders.map(() => 0)
  for (const end = steadyNow() + milliseconds; steadyNow() < end;) {
    senders.forEach(({ account, priority, load }, index) => {
      for (due[index] = (due[index] ?? 0) + load * capacity * 2 * random(); (due[index] ?? 0) >= 1; due[index] = (due[index] ?? 0) - 1) service.send(Math.floor(random() * INSTANCES), account, priority)
    })
    await jest.advanceTimersByTimeAsync(1)
  }
  await jest.advanceTimersByTimeAsync(500)
}

function share (isCounted: (request: SimulatedRequest) => boolean, among: (request: SimulatedRequest) => boolean = () => true): number {
  const chosen = service.requests.filter(among)
  return chosen.filter(isCounted).length / Math.max(1, chosen.length)
}

function isServedInTime ({ outcome, sentAt, endedAt }: SimulatedRequest): boolean {
  return outcome === 'served' && endedAt - sentAt <= LATENCY_TARGET_MS
}

function rejections (): number {
  return service.servers.reduce((sum, { rejected }) => sum + rejected, 0)
}

/** Runs a load without the queue and with it. */
async function compare<Result> (workMilliseconds: readonly number[], load: () => Promise<Result>): Promise<{ readonly off: Result, readonly on: Result }> {
  start(false, workMilliseconds)
  const off = await load()
  service.stop()
  start(true, workMilliseconds)
  return { off, on: await load() }
}

describe('a service that is short of room', () => {
  const three = [WORK_MS, WORK_MS, WORK_MS]

  // Load: a burst of 2.4 times what three servers serve.
  test('serves in time what it can serve in a burst of 2.4 times, and its servers reject hardly any request', async () => {
    const { off, on } = await compare(three, async () => {
      await sendFor(3000, [{ account: 'usual', priority: 0, load: 2.4 }])
      return { rejected: rejections(), servedInTime: share(isServedInTime), rejectedShare: share(({ outcome }) => outcome === 'rejected') }
    })
    expect(off.rejectedShare).toBeGreaterThan(0.3)
    expect(on.rejectedShare).toBeLessThan(0.03)
    expect(on.servedInTime).toBeGreaterThan(0.9 / 2.4)
    expect(on.servedInTime).toBeGreaterThanOrEqual(off.servedInTime)
  })

  // Load: the same burst, of which a third is more urgent and a tenth less urgent.
  test('serves the more urgent requests of a burst, and starves none', async () => {
    const { off, on } = await compare(three, async () => {
      await sendFor(3000, [{ account: 'urgent', priority: 0, load: 0.7 }, { account: 'usual', priority: 1, load: 1.5 }, { account: 'late', priority: 2, load: 0.2 }])
      return ['urgent', 'usual', 'late'].map((name) => share(isServedInTime, ({ account }) => account === name))
    })
    expect(off[0]).toBeLessThan(0.6)
    expect(on[0]).toBeGreaterThan(0.9)
    expect(on[1]).toBeGreaterThan(0.08)
    expect(on[2]).toBeGreaterThan(0.08)
  })

  // Load: one of ten client accounts at 7.5 times its usual rate, which takes the service from 0.7 to 1.2 times its capacity.
  test('serves the other client accounts while one sends 7.5 times its usual rate', async () => {
    const usual = Array.from({ length: 9 }, (_, index) => ({ account: `usual${index}`, priority: 0, load: 0.07 }))
    const { off, on } = await compare(three, async () => {
      await sendFor(5000, [...usual, { account: 'busy', priority: 0, load: 7.5 * 0.07 }])
      return share(isServedInTime, ({ account, sentAt }) => account !== 'busy' && sentAt > startedAt + ONSET_MS)
    })
    expect(off).toBeLessThan(0.85)
    expect(on).toBeGreaterThan(0.93)
  })

  // Load: one of three servers lost at nine tenths of what all three serve.
  test('has hardly a request rejected by the servers that are left when one of three is lost', async () => {
    const { off, on } = await compare(three, async () => {
      const { capacity } = service
      await sendFor(500, [{ account: 'usual', priority: 0, load: 0.9 }], capacity)
      ;(service.servers[0] as { isLost: boolean }).isLost = true
      await sendFor(5000, [{ account: 'usual', priority: 1, load: 0.6 }, { account: 'urgent', priority: 0, load: 0.3 }], capacity)
      return { rejected: rejections(), urgent: share(isServedInTime, ({ account, sentAt }) => account === 'urgent' && sentAt > startedAt + 500 + ONSET_MS) }
    })
    expect(off.rejected).toBeGreaterThan(100)
    expect(on.rejected).toBeLessThan(30)
    expect(on.urgent).toBeGreaterThan(0.93)
    expect(on.urgent).toBeGreaterThan(off.urgent)
  })

  // Load: four fast servers and one that takes ten times as long, at more than the fast ones serve.
  test('has hardly a request rejected when one of five servers is slow', async () => {
    const { off, on } = await compare([21, 21, 21, 21, 210], async () => {
      await sendFor(3000, [{ account: 'usual', priority: 0, load: 1.3 }])
      return { rejected: share(({ outcome }) => outcome === 'rejected'), servedInTime: share(isServedInTime) }
    })
    expect(off.rejected).toBeGreaterThan(0.1)
    expect(on.rejected).toBeLessThan(0.03)
    // Nothing is gained at the slow server, whose requests are late; but nothing is lost either.
    expect(on.servedInTime).toBeGreaterThan(off.servedInTime * 0.98)
  })

  // Guards against a shortage that ends every five seconds while the overload lasts.
  test('has no second wave of rejections while the overload lasts, and is over five seconds after it', async () => {
    start(true, three)
    await sendFor(2000, [{ account: 'usual', priority: 0, load: 2 }])
    const afterOnset = rejections()
    await sendFor(8000, [{ account: 'usual', priority: 0, load: 2 }])
    expect(rejections()).toBe(afterOnset)
    await jest.advanceTimersByTimeAsync(6000)
    expect(service.instances.map(({ rooms }) => rooms.isNeeded('model'))).toEqual(service.instances.map(() => false))
  })

  // Guards against denied callers that all return at the same moment and are denied again.
  test('denied callers that return when they are told are spread over the time', async () => {
    start(true, three)
    await sendFor(600, [{ account: 'usual', priority: 0, load: 2.4 }])
    const denied = service.requests.filter(({ outcome, retryAt }) => outcome === 'denied' && retryAt > 0)
    expect(denied.length).toBeGreaterThan(100)
    const mostInTenMilliseconds = Math.max(...denied.map(({ retryAt }) => denied.filter((other) => other.retryAt >= retryAt && other.retryAt < retryAt + 10).length))
    expect(mostInTenMilliseconds).toBeLessThan(10 * service.capacity * 3)
  })
})
