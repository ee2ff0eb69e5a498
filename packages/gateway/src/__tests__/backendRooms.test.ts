import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createLoanNetwork, type LinkFault, type LoanNetwork } from '../__fixtures__/loanNetwork.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState, type PendingAttempt } from '../decisions/backendState.js'
import { createRoomIssuer, type RoomIssuingPower, type RoomRequest } from '../decisions/roomIssuer.js'
import { createSharedClock } from '../decisions/sharedClock.js'
import { createBackendRooms, type BackendRooms } from '../tasks/backendRooms.js'
import type { Peer } from '../tasks/fleetTask.js'

const SLOTS = 4
const SERVICE = 'model'

function ask (changes: Partial<RoomRequest> = {}): RoomRequest {
  return { service: SERVICE, instanceId: 'a', sequence: 1, openRequests: [], inProgress: {}, failed: [], full: [], loads: {}, wanted: [{ backendProcess: 's1', slots: SLOTS }], ...changes }
}

describe('the issuer of room', () => {
  const power: RoomIssuingPower = { fraction: 1, instances: 2, waiting: 0 }
  /** Late enough that all instances have been heard of. */
  const started = 2000

  function createStartedIssuer (): ReturnType<typeof createRoomIssuer> {
    const issuer = createRoomIssuer()
    issuer.handle(ask({ wanted: [] }), power, 0)
    return issuer
  }

  test('lets no more in than there are slots, whoever asks', () => {
    const issuer = createStartedIssuer()
    const replies = ['a', 'b'].flatMap((instanceId) => [1, 2, 3].map((sequence) => issuer.handle(ask({ instanceId, sequence, openRequests: [1, 2].filter((open) => open < sequence) }), power, started)))
    expect(replies.map(({ kind }) => kind)).toEqual(['granted', 'granted', 'granted', 'granted', 'denied', 'denied'])
  })

  test('gives the room of requests that have ended, or were never sent, to others', () => {
    const issuer = createStartedIssuer()
    for (const sequence of [2, 3, 4, 5]) issuer.handle(ask({ sequence, openRequests: [2, 3, 4].filter((open) => open < sequence) }), power, started)
    expect(issuer.handle(ask({ instanceId: 'b' }), power, started).kind).toBe('denied')
    issuer.handle(ask({ sequence: 6, inProgress: { s1: 3 }, wanted: [] }), power, started)
    expect(issuer.handle(ask({ instanceId: 'b', sequence: 2 }), power, started).kind).toBe('granted')
  })

  test('takes the first backend server in the order of the asking instance that has room', () => {
    const issuer = createStartedIssuer()
    const wanted = ['s1', 's2'].map((backendProcess) => ({ backendProcess, slots: 1 }))
    expect(issuer.handle(ask({ wanted }), power, started)).toEqual({ kind: 'granted', backendProcess: 's1' })
    expect(issuer.handle(ask({ instanceId: 'b', wanted }), power, started)).toEqual({ kind: 'granted', backendProcess: 's2' })
  })

  // Guards against a backend server that gets all that waits the moment that it is back.
  test('lets requests in to a backend server that has failed only bit by bit', () => {
    const issuer = createStartedIssuer()
    issuer.handle(ask({ sequence: 2, failed: ['s1'], wanted: [] }), power, started)
    const grantsAt = (now: number): number => [1, 2, 3, 4].filter((index) => issuer.handle(ask({ instanceId: 'b', sequence: now * 10 + index, openRequests: [1, 2, 3].filter((open) => open < index).map((open) => now * 10 + open) }), power, now).kind === 'granted').length
    expect([started + 300, started + 500, started + 1500, started + 5000].map(grantsAt)).toEqual([0, 1, 3, 4])
  })

  test('issues less where requests are turned away all the same', () => {
    const issuer = createStartedIssuer()
    issuer.handle(ask({ sequence: 2, full: ['s1'], wanted: [] }), power, started)
    const replies = [3, 4, 5, 6].map((sequence) => issuer.handle(ask({ sequence, openRequests: [3, 4, 5].filter((open) => open < sequence) }), power, started).kind)
    expect(replies).toEqual(['granted', 'granted', 'granted', 'denied'])
  })

  // Guards against an engine that has slots left but no memory, and turns away what it is sent for its slots.
  test('issues no more than a backend server runs while it lets requests wait', () => {
    const issuer = createStartedIssuer()
    issuer.handle(ask({ sequence: 2, loads: { s1: { running: 2, waiting: 1, at: started } }, wanted: [] }), power, started)
    const grants = (now: number): number => [1, 2, 3, 4].filter((index) => issuer.handle(ask({ sequence: now + index, openRequests: [1, 2, 3].filter((open) => open < index).map((open) => now + open) }), power, now).kind === 'granted').length
    expect([grants(started), grants(started + 1500)]).toEqual([2, 4])
  })

  test('leaves a slot free where hardly a request may be turned away', () => {
    const issuer = createStartedIssuer()
    const replies = [3, 4, 5, 6].map((sequence) => issuer.handle(ask({ sequence, openRequests: [3, 4, 5].filter((open) => open < sequence) }), { ...power, waiting: -1 }, started).kind)
    expect(replies).toEqual(['granted', 'granted', 'granted', 'denied'])
  })

  // Guards against a new issuer that hands all slots out again while others use them.
  test('leaves the share of instances alone of which it has not heard since it started', () => {
    const issuer = createRoomIssuer()
    const replies = [1, 2, 3].map((sequence) => issuer.handle(ask({ sequence, openRequests: [1, 2].filter((open) => open < sequence) }), power, 0).kind)
    expect(replies).toEqual(['granted', 'granted', 'denied'])
  })

  test('forgets an instance that says nothing any more', () => {
    const issuer = createStartedIssuer()
    issuer.handle(ask({ instanceId: 'gone', inProgress: { s1: SLOTS }, wanted: [] }), power, started)
    expect(issuer.handle(ask({ sequence: 2 }), power, started + 1000).kind).toBe('denied')
    expect(issuer.handle(ask({ sequence: 3 }), power, started + 2100).kind).toBe('granted')
  })
})

