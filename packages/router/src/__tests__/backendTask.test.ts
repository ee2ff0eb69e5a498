import { afterEach, describe, expect, test } from '@jest/globals'
import { createMemoryPlatform } from '@quinceshunt/table-store'
import type { BackendServerMark, InstanceEntry } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { setTimeout as wait } from 'node:timers/promises'
import { buildAcquire, buildConfiguration, buildLeavingEntry, buildRoutingSettings, buildServers, buildTaskContext, CLOSED_ADDRESS, startReportingServer } from '../__fixtures__/backendFleet.js'
import { createBackendTask, DEFAULT_CONTROL_TRAFFIC_LIMITS, startBackendTask } from '../backendTask.js'
import type { Slot, SlotOutcome } from '../services.js'
import type { Stoppable } from '../taskContracts.js'

const started: Stoppable[] = []
afterEach(async () => { for (const item of started.splice(0)) await item.stop() })

function stopAfterTest<Item extends Stoppable> (item: Item): Item {
  started.push(item)
  return item
}

async function startServers (count: number) {
  return await Promise.all(Array.from({ length: count }, async () => stopAfterTest(await startReportingServer())))
}

function slotOf (outcome: SlotOutcome): Slot {
  if (outcome.kind !== 'slot') throw new Error(`expected a slot, was ${outcome.code}: ${outcome.message}`)
  return outcome.slot
}

