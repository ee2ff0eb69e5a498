import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createRecordingLog, type RecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { areAllLost, areAllLostForGood, isLost, isReachable, selectProbes } from '../decisions/backendReach.js'
import type { BackendState } from '../decisions/backendState.js'
import { startBackendReach, type BackendReach } from '../tasks/backendReach.js'

const PROBE_DELAY_MS = 100

let log: RecordingLog
let backends: readonly BackendState[]
let probes: string[]
/** IDs of the backend servers that answer probes. */
let reachable: Set<string>
let wantsRequests: boolean
let evacuated: Set<string>
/** Backend server, its process when it was probed, and a header of the response. */
let probeResponses: unknown[]
let reach: BackendReach

beforeEach(() => {
  jest.useFakeTimers()
  log = createRecordingLog()
  backends = ['a', 'b', 'c'].map((id) => createTestBackend(id, { service: 'ledger', address: id }))
  for (const backend of backends) backend.lastByteAt = steadyNow()
  probes = []
  wantsRequests = true
  evacuated = new Set()
  probeResponses = []
  reachable = new Set(['a', 'b', 'c'])
  reach = startBackendReach({
    backendsByService: () => new Map([['ledger', backends]]),
    findService: () => ({ name: 'ledger', maximumConnections: 1, engine: undefined, healthPath: '/healthz' }),
    mayProbe: () => wantsRequests,
    isEvacuated: ({ entry }) => evacuated.has(entry.id),
    onProbeResponse: (backend, backendProcess, { headers }) => { probeResponses.push([backend.entry.id, backendProcess, headers['x-told']]) },
    log,
    count: () => {},
    probe: async (address) => {
      probes.push(address)
      await new Promise((resolve) => setTimeout(resolve, PROBE_DELAY_MS))
      return reachable.has(address) ? { kind: 'reached', response: { status: 200, headers: { 'x-told': 'something' } } } : { kind: 'lost', reason: 'no response in time' }
    }
  })
})
afterEach(() => {
  reach.stop()
  jest.useRealTimers()
})

function send (backend: BackendState | undefined): void {
  backend?.pending.add({ sentAt: steadyNow(), prefillTokens: 0, answered: false })
}

/** Bytes come from a backend server. */
function receive (backend: BackendState | undefined): void {
  if (backend === undefined) return
  backend.lastByteAt = steadyNow()
  reach.noteBytes(backend)
}

function events (): readonly string[] {
  return log.lines.map(({ name }) => name).filter((name) => name.startsWith('service'))
}

describe('an instance that loses its backend servers', () => {
  // Guards against an instance that learns server by server, at the cost of a request each, that it is cut off.
  test('knows within two seconds that it reaches none, from one unanswered request', async () => {
    reachable = new Set()
    send(backends[0])
    await jest.advanceTimersByTimeAsync(1000)
    expect(areAllLost(backends)).toBe(true)
    expect(events()).toEqual(['serviceCutOff'])
  })

  test('knows it at once from a refused connection and the probes that follow', async () => {
    reachable = new Set()
    await jest.advanceTimersByTimeAsync(500)
    reach.noteUnreachable(backends[0] as BackendState)
    expect(probes).toEqual(['b', 'c'])
    await jest.advanceTimersByTimeAsync(PROBE_DELAY_MS)
    expect(areAllLost(backends)).toBe(true)
  })

  // Guards against an instance whose requests are reset once they were written: they may have crashed the backend server and are held back.
  test('knows it from one new connection that ended without a byte and the probes that follow', async () => {
    reachable = new Set()
    await jest.advanceTimersByTimeAsync(500)
    reach.noteRefused(backends[0] as BackendState)
    await jest.advanceTimersByTimeAsync(1000)
    expect(areAllLost(backends)).toBe(true)
    expect(events()).toEqual(['serviceCutOff'])
  })

  // Guards against a probe that is put off for as long as further connections end.
  test('knows it while new connections end without a byte all the time', async () => {
    reachable = new Set()
    for (let round = 0; round < 15; round++) {
      for (const backend of backends) reach.noteRefused(backend)
      await jest.advanceTimersByTimeAsync(100)
    }
    expect(events()).toEqual(['serviceCutOff'])
  })

  test('probes a backend server once for a new connection that ended without a byte while probes reach it', async () => {
    await jest.advanceTimersByTimeAsync(500)
    reach.noteRefused(backends[0] as BackendState)
    await jest.advanceTimersByTimeAsync(3000)
    expect(probes).toEqual(['a'])
  })

  // Guards against a busy backend server, which resets connections beyond its maximum, that is probed on further ones and counted as lost for it.
  test('does not probe one that refuses new connections while kept ones bring bytes', async () => {
    const [backend] = backends as [BackendState]
    reachable = new Set(['b', 'c'])
    for (let milliseconds = 0; milliseconds < 3000; milliseconds += 150) {
      receive(backend)
      await jest.advanceTimersByTimeAsync(40)
      reach.noteRefused(backend)
      await jest.advanceTimersByTimeAsync(110)
    }
    expect(log.lines.filter(({ name }) => name === 'backendProbeFailed' || name === 'backendReached')).toEqual([])
    expect(probes).toEqual([])
  })

  test('reaches them again at the first answer to a probe', async () => {
    reachable = new Set()
    send(backends[0])
    await jest.advanceTimersByTimeAsync(5000)
    reachable = new Set(['b'])
    await jest.advanceTimersByTimeAsync(600)
    expect(backends.map(isLost)).toEqual([true, false, true])
    expect(events()).toEqual(['serviceCutOff', 'serviceReached'])
  })

  test('probes each of them at most three times a second while it is cut off', async () => {
    reachable = new Set()
    send(backends[0])
    await jest.advanceTimersByTimeAsync(2000)
    probes.length = 0
    await jest.advanceTimersByTimeAsync(10_000)
    expect(probes.length).toBeLessThanOrEqual(90)
    expect(probes.length).toBeGreaterThanOrEqual(60)
  })
})

