import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import fc from 'fast-check'
import { CALLER_TIMEOUT_MS, findVersion, homesOf, INSTANCES, startStreamFleet, type StreamFleet } from '../__fixtures__/streamFleet.js'
import { STREAM_LIFETIME_MS } from '../decisions/versionHistory.js'

/** Time after the caller's timeout for which a stream is remembered. */
const EXPIRY_MARGIN_MS = 5000
const STREAM_INTERVAL_MS = 100

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

describe('while backend servers of two versions are listed', () => {
  let fleet: StreamFleet

  beforeEach(async () => {
    fleet = startStreamFleet()
    fleet.list('old', 'v1')
    fleet.list('new', 'v2')
    await jest.advanceTimersByTimeAsync(1000)
  })

  test('every instance finds the version of a stream after the one that served it was killed', async () => {
    fleet.begin(0, 'stream', 'old')
    await jest.advanceTimersByTimeAsync(10)
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v1')
  })

  // Guards against homes that forget a stream when all are restarted one after the other, as in a rollout of this program.
  test('homes that were restarted are told again', async () => {
    fleet.begin(0, 'stream', 'new')
    await jest.advanceTimersByTimeAsync(10)
    for (const home of homesOf(fleet, 'stream').filter((index) => index !== 0)) {
      fleet.kill(home)
      await jest.advanceTimersByTimeAsync(500)
      fleet.restart(home)
      await jest.advanceTimersByTimeAsync(500)
    }
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v2')
  })

  test('a stream of which no process is left that knew it has an unknown version', async () => {
    fleet.begin(0, 'stream', 'old')
    await jest.advanceTimersByTimeAsync(10)
    for (let index = 0; index < INSTANCES; index++) fleet.kill(index)
    for (let index = 0; index < INSTANCES; index++) fleet.restart(index)
    for (let index = 0; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBeUndefined()
    expect(await findVersion(fleet, 1, '')).toBeUndefined()
  })

  test('a stream that began right before its backend server was listed at another version is doubtful everywhere', async () => {
    fleet.begin(0, 'late', 'old')
    await jest.advanceTimersByTimeAsync(1000)
    fleet.list('old', 'v3')
    await jest.advanceTimersByTimeAsync(10)
    fleet.begin(0, 'later', 'old')
    await jest.advanceTimersByTimeAsync(10)
    for (let index = 0; index < INSTANCES; index++) {
      expect(await findVersion(fleet, index, 'late')).toBeUndefined()
      expect(await findVersion(fleet, index, 'later')).toBe('v3')
    }
  })

  test('a stream is forgotten some time after its caller has given up', async () => {
    fleet.begin(0, 'stream', 'old')
    await jest.advanceTimersByTimeAsync(CALLER_TIMEOUT_MS)
    expect(await findVersion(fleet, 1, 'stream')).toBe('v1')
    await jest.advanceTimersByTimeAsync(STREAM_LIFETIME_MS)
    fleet.remove('new')
    expect(await findVersion(fleet, 0, 'stream')).toBeUndefined()
  })
})

describe('while all backend servers have one version', () => {
  test('no message is sent, and streams go on there although all processes were killed', async () => {
    let messages = 0
    const fleet = startStreamFleet(() => {
      messages++
      return { kind: 'none' }
    })
    fleet.list('a', 'v1')
    fleet.list('b', 'v1')
    fleet.begin(0, 'stream', 'a')
    await jest.advanceTimersByTimeAsync(1000)
    expect(messages).toBe(0)
    for (let index = 0; index < INSTANCES; index++) fleet.kill(index)
    for (let index = 0; index < INSTANCES; index++) fleet.restart(index)
    expect(await findVersion(fleet, 1, 'stream')).toBe('v1')
  })

  // Guards against a memory that grows with each stream for days, as homes are told of none.
  test('an instance remembers no more streams than callers may still take up', async () => {
    const fleet = startStreamFleet()
    fleet.list('a', 'v1')
    const lifetime = CALLER_TIMEOUT_MS + EXPIRY_MARGIN_MS
    let largest = 0
    for (let index = 0; index < 3000; index++) {
      fleet.begin(0, `stream${index}`, 'a')
      largest = Math.max(largest, fleet.instances[0]?.streams.size ?? 0)
      jest.advanceTimersByTime(STREAM_INTERVAL_MS)
    }
    expect(largest).toBeLessThanOrEqual(lifetime / STREAM_INTERVAL_MS + 1)
    const recent = Array.from({ length: CALLER_TIMEOUT_MS / STREAM_INTERVAL_MS }, (_, index) => `stream${2999 - index}`)
    expect(recent.filter((attemptId) => fleet.instances[0]?.streams.originOf(attemptId) === undefined)).toEqual([])
  })

  // Guards against many streams at once that stay for good because fewer follow them.
  test('an instance forgets a burst of streams with the streams that come after it', async () => {
    const fleet = startStreamFleet()
    fleet.list('a', 'v1')
    for (let index = 0; index < 1000; index++) fleet.begin(0, `burst${index}`, 'a')
    await jest.advanceTimersByTimeAsync(STREAM_LIFETIME_MS)
    for (let index = 0; index < 600; index++) fleet.begin(0, `stream${index}`, 'a')
    expect(fleet.instances[0]?.streams.size).toBe(600)
  })

  // Guards against streams from before a release whose instance is killed after it.
  test('streams that run are told to their homes once a second version is listed', async () => {
    const fleet = startStreamFleet()
    fleet.list('old', 'v1')
    fleet.begin(0, 'stream', 'old')
    await jest.advanceTimersByTimeAsync(1000)
    fleet.list('new', 'v2')
    await jest.advanceTimersByTimeAsync(10)
    fleet.kill(0)
    for (let index = 1; index < INSTANCES; index++) expect(await findVersion(fleet, index, 'stream')).toBe('v1')
  })

  // Guards against an instance that does not know of a release and takes its only version for that of all streams.
  test('an instance that is cut off from the store is told by the homes that versions differ', async () => {
    const fleet = startStreamFleet()
    fleet.list('old', 'v1')
    fleet.cutOffFromStore.add(5)
    fleet.list('new', 'v2')
    await jest.advanceTimersByTimeAsync(1000)
    expect(await findVersion(fleet, 5, 'a stream that nobody knows')).toBeUndefined()
  })

  // Guards against processes that start when only the new version is left, and take it for that of all streams.
  test('processes that start right after a release know that streams may have begun at the version before', async () => {
    const fleet = startStreamFleet()
    fleet.list('old', 'v1')
    fleet.begin(0, 'stream', 'old')
    fleet.list('new', 'v2')
    await jest.advanceTimersByTimeAsync(1000)
    fleet.remove('old')
    await jest.advanceTimersByTimeAsync(1000)
    for (let index = 0; index < INSTANCES; index++) fleet.kill(index)
    for (let index = 0; index < INSTANCES; index++) fleet.restart(index)
    expect(await findVersion(fleet, 1, 'stream')).toBeUndefined()
    await jest.advanceTimersByTimeAsync(STREAM_LIFETIME_MS)
    expect(await findVersion(fleet, 1, 'another stream')).toBe('v2')
  })
})

describe('under kills, restarts, releases and lost messages in any order', () => {
  type Step =
    | { readonly kind: 'begin', readonly instance: number, readonly backend: number }
    | { readonly kind: 'find', readonly instance: number, readonly stream: number }
    | { readonly kind: 'list', readonly backend: number, readonly version: string }
    | { readonly kind: 'remove', readonly backend: number }
    | { readonly kind: 'kill', readonly instance: number }
    | { readonly kind: 'restart', readonly instance: number }
    | { readonly kind: 'restartAll' }
    | { readonly kind: 'wait', readonly milliseconds: number }

  const instance = fc.nat(INSTANCES - 1)
  const backend = fc.nat(3)
  const step: fc.Arbitrary<Step> = fc.oneof(
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('begin' as const), instance, backend }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('find' as const), instance, stream: fc.nat(20) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('list' as const), backend, version: fc.constantFrom('v1', 'v2', 'v3') }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('remove' as const), backend }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('kill' as const), instance }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), instance }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartAll' as const) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.nat(5000) }) }
  )

  /** Plays the steps and returns the streams for which an instance found another version than theirs. */
  async function play (steps: readonly Step[], lostMessages: readonly boolean[]): Promise<readonly string[]> {
    let messages = 0
    const fleet = startStreamFleet(() => lostMessages[messages++ % lostMessages.length] === true ? { kind: 'requestLost' } : { kind: 'none' })
    const versions = new Map<number, string>([[0, 'v1'], [1, 'v1']])
    for (const [id, version] of versions) fleet.list(`backend${id}`, version)
    const streams: string[] = []
    const wrong: string[] = []
    for (const current of steps) {
      switch (current.kind) {
        case 'begin': {
          const version = versions.get(current.backend)
          if (version === undefined || fleet.instances[current.instance]?.isRunning !== true) break
          fleet.begin(current.instance, `stream${streams.length}`, `backend${current.backend}`)
          streams.push(version)
          break
        }
        case 'find': {
          const expected = streams[current.stream]
          if (expected === undefined || fleet.instances[current.instance]?.isRunning !== true) break
          const found = await findVersion(fleet, current.instance, `stream${current.stream}`)
          if (found !== undefined && found !== expected) wrong.push(`stream${current.stream} of ${expected}: ${found}`)
          break
        }
        case 'list':
          versions.set(current.backend, current.version)
          fleet.list(`backend${current.backend}`, current.version)
          break
        case 'remove':
          versions.delete(current.backend)
          fleet.remove(`backend${current.backend}`)
          break
        case 'kill':
          if (fleet.instances[current.instance]?.isRunning === true) fleet.kill(current.instance)
          break
        case 'restart':
          if (fleet.instances[current.instance]?.isRunning === false) fleet.restart(current.instance)
          break
        case 'restartAll':
          fleet.instances.forEach((_, index) => fleet.kill(index))
          fleet.instances.forEach((_, index) => fleet.restart(index))
          break
        case 'wait':
          await jest.advanceTimersByTimeAsync(current.milliseconds)
      }
    }
    return wrong
  }

  test('no instance takes a stream for one of another version', async () => {
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), fc.array(fc.boolean(), { minLength: 1, maxLength: 8 }), async (steps, lostMessages) => {
      expect(await play(steps, lostMessages)).toEqual([])
    }), { numRuns: 300, seed: 310 })
  }, 60_000)
})