describe('createBackendTask', () => {
  // Guards against sending work to a leaving backend server, losing or leaking slots, and leaving requests waiting.
  test('for any marks in any order, leaving backend servers get no new work and every request ends', async () => {
    const operation = fc.oneof(
      { weight: 6, arbitrary: fc.record({ kind: fc.constant('acquire' as const), priority: fc.constantFrom('interactive' as const, 'bulk' as const) }) },
      { weight: 3, arbitrary: fc.record({ kind: fc.constant('release' as const), index: fc.nat(9) }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('abort' as const), index: fc.nat(30) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('gossip' as const, 'drain' as const), server: fc.nat(2) }) })
    await fc.assert(fc.asyncProperty(fc.array(operation, { maxLength: 50, size: 'max' }), async (operations) => {
      const servers = buildServers([CLOSED_ADDRESS, CLOSED_ADDRESS, CLOSED_ADDRESS])
      const configuration = buildConfiguration(servers)
      // Failed polls of the closed address would eject all backend servers; the long interval keeps them below the limit for the whole test.
      const task = createBackendTask(buildTaskContext('router-1'), buildRoutingSettings({ queueLimit: 4, loadPollMilliseconds: 60_000 }), configuration)
      const leaving = new Set<string>()
      const held: Slot[] = []
      const aborts: AbortController[] = []
      const ended = new Set<AbortController>()
      for (const operation of operations) {
        const leavingBefore = new Set(leaving)
        const heldBefore = new Set(held)
        if (operation.kind === 'acquire') {
          const abort = new AbortController()
          aborts.push(abort)
          task.acquire(buildAcquire({ priority: operation.priority, signal: abort.signal })).then((outcome) => {
            ended.add(abort)
            if (outcome.kind === 'slot') held.push(outcome.slot)
          }, () => {})
        } else if (operation.kind === 'release') held.splice(operation.index, 1)[0]?.release('succeeded')
        else if (operation.kind === 'abort') aborts[operation.index]?.abort()
        else {
          const id = `engine-${operation.server}`
          leaving.add(id)
          if (operation.kind === 'drain') configuration.drain([...leaving])
          else task.receiveMarks([{ backendServer: id, incarnation: '', markedAt: 5n } as BackendServerMark])
        }
        await wait(0)
        const used = held.filter((slot) => !heldBefore.has(slot)).map((slot) => slot.backendServer.id)
        expect(used.filter((id) => leavingBefore.has(id) || leaving.has(id))).toEqual([])
        expect(aborts.filter((abort) => abort.signal.aborted && !ended.has(abort))).toEqual([])
        expect(task.status().reduce((sum, { queued }) => sum + queued, 0)).toBe(aborts.length - ended.size)
        for (const { id } of servers) expect(held.filter((slot) => slot.backendServer.id === id).length).toBeLessThanOrEqual(2)
      }
      while (held.length > 0) {
        held.pop()?.release('succeeded')
        await wait(0)
      }
      expect(ended.size).toBe(aborts.length)
      expect(task.status().map(({ running, queued }) => running + queued)).toEqual([0, 0, 0])
      await task.stop()
    }), { numRuns: 40 })
  })

  test('a waiting request moves to another backend server when its own starts to leave', async () => {
    const fleet = await startServers(2)
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(buildServers(fleet.map(({ address }) => address)))))
    await wait(30)
    const slots = await Promise.all(Array.from({ length: 4 }, async () => slotOf(await task.acquire(buildAcquire()))))
    const waiting = Array.from({ length: 4 }, async () => {
      const slot = slotOf(await task.acquire(buildAcquire()))
      slot.release('succeeded')
      return slot.backendServer.id
    })
    fleet[0]!.report.state = 'leaving'
    await wait(150)
    expect(task.status().map(({ state, queued }) => [state, queued])).toEqual([['leaving', 0], ['healthy', 4]])
    for (const slot of slots) slot.release('succeeded')
    expect(await Promise.all(waiting)).toEqual(Array(4).fill('engine-1'))
    expect(task.recentMarks().map((mark) => [mark.backendServer, mark.incarnation])).toEqual([['engine-0', 'p1']])
  })

  // Guards against a request waiting for one backend server while another is idle.
  test('a waiting request uses the first slot that is released', async () => {
    const fleet = await startServers(2)
    for (const { report } of fleet) report.slots = 1
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(buildServers(fleet.map(({ address }) => address), { slots: 1 }))))
    await wait(100)
    const slots = [slotOf(await task.acquire(buildAcquire())), slotOf(await task.acquire(buildAcquire()))]
    const waiting = task.acquire(buildAcquire({ deadline: Date.now() + 1000 }))
    const waitsAt = task.status().find(({ queued }) => queued === 1)!.id
    const other = slots.find(({ backendServer }) => backendServer.id !== waitsAt)!
    other.release('succeeded')
    expect(slotOf(await waiting).backendServer.id).toBe(other.backendServer.id)
  })

  test('the instance list alone stops new work, and a new process gets work again', async () => {
    const [server] = await startServers(1)
    const platform = createMemoryPlatform([buildLeavingEntry('engine-0') as InstanceEntry])
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1', '', platform), buildRoutingSettings(), buildConfiguration(buildServers([server!.address]))))
    await wait(150)
    expect(await task.acquire(buildAcquire())).toMatchObject({ kind: 'shed', code: 'no_backend_server', status: 503 })
    server!.report.incarnation = 'p2'
    await wait(150)
    expect((await task.acquire(buildAcquire())).kind).toBe('slot')
    expect(task.recentMarks()).toEqual([])
  })

  // Guards against treating a request in flight during a crash as an ordinary failure, and against ejecting the new
  // process because the old one crashed.
  test('a closed port or a new process is a crash, a process that still responds is not', async () => {
    const [server] = await startServers(1)
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(buildServers([server!.address]))))
    await wait(100)
    expect(await task.confirmCrash('engine-0')).toBe(false)
    await server!.stop()
    expect(await task.confirmCrash('engine-0')).toBe(true)
    expect(await task.acquire(buildAcquire())).toMatchObject({ kind: 'shed', code: 'no_backend_server' })
    const restarted = stopAfterTest(await startReportingServer(server!.address))
    restarted.report.incarnation = 'p2'
    await wait(200)
    expect(await task.confirmCrash('engine-0')).toBe(true)
    expect((await task.acquire(buildAcquire())).kind).toBe('slot')
  })

  // Guards against an answer that is judged by a process which reported only after its request was sent.
  test('a slot names the process that had reported before it', async () => {
    const [server] = await startServers(1)
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(buildServers([server!.address]))))
    const nextSlotAfter = async (before: Slot): Promise<Slot> => {
      for (;;) {
        await wait(20)
        const slot = slotOf(await task.acquire(buildAcquire()))
        if (slot.incarnation !== before.incarnation) return slot
        slot.release('succeeded')
      }
    }
    const early = slotOf(await task.acquire(buildAcquire()))
    const reported = await nextSlotAfter(early)
    early.release('succeeded')
    server!.report.incarnation = 'p2'
    const restarted = await nextSlotAfter(reported)
    expect([early, reported, restarted].map(({ incarnation }) => incarnation)).toEqual(['', 'p1', 'p2'])
  })

  // Guards against sound answers of a restarted process that fail until the next poll, each as one of a process that was replaced.
  test('a slot names a process that has replied to a question since the last poll', async () => {
    const [server] = await startServers(1)
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings({ loadPollMilliseconds: 60_000 }), buildConfiguration(buildServers([server!.address]))))
    const readIncarnation = async (): Promise<string> => {
      const slot = slotOf(await task.acquire(buildAcquire()))
      slot.release('succeeded')
      return slot.incarnation
    }
    while (await readIncarnation() !== 'p1') await wait(20)
    server!.report.incarnation = 'p2'
    await task.askProcess(server!.address, performance.now())
    expect(await readIncarnation()).toBe('p2')
  })

  test('requests go to the server with the cached prefix until there is a gap in the events', async () => {
    const fleet = await startServers(3)
    const task = stopAfterTest(createBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(buildServers(fleet.map(({ address }) => address)))))
    const choose = async (): Promise<string> => {
      const slot = slotOf(await task.acquire(buildAcquire({ prefixHashes: ['h1', 'h2'], promptBytes: 65_536 })))
      slot.release('succeeded')
      return slot.backendServer.id
    }
    fleet[2]!.events = { events: [{ sequence: 1, kind: 'stored', hash: 'h1' }, { sequence: 2, kind: 'stored', hash: 'h2' }], next: 2 }
    await wait(150)
    expect([await choose(), await choose(), await choose()]).toEqual(Array(3).fill('engine-2'))
    fleet[2]!.events = { events: [], next: 3 }
    await wait(150)
    expect(new Set([await choose(), await choose(), await choose()]).size).toBe(3)
  })

  test('a wait ends at the deadline, and the subset grows when none of its members is eligible', async () => {
    const fleet = await startServers(2)
    const servers = buildServers(fleet.map(({ address }) => address), { slots: 1 })
    for (const { report } of fleet) report.slots = 1
    const task = stopAfterTest(startBackendTask(buildTaskContext('router-1'), buildRoutingSettings(), buildConfiguration(servers), { ...DEFAULT_CONTROL_TRAFFIC_LIMITS, subsetSize: 1 }))
    const first = slotOf(await task.acquire(buildAcquire()))
    expect(await task.acquire(buildAcquire({ deadline: Date.now() + 100 }))).toMatchObject({ kind: 'shed', code: 'deadline_exceeded', status: 503 })
    const other = slotOf(await task.acquire(buildAcquire({ excluded: new Set([first.backendServer.id]) })))
    expect(other.backendServer.id).not.toBe(first.backendServer.id)
  })
})
