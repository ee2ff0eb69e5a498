import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog, type RecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { backendProcessOf, type BackendState, type PendingAttempt } from '../decisions/backendState.js'
import { loadHomes } from '../decisions/loadHomes.js'
import { loadKeyOf } from '../decisions/loadRows.js'
import type { Peer } from '../tasks/fleetTask.js'
import { startLoadExchange, type LoadExchange } from '../tasks/loadExchange.js'
import { createLoadSource } from '../tasks/loadSource.js'
import type { Post } from '../tasks/tokenLoans.js'

const SERVICE = 'model'
const LATENCY_MS = 5
const MAX_AGE_MS = 2500
const BACKENDS = 3

interface Instance {
  readonly peer: Peer
  readonly loads: LoadExchange
  readonly backends: readonly BackendState[]
  readonly log: RecordingLog
  readonly outcomes: string[]
  readonly gauges: Map<string, number>
}

let instances: Instance[]
/** Addresses that are down. */
let killed: Set<string>
/** Whether messages from one instance to another are lost. */
let isCut: (from: Peer, to: Peer) => boolean
/** Instances of the previous release. */
let outdated: Set<string>
/** Replies that are lost although the message was handled. */
let isReplyLost: (from: Peer, to: Peer) => boolean

beforeEach(() => {
  jest.useFakeTimers()
  instances = []
  killed = new Set()
  outdated = new Set()
  isCut = () => false
  isReplyLost = () => false
})

afterEach(() => {
  for (const { loads } of instances) loads.stop()
  jest.useRealTimers()
})

