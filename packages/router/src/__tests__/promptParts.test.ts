import { describe, expect, test } from '@jest/globals'
import { createLogger, createMetrics } from '@quinceshunt/telemetry'
import type { ChatBody } from '../chatBody.js'
import { createPromptPartGuard, hashSharedParts, type PromptPartGuard } from '../promptParts.js'

const NAMES = ['router-1', 'router-2', 'router-3'] as const
/** Time until a crash counts, as all reports must be there first. */
const REPORT_DELAY_MS = 600

interface Fleet {
  readonly guards: readonly PromptPartGuard[]
  readonly time: { now: number }
  /** Ends when all reports are delivered. */
  settle (): Promise<void>
}

/** Guards that call each other directly; the one named `unreachable` gets no reports. */
function createFleet (unreachable = ''): Fleet {
  const time = { now: 100_000 }
  const guards = new Map<string, PromptPartGuard>()
  for (const name of NAMES) {
    guards.set(name, createPromptPartGuard({
      clock: { now: () => time.now, waitUntil: async () => {} },
      logger: createLogger({ name: 'router', instanceId: name, level: 'fatal' }),
      metrics: createMetrics()
    }, {
      otherAddresses: () => NAMES.filter((other) => other !== name),
      client: (address: string) => ({
        reportSuspects: async (message: { unanswered: never[], answered: never[] }) => {
          if (address === unreachable) throw new Error('unreachable')
          guards.get(address)?.receive(message.unanswered, message.answered)
        }
      }) as never
    }))
  }
  return { guards: [...guards.values()], time, settle: async () => { await new Promise((resolve) => setImmediate(resolve)) } }
}

/** Lets a router see a crash of an engine that left a prompt unanswered. */
async function crash ({ guards, time, settle }: Fleet, router: number, parts: readonly string[]): Promise<void> {
  time.now += 1000
  guards[router]?.recordCrash(`engine-${time.now}`, [{ parts, sentAt: time.now - 100 }], time.now)
  await settle()
}

describe('prompts with a message that crashes engines', () => {
  // Guards against chats that share one message, and nothing else, and crash one engine after the other.
  test('all routers hold back the message after crashes that each of them saw once', async () => {
    const fleet = createFleet()
    for (const [router, own] of ['a', 'b', 'c'].entries()) await crash(fleet, router, ['crashing', own])
    fleet.time.now += REPORT_DELAY_MS
    expect(fleet.guards.map((guard) => guard.isHeldBack(['crashing', 'd']))).toEqual([true, true, true])
    expect(fleet.guards.map((guard) => guard.isHeldBack(['a', 'b']))).toEqual([false, false, false])
  })

  // Guards against a message that a router holds back although others get answers to it.
  test('an answer at one router clears the message at all', async () => {
    const fleet = createFleet()
    for (const router of [0, 1, 2]) await crash(fleet, router, ['sound'])
    fleet.time.now += REPORT_DELAY_MS
    expect(fleet.guards.map((guard) => guard.isHeldBack(['sound']))).toEqual([true, true, true])
    fleet.guards[1]?.recordAnswer(['sound'], fleet.time.now)
    await fleet.settle()
    expect(fleet.guards.map((guard) => guard.isHeldBack(['sound']))).toEqual([false, false, false])
  })

  test('a router that gets no reports counts the crashes that it sees itself', async () => {
    const fleet = createFleet('router-3')
    for (const router of [0, 1, 2]) await crash(fleet, router, ['crashing'])
    fleet.time.now += REPORT_DELAY_MS
    expect(fleet.guards.map((guard) => guard.isHeldBack(['crashing']))).toEqual([true, true, false])
  })

  // Guards against an instance that never learns of crashes that were reported before it was known.
  test('gossip brings reports that did not arrive, and each counts once', async () => {
    const fleet = createFleet('router-3')
    for (const router of [0, 1, 0]) await crash(fleet, router, ['crashing'])
    fleet.time.now += REPORT_DELAY_MS
    expect(fleet.guards[2]?.isHeldBack(['crashing'])).toBe(false)
    for (const source of [0, 1]) fleet.guards[2]?.receive(fleet.guards[source]?.recentUnanswered() ?? [], [])
    expect(fleet.guards[2]?.recentUnanswered()).toHaveLength(3)
    expect(fleet.guards[2]?.isHeldBack(['crashing'])).toBe(true)
    fleet.time.now += 61_000
    expect(fleet.guards[2]?.recentUnanswered()).toEqual([])
  })

  test('the parts of a chat are its messages but the last, told apart by role and content', () => {
    const chat = (messages: ChatBody['messages']): ChatBody => ({ model: 'painter', messages })
    const notes = { role: 'system', content: 'notes' }
    const [first] = hashSharedParts(chat([notes, { role: 'user', content: 'order' }]))
    expect(hashSharedParts(chat([notes, { role: 'user', content: 'other order' }]))).toEqual([first])
    expect(hashSharedParts(chat([{ role: 'user', content: 'notes' }, notes]))).not.toContain(first)
    expect(hashSharedParts(chat([notes]))).toEqual([])
  })
})