describe('backend servers in an evacuated failure domain', () => {
  // Guards against probes of an evacuated domain, and against an instance that never probes the others again, as it does not seem cut off.
  test('are not probed and do not hide that all others are lost', async () => {
    evacuated = new Set(['c'])
    reachable = new Set()
    send(backends[0])
    await jest.advanceTimersByTimeAsync(2000)
    expect(new Set(probes)).toEqual(new Set(['a', 'b']))
    expect(events()).toEqual(['serviceCutOff'])
    reachable = new Set(['b'])
    await jest.advanceTimersByTimeAsync(600)
    expect(events()).toEqual(['serviceCutOff', 'serviceReached'])
  })
})

// Guards against a cold period in a health response that is lost, or that counts for a process that started meanwhile.
test('a response to a probe is passed on with the process that was listed when the probe was sent', async () => {
  const [backend] = backends as [BackendState]
  send(backend)
  await jest.advanceTimersByTimeAsync(510)
  expect(probes).toEqual(['a'])
  backend.entry = { ...backend.entry, startedAt: 9 }
  await jest.advanceTimersByTimeAsync(PROBE_DELAY_MS)
  expect(probeResponses).toEqual([['a', 'a/0', 'something']])
})

describe('a new connection that fails', () => {
  // Guards against requests that run once and are sent on connections that are refused, while kept ones live on.
  test('leaves only idle connections for a while, also when others bring bytes, and for longer the next time', async () => {
    const [backend] = backends as [BackendState]
    for (const milliseconds of [500, 1000, 2000]) {
      reach.noteUnreachable(backend)
      receive(backend)
      await jest.advanceTimersByTimeAsync(milliseconds - 1)
      expect([isReachable(backend, false, steadyNow()), isReachable(backend, true, steadyNow())]).toEqual([false, true])
      await jest.advanceTimersByTimeAsync(2)
      expect(isReachable(backend, false, steadyNow())).toBe(true)
    }
    reach.noteRefused(backend)
    reach.noteAccepted(backend)
    expect(isReachable(backend, false, steadyNow())).toBe(true)
  })

  test('leaves none when nothing is heard', () => {
    const [backend] = backends as [BackendState]
    reach.noteUnreachable(backend)
    expect(isReachable(backend, true, steadyNow())).toBe(false)
  })
})

describe('all backend servers that are lost together', () => {
  // Guards against requests that are refused while sound backend servers are silent for a second.
  test('may only be silent until sound ones would have gone on', async () => {
    reachable.clear()
    for (const backend of backends) reach.noteUnreachable(backend)
    await jest.advanceTimersByTimeAsync(1400)
    expect(areAllLostForGood(backends, steadyNow())).toBe(false)
    await jest.advanceTimersByTimeAsync(200)
    expect(areAllLostForGood(backends, steadyNow())).toBe(true)
    receive(backends[0] as BackendState)
    expect(areAllLostForGood(backends, steadyNow())).toBe(false)
  })
})