function peerOf (name: string, failureDomain: string): Peer {
  return { instanceId: name, address: `${name}:1`, failureDomain, incarnationId: `${name}.1` }
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

function postFrom (sender: Peer): Post {
  return async (address, path, message, timeoutMilliseconds) => {
    await pause(LATENCY_MS)
    const target = instances.find(({ peer }) => peer.address === address)
    if (target === undefined || killed.has(address)) return { kind: 'failed', mayHaveArrived: false, reason: 'connection refused' }
    const fail = async () => {
      await pause(timeoutMilliseconds)
      return { kind: 'failed', mayHaveArrived: true, reason: 'no response in time' } as const
    }
    if (isCut(sender, target.peer)) return await fail()
    if (outdated.has(target.peer.instanceId)) return { kind: 'failed', mayHaveArrived: true, reason: 'status 400', hasReplied: true }
    expect(path).toBe('/loads')
    expect(JSON.stringify(message).length).toBeLessThan(65_536)
    const reply = target.loads.receive(JSON.parse(JSON.stringify(message)))
    if (reply === 'otherIncarnation') return { kind: 'otherIncarnation' }
    if (reply === undefined || reply === 'overloaded') return { kind: 'failed', mayHaveArrived: true, reason: 'status 400', hasReplied: true }
    if (isReplyLost(sender, target.peer)) return await fail()
    return { kind: 'answered', reply: JSON.parse(JSON.stringify(await reply)) }
  }
}

function startInstance (peer: Peer, phase: number): void {
  const backends = Array.from({ length: BACKENDS }, (_, index) => createTestBackend(`s${index}`))
  // An instance asks for the figures of services that it uses.
  for (const backend of backends) backend.attempts = 1
  const log = createRecordingLog()
  const outcomes: string[] = []
  const gauges = new Map<string, number>()
  const loads = startLoadExchange({
    ...peer,
    peers: () => instances.map((instance) => instance.peer).filter(({ instanceId }) => instanceId !== peer.instanceId),
    source: createLoadSource(() => new Map([[SERVICE, backends]])),
    log,
    count: (outcome) => { outcomes.push(outcome) },
    gauge: (name, value) => { gauges.set(name, value) },
    phase,
    post: postFrom(peer)
  })
  instances.push({ peer, loads, backends, log, outcomes, gauges })
}

/** Starts the given number of instances in each failure domain. */
function startFleet (sizes: Record<string, number>): void {
  const peers = Object.entries(sizes).flatMap(([domain, size]) => Array.from({ length: size }, (_, index) => peerOf(`${domain}-${index}`, domain)))
  peers.forEach((peer, index) => startInstance(peer, index / peers.length))
}

function homesOf (domain: string): readonly Instance[] {
  return loadHomes(domain, instances.map(({ peer }) => peer)).flatMap((home) => instances.filter(({ peer }) => peer.instanceId === home.instanceId))
}

/** Puts requests in progress at the first backend server. */
function addRequests (instance: Instance | undefined, count: number): void {
  for (let index = 0; index < count; index++) {
    const pending: PendingAttempt = { sentAt: steadyNow(), prefillTokens: 320, answered: false }
    instance?.backends[0]?.pending.add(pending)
  }
}

function requestsSeen (instance: Instance | undefined, backend = 0): number | undefined {
  const state = instance?.backends[backend]
  return state === undefined ? undefined : instance?.loads.othersAt(backendProcessOf(state.entry), steadyNow())?.requests
}

function ageOf (instance: Instance): number {
  const state = instance.backends[0]
  const others = state === undefined ? undefined : instance.loads.othersAt(backendProcessOf(state.entry), steadyNow())
  return others === undefined ? Infinity : steadyNow() - others.asOf
}

function linesOf (instance: Instance | undefined, name: string): number {
  return instance?.log.lines.filter((line) => line.name === name).length ?? 0
}

/** What each instance should see: the requests of all instances except its own. */
function expectExactSums (): void {
  const total = instances.reduce((sum, { backends }) => sum + (backends[0]?.pending.size ?? 0), 0)
  for (const instance of instances) {
    if (killed.has(instance.peer.address)) continue
    expect([instance.peer.instanceId, requestsSeen(instance)]).toEqual([instance.peer.instanceId, total - (instance.backends[0]?.pending.size ?? 0)])
  }
}

describe('the exchange of load figures', () => {
  test('tells each instance what all others have in progress, in all failure domains', async () => {
    startFleet({ north: 3, south: 3, west: 2 })
    instances.forEach((instance, index) => addRequests(instance, index + 1))
    await jest.advanceTimersByTimeAsync(4000)
    expectExactSums()
    const service = instances[0]?.loads.service(SERVICE, steadyNow())
    expect(service).toMatchObject({ requests: 36 / BACKENDS, unansweredTokens: 36 * 320 / BACKENDS, instances: 8 })
  })

  // Guards against figures that are older than a choice may use while nothing has failed.
  test('has figures of at most 2.5 s, and no instance sees its own requests, at any time', async () => {
    startFleet({ north: 4, south: 4, west: 4 })
    instances.forEach((instance, index) => addRequests(instance, index))
    await jest.advanceTimersByTimeAsync(4000)
    const addedAt = steadyNow()
    addRequests(instances[0], 100)
    let learnedAt: number | undefined
    while (steadyNow() < addedAt + 5000) {
      await jest.advanceTimersByTimeAsync(50)
      for (const instance of instances) expect(ageOf(instance)).toBeLessThanOrEqual(MAX_AGE_MS)
      expect(requestsSeen(instances[0])).toBe(66)
      if (instances.slice(1).every((instance) => (requestsSeen(instance) ?? 0) >= 100)) learnedAt ??= steadyNow()
    }
    expect((learnedAt ?? Infinity) - addedAt).toBeLessThanOrEqual(MAX_AGE_MS)
    for (const instance of instances) expect(linesOf(instance, 'loadFiguresOld')).toBe(0)
  })

  test('spreads the reports of instances over the second', async () => {
    startInstance(peerOf('a', 'north'), 0)
    startInstance(peerOf('b', 'north'), 0.6)
    await jest.advanceTimersByTimeAsync(500)
    expect(instances.map(({ outcomes }) => outcomes.length > 0)).toEqual([true, false])
  })

  // Guards against figures that end with the process that holds them.
  test('goes on at the next home when the first one is killed', async () => {
    startFleet({ north: 4, south: 2 })
    instances.forEach((instance) => addRequests(instance, 2))
    await jest.advanceTimersByTimeAsync(4000)
    const [home, next] = homesOf('north')
    killed.add(home?.peer.address ?? '')
    home?.loads.stop()
    home?.backends[0]?.pending.clear()
    const observer = instances.find((instance) => instance !== home && instance !== next && instance.peer.failureDomain === 'north')
    for (let step = 0; step < 60; step++) {
      await jest.advanceTimersByTimeAsync(50)
      // The figures of the killed home are kept for a time, and none are counted twice or lost.
      expect(requestsSeen(observer)).toBeGreaterThanOrEqual(6)
      expect(requestsSeen(observer)).toBeLessThanOrEqual(10)
    }
    await jest.advanceTimersByTimeAsync(3000)
    addRequests(next, 5)
    await jest.advanceTimersByTimeAsync(MAX_AGE_MS)
    expectExactSums()
    expect(observer?.log.lines.filter(({ name }) => name === 'loadHomeChanged').at(-1)?.fields).toMatchObject({ home: next?.peer.instanceId, previous: home?.peer.instanceId })
  })

  // Guards against requests that count twice because an instance has told two homes of them.
  test('counts each instance once while two homes are in use', async () => {
    startFleet({ north: 4, south: 3 })
    instances.forEach((instance, index) => addRequests(instance, index + 1))
    await jest.advanceTimersByTimeAsync(4000)
    const [home] = homesOf('north')
    const cutOff = instances.find((instance) => instance !== home && instance.peer.failureDomain === 'north')
    isCut = (from, to) => from.instanceId === cutOff?.peer.instanceId && to.instanceId === home?.peer.instanceId
    const total = 28
    for (let step = 0; step < 100; step++) {
      await jest.advanceTimersByTimeAsync(50)
      for (const instance of instances) expect(requestsSeen(instance)).toBeLessThanOrEqual(total - (instance.backends[0]?.pending.size ?? 0))
    }
    expectExactSums()
    expect(linesOf(cutOff, 'loadHomeChanged')).toBeGreaterThan(1)
  })

  // Guards against requests that count twice because the home took a message over whose reply was lost.
  test('counts an instance once whose replies are lost', async () => {
    startFleet({ north: 4, south: 3 })
    instances.forEach((instance, index) => addRequests(instance, index + 1))
    await jest.advanceTimersByTimeAsync(4000)
    const [home] = homesOf('north')
    const unlucky = instances.find((instance) => instance !== home && instance.peer.failureDomain === 'north')
    let count = 0
    isReplyLost = (from, to) => from.instanceId === unlucky?.peer.instanceId && to.instanceId === home?.peer.instanceId && count++ % 2 === 0
    for (let step = 0; step < 200; step++) {
      await jest.advanceTimersByTimeAsync(50)
      for (const instance of instances) expect(requestsSeen(instance)).toBeLessThanOrEqual(28 - (instance.backends[0]?.pending.size ?? 0))
    }
  })

  // Guards against domains that lose their own figures, or keep those of others for ever, when they are cut off from each other.
  test('has the figures of its own domain while domains are cut off from each other, and all of them afterwards', async () => {
    startFleet({ north: 3, south: 3 })
    instances.forEach((instance) => addRequests(instance, 2))
    await jest.advanceTimersByTimeAsync(4000)
    isCut = (from, to) => from.failureDomain !== to.failureDomain
    await jest.advanceTimersByTimeAsync(6000)
    for (const instance of instances) expect(requestsSeen(instance)).toBe(4)
    for (const instance of instances) expect(ageOf(instance)).toBeLessThanOrEqual(MAX_AGE_MS)
    isCut = () => false
    await jest.advanceTimersByTimeAsync(6000)
    expectExactSums()
  })

  // Guards against an instance that takes all backend servers for idle as soon as it reaches nobody.
  test('keeps the last figures, which approach the mean, at an instance that reaches nobody', async () => {
    startFleet({ north: 4 })
    const lonely = homesOf('north').at(-1)
    addRequests(instances.find((instance) => instance !== lonely), 30)
    await jest.advanceTimersByTimeAsync(4000)
    expect([requestsSeen(lonely), requestsSeen(lonely, 1)]).toEqual([30, 0])
    isCut = (from, to) => from.instanceId === lonely?.peer.instanceId || to.instanceId === lonely?.peer.instanceId
    await jest.advanceTimersByTimeAsync(10_000)
    expect(requestsSeen(lonely)).toBeGreaterThan(10)
    expect(requestsSeen(lonely)).toBeLessThan(12.5)
    expect(requestsSeen(lonely, 1)).toBeGreaterThan(8)
    expect(linesOf(lonely, 'loadFiguresOld')).toBe(1)
    isCut = () => false
    await jest.advanceTimersByTimeAsync(6000)
    expectExactSums()
    expect(linesOf(lonely, 'loadFiguresFresh')).toBe(1)
  })

  test('forgets the requests of an instance that stops', async () => {
    startFleet({ north: 4 })
    const stopped = homesOf('north').at(-1)
    addRequests(stopped, 9)
    await jest.advanceTimersByTimeAsync(4000)
    expect(requestsSeen(instances.find((instance) => instance !== stopped))).toBe(9)
    killed.add(stopped?.peer.address ?? '')
    stopped?.loads.stop()
    await jest.advanceTimersByTimeAsync(5500)
    expect(requestsSeen(instances.find((instance) => instance !== stopped))).toBe(0)
  })

  // Guards against an upgrade during which no instance finds a home.
  test('passes over instances of the previous release', async () => {
    startFleet({ north: 6 })
    for (const instance of homesOf('north').slice(0, 3)) {
      outdated.add(instance.peer.instanceId)
      instance.loads.stop()
    }
    const current = instances.filter(({ peer }) => !outdated.has(peer.instanceId))
    current.forEach((instance, index) => addRequests(instance, index + 1))
    await jest.advanceTimersByTimeAsync(5000)
    for (const [index, instance] of current.entries()) expect(requestsSeen(instance)).toBe(6 - (index + 1))
  })

  // Guards against observations that are lost with a message, or told twice.
  test('tells of what was seen since the last message that a home took', async () => {
    startFleet({ north: 3 })
    const [home, sender] = homesOf('north')
    await jest.advanceTimersByTimeAsync(3000)
    isCut = (from) => from.instanceId === sender?.peer.instanceId
    const tally = sender?.backends[0]?.tally
    if (tally !== undefined) Object.assign(tally, { sent: 4, rejected: 2, logRatioSum: 3, ratioCount: 4 })
    await jest.advanceTimersByTimeAsync(900)
    isCut = () => false
    await jest.advanceTimersByTimeAsync(6000)
    const state = home?.backends[0]
    const others = state === undefined ? undefined : home?.loads.othersAt(backendProcessOf(state.entry), steadyNow())
    // Counts decay with a half-life of 2 s; the message that brought them is at most 6 s old.
    expect(others?.ratioCount).toBeGreaterThan(0.3)
    expect(others?.ratioCount).toBeLessThanOrEqual(4)
    // Sums are sent in units of 0.1, and the count is 0.5 at least.
    expect(Math.abs((others?.logRatio ?? 0) - 0.75)).toBeLessThanOrEqual(0.1)
    expect(tally).toMatchObject({ sent: 0, ratioCount: 0 })
  })

  // Guards against a message of another release, or of a process outside the fleet, that ends the exchange.
  test('refuses malformed messages, uses what it knows of others, and logs the first value that it could not read', async () => {
    startFleet({ north: 2 })
    await jest.advanceTimersByTimeAsync(3000)
    const [home, observer] = homesOf('north')
    const to = home?.peer.incarnationId ?? ''
    const report = { to, kind: 'report', from: loadKeyOf('later'), interval: 1000, services: [] as unknown[] }
    for (const message of [undefined, 5, {}, { to }, { ...report, kind: 'later' }, { ...report, interval: -5 }, { ...report, from: 'x' }, { ...report, services: 'all' }]) expect(home?.loads.receive(message)).toBeUndefined()
    expect(home?.loads.receive({ ...report, to: 'another' })).toBe('otherIncarnation')
    const key = loadKeyOf(backendProcessOf(createTestBackend('s0').entry))
    const services = [[SERVICE, `${key}7,-3,zzzzzzzz,,,,,,,,,,later;!`, 'later'], ['x'], 7, ['', 'rows'], [{}, '']]
    expect(await home?.loads.receive({ ...report, services, later: true })).toMatchObject({ kind: 'others' })
    await jest.advanceTimersByTimeAsync(2000)
    expect(requestsSeen(observer)).toBe(7)
    expect(linesOf(home, 'loadFiguresUnreadable')).toBe(1)
  })
})