describe('room over several instances', () => {
  const INSTANCES = 5
  const SERVERS = 3
  const WORK_MS = 100
  const WAITING = 1
  const REJECTIONS_PER_SECOND = 3
  const LATENCY_MS = 3

  interface Server {
    running: number
    /** Starts of the requests that wait. */
    readonly waiting: (() => void)[]
    readonly rejectedAt: number[]
    served: number
  }

  interface Instance {
    readonly peer: Peer
    readonly rooms: BackendRooms
    readonly backends: readonly BackendState[]
  }

  let servers: readonly Server[]
  let instances: Instance[]
  let network: LoanNetwork
  let chooseFault: () => LinkFault
  let randomState: number

  const random = (): number => {
    randomState = (Math.imul(randomState, 1664525) + 1013904223) >>> 0
    return randomState / 2 ** 32
  }

  beforeEach(() => {
    jest.useFakeTimers()
    randomState = 7
    chooseFault = () => ({ kind: 'none' })
    network = createLoanNetwork(() => chooseFault(), steadyNow)
    servers = Array.from({ length: SERVERS }, () => ({ running: 0, waiting: [], rejectedAt: [], served: 0 }))
    instances = []
    for (let index = 0; index < INSTANCES; index++) start(index, 0)
  })
  afterEach(() => {
    for (const { rooms } of instances) rooms.stop()
    jest.useRealTimers()
  })

  function start (index: number, starts: number): void {
    instances[index]?.rooms.stop()
    const peer = { instanceId: `instance${index}`, address: `instance${index}:80`, failureDomain: 'north', incarnationId: `instance${index}.${starts}` }
    const clock = createSharedClock()
    clock.observe(steadyNow(), steadyNow())
    const backends = servers.map((_, server) => createTestBackend(`s${server}`, { slots: SLOTS }))
    const rooms = createBackendRooms({
      instanceId: peer.instanceId,
      clock,
      log: createRecordingLog(),
      instances: () => INSTANCES,
      homes: () => instances.slice(0, 3).map((instance) => instance.peer),
      backends: () => backends,
      announce: () => {},
      count: () => {},
      post: network.post
    })
    instances[index] = { peer, rooms, backends }
    network.listen(peer, { rooms })
    rooms.learn(SERVICE, { rejectionsPerSecond: REJECTIONS_PER_SECOND, seenAt: steadyNow() })
  }

  async function serve (server: Server): Promise<void> {
    if (server.running >= SLOTS) await new Promise<void>((resolve) => server.waiting.push(resolve))
    server.running++
    await new Promise((resolve) => setTimeout(resolve, WORK_MS))
    server.running--
    server.served++
    server.waiting.shift()?.()
  }

  async function sendOne (index: number): Promise<void> {
    const instance = instances[index] as Instance
    const ordered = [...instance.backends].sort((left, right) => left.pending.size - right.pending.size)
    if (instance.rooms.deniedUntil(SERVICE, steadyNow()) !== undefined) return
    const outcome = await instance.rooms.acquire(SERVICE, ordered)
    if (outcome.kind === 'denied') return
    const { backend } = outcome
    const server = servers[Number(backend.entry.id.slice(1))] as Server
    const pending: PendingAttempt = { sentAt: steadyNow(), prefillTokens: 0, answered: false }
    backend.pending.add(pending)
    outcome.room.release()
    await new Promise((resolve) => setTimeout(resolve, LATENCY_MS))
    const isFull = server.running >= SLOTS && server.waiting.length >= WAITING
    if (isFull) server.rejectedAt.push(steadyNow())
    else await serve(server)
    await new Promise((resolve) => setTimeout(resolve, LATENCY_MS))
    backend.pending.delete(pending)
    instance.rooms.noteEnded(backend, isFull ? 'full' : 'answered')
  }

  /** Sends requests at uneven rates, half of them at the last instance, at a multiple of what the servers serve. */
  async function sendFor (milliseconds: number, overload: number): Promise<void> {
    const perSecond = overload * SERVERS * SLOTS * 1000 / WORK_MS
    for (const end = steadyNow() + milliseconds; steadyNow() < end;) {
      const index = random() < 0.5 ? INSTANCES - 1 : Math.floor(random() * INSTANCES)
      sendOne(index).catch(() => {})
      await jest.advanceTimersByTimeAsync(Math.max(1, random() * 2000 / perSecond))
    }
    await jest.advanceTimersByTimeAsync(1000)
  }

  function mostRejectionsInASecond (): number {
    return Math.max(0, ...servers.flatMap(({ rejectedAt }) => rejectedAt.map((from) => rejectedAt.filter((at) => at >= from && at < from + 1000).length)))
  }

  function servedShare (milliseconds: number): number {
    return servers.reduce((sum, { served }) => sum + served, 0) / (SERVERS * SLOTS * milliseconds / WORK_MS)
  }

  test.each([1.2, 2.5])('at %d times the load nearly all slots are used and hardly a request is turned away', async (overload) => {
    await sendFor(8000, overload)
    expect(mostRejectionsInASecond()).toBeLessThanOrEqual(1)
    expect(servedShare(8000)).toBeGreaterThan(0.85)
  })

  // Guards against counts that are lost with the instance that keeps them, or with a message.
  test('a killed issuer and lost messages let no server turn many requests away', async () => {
    chooseFault = () => random() < 0.05 ? { kind: random() < 0.5 ? 'requestLost' : 'replyLost' } : { kind: 'none' }
    await sendFor(2000, 2)
    network.kill('instance0:80')
    await sendFor(3000, 2)
    start(0, 1)
    await sendFor(3000, 2)
    expect(mostRejectionsInASecond()).toBeLessThanOrEqual(REJECTIONS_PER_SECOND)
    expect(servedShare(8000)).toBeGreaterThan(0.4)
  })

  // Guards against an issuer that takes what a new process tells for what the old one told before.
  test('an instance that is killed and starts again within a second leaves all slots to use', async () => {
    await sendFor(3000, 2)
    network.kill('instance4:80')
    start(INSTANCES - 1, 1)
    for (const server of servers) server.served = 0
    await sendFor(4000, 2)
    expect(mostRejectionsInASecond()).toBeLessThanOrEqual(REJECTIONS_PER_SECOND)
    expect(servedShare(4000)).toBeGreaterThan(0.85)
  })

  // Guards against an issuer that takes what is told in the second period for what was told in the first one.
  test('a second period of brittleness is like the first', async () => {
    await sendFor(3000, 2)
    for (const { rooms } of instances) rooms.learn(SERVICE, { rejectionsPerSecond: undefined, seenAt: steadyNow() })
    await jest.advanceTimersByTimeAsync(500)
    for (const { rooms } of instances) rooms.learn(SERVICE, { rejectionsPerSecond: REJECTIONS_PER_SECOND, seenAt: steadyNow() })
    for (const server of servers) server.served = 0
    await sendFor(4000, 2)
    expect(mostRejectionsInASecond()).toBeLessThanOrEqual(REJECTIONS_PER_SECOND)
    expect(servedShare(4000)).toBeGreaterThan(0.85)
  })

  // Guards against requests that are refused because only the backend servers that an instance likes best are asked for.
  test('finds room at the one of twenty backend servers that has some', async () => {
    const [home, asker] = instances as [Instance, Instance]
    const all = Array.from({ length: 20 }, (_, server) => createTestBackend(`many${server}`, { slots: 1 }))
    await jest.advanceTimersByTimeAsync(1000)
    home.rooms.issue(ask({ instanceId: 'other', sequence: 1, inProgress: Object.fromEntries(all.slice(0, -1).map(({ entry }) => [backendProcessOf(entry), 2])) }))
    const outcome = asker.rooms.acquire(SERVICE, all)
    await jest.advanceTimersByTimeAsync(100)
    expect((await outcome).kind).toBe('granted')
  })

  test('an instance that reaches no home keeps to its even share', async () => {
    for (const home of [0, 1, 2]) network.kill(`instance${home}:80`)
    const cutOff = instances[4] as Instance
    const outcomes = await Promise.all(Array.from({ length: 10 }, async () => {
      const asking = cutOff.rooms.acquire(SERVICE, cutOff.backends)
      await jest.advanceTimersByTimeAsync(500)
      return (await asking).kind
    }))
    expect(outcomes.filter((kind) => kind === 'granted').length).toBeLessThanOrEqual(Math.floor(SERVERS * SLOTS / INSTANCES))
  })

  test('no message is sent for a service whose backend servers are no longer brittle', async () => {
    let messages = 0
    chooseFault = () => {
      messages++
      return { kind: 'none' }
    }
    const { rooms, backends } = instances[4] as Instance
    rooms.learn(SERVICE, { rejectionsPerSecond: undefined, seenAt: steadyNow() + 1 })
    expect(rooms.isNeeded(SERVICE)).toBe(false)
    rooms.noteEnded(backends[0] as BackendState, 'full')
    await jest.advanceTimersByTimeAsync(5000)
    expect(messages).toBe(0)
  })
})