describe('a connection that ends with a request in progress', () => {
  /** Breaks connections one after the other, with a pause, and returns for each whether the own network explains it. */
  async function breakEach (indices: readonly number[], pauseMilliseconds: number): Promise<readonly boolean[]> {
    const verdicts: boolean[] = []
    for (const index of indices) {
      reach.judgeBreak(backends[index] as BackendState, (isOwnNetwork) => verdicts.push(isOwnNetwork))
      await jest.advanceTimersByTimeAsync(pauseMilliseconds)
    }
    await jest.advanceTimersByTimeAsync(100)
    return verdicts
  }

  beforeEach(async () => {
    for (const backend of backends) send(backend)
    await jest.advanceTimersByTimeAsync(10)
  })

  // Guards against prompt parts that are held back in the whole fleet because one instance's connections were reset together.
  test('is no evidence of a crash when all others that are in use end with it', async () => {
    expect(await breakEach([0, 0, 1, 2, 1], 1)).toEqual([true, true, true, true, true])
  })

  // Guards against a power loss of some backend servers that is put down to the few requests that are recorded.
  test('is evidence, with all that end beside it, when another one goes on', async () => {
    expect(await breakEach([0, 1, 0, 1], 1)).toEqual([false, false, false, false])
  })

  // Guards against a request that crashes one backend server after the other and is not recognized.
  test('is evidence when backend servers follow one another', async () => {
    expect(await breakEach([0, 1, 2], 100)).toEqual([false, false, false])
  })

  test('is evidence at once when no other one is in use', () => {
    for (const backend of backends.slice(1)) backend.pending.clear()
    const verdicts: boolean[] = []
    reach.judgeBreak(backends[0] as BackendState, (isOwnNetwork) => verdicts.push(isOwnNetwork))
    expect(verdicts).toEqual([false])
  })
})

describe('a sound backend server', () => {
  test('is not probed while it wants no requests', async () => {
    wantsRequests = false
    send(backends[0])
    await jest.advanceTimersByTimeAsync(5000)
    expect(probes).toEqual([])
  })

  // Guards against a silence of a second or so, or a slow request, that is taken for a partition.
  test('is not lost while it is silent and answers a probe, which it gets once', async () => {
    send(backends[0])
    await jest.advanceTimersByTimeAsync(5000)
    expect(probes).toEqual(['a'])
    expect(backends.some(isLost)).toBe(false)
  })

  test('is not probed while others of its service are heard', async () => {
    send(backends[0])
    for (let step = 0; step < 20; step++) {
      receive(backends[1])
      await jest.advanceTimersByTimeAsync(200)
    }
    expect(probes).toEqual([])
  })

  test('is not lost when bytes come while its probe fails', async () => {
    reachable = new Set()
    send(backends[0])
    await jest.advanceTimersByTimeAsync(550)
    expect(probes).toEqual(['a'])
    receive(backends[0])
    await jest.advanceTimersByTimeAsync(PROBE_DELAY_MS)
    expect(isLost(backends[0] as BackendState)).toBe(false)
  })

  test('is not taken for lost with a crashed one beside it', async () => {
    reachable = new Set(['b', 'c'])
    await jest.advanceTimersByTimeAsync(500)
    reach.noteUnreachable(backends[0] as BackendState)
    await jest.advanceTimersByTimeAsync(10_000)
    expect(probes).toEqual(['b', 'c'])
    expect(backends.map(isLost)).toEqual([true, false, false])
    expect(events()).toEqual([])
  })
})

// Guards against a paused process that takes its own pause for a silence of all backend servers.
test('a check that comes late lets bytes be read first', async () => {
  const running = performance.now.bind(performance)
  let pausedMilliseconds = 0
  const clock = jest.spyOn(performance, 'now').mockImplementation(() => running() + pausedMilliseconds)
  send(backends[0])
  await jest.advanceTimersByTimeAsync(150)
  pausedMilliseconds = 3000
  await jest.advanceTimersByTimeAsync(100)
  receive(backends[0])
  await jest.advanceTimersByTimeAsync(300)
  expect(probes).toEqual([])
  clock.mockRestore()
})

describe('one of many backend servers that is lost', () => {
  const NOW = 10_000

  function createMany (lastByteAt: number): BackendState[] {
    return Array.from({ length: 98 }, (_, index) => Object.assign(createTestBackend(`engine-${index}`), { lastByteAt }))
  }

  // Guards against a probe of each of a hundred engines by each of 75 instances whenever one engine is lost.
  test('leads to no probes of the others while any of them sends bytes', () => {
    const states = createMany(NOW - 5000)
    Object.assign(states[0] ?? {}, { lostSince: NOW - 1000 })
    Object.assign(states[1] ?? {}, { lastByteAt: NOW - 900 })
    expect(selectProbes(states, 'engine', NOW)).toEqual([])
  })

  // Guards against an instance that does not notice that it is cut off from all backend servers.
  test('leads to probes of all others once none of them has sent a byte since', () => {
    const states = createMany(NOW - 5000)
    Object.assign(states[0] ?? {}, { lostSince: NOW - 300 })
    expect(selectProbes(states, 'engine', NOW - 100)).toEqual([])
    expect(selectProbes(states, 'engine', NOW)).toHaveLength(97)
  })
})
