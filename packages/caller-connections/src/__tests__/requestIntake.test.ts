import { describe, expect, test } from '@jest/globals'
import type { CallerPresence } from '../callerPresence.js'
import { createRequestIntake, type RequestIntake } from '../requestIntake.js'

/** In a queue that stands. */
const LIMIT_MS = 500
const BURST_LIMIT_MS = 1500
/** A queue that is not empty stands after this time. */
const STANDING_MS = 2000

/** A caller that can leave. */
interface FakeCaller extends CallerPresence {
  leave (): void
}

function createCaller (): FakeCaller {
  const listeners = new Set<() => void>()
  let leftAt: number | undefined
  return {
    get leftAt () { return leftAt },
    onLeft: (listener) => {
      listeners.add(listener)
      return () => { listeners.delete(listener) }
    },
    leave: () => {
      leftAt = 1
      for (const listener of [...listeners]) listener()
    }
  }
}

async function endPass (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

async function endPasses (count: number): Promise<void> {
  for (let index = 0; index < count; index++) await endPass()
}

/** Records the turns of requests in the order in which they end. */
function enterAll (intake: RequestIntake, callers: readonly FakeCaller[], enteredAt = 0): string[] {
  const ended: string[] = []
  callers.forEach((caller, index) => {
    intake.waitForTurn({ caller, holder: 'school', expiresAt: enteredAt + BURST_LIMIT_MS, shedAt: enteredAt + LIMIT_MS }).then(({ kind }) => ended.push(`${index} ${kind}`), () => {})
  })
  return ended
}

describe('turns of received requests', () => {
  test('one request is started in a pass of the event loop, in the order of arrival', async () => {
    const intake = createRequestIntake({ now: () => 0, processorTime: () => 0 })
    const ended = enterAll(intake, [createCaller(), createCaller(), createCaller()])
    await endPasses(3)
    const before = ended.length
    await endPass()
    expect(ended.length).toBe(before + 1)
    await endPasses(3)
    expect(ended).toEqual(['0 started', '1 started', '2 started'])
    expect(intake.waiting).toBe(0)
  })

  // Guards against work for callers whose close arrived right behind their request.
  test('a request whose caller leaves before its turn is not started', async () => {
    const intake = createRequestIntake({ now: () => 0, processorTime: () => 0 })
    const callers = [createCaller(), createCaller()]
    const ended = enterAll(intake, callers)
    await endPass()
    callers[0]?.leave()
    await endPasses(5)
    expect(ended).toEqual(['0 callerLeft', '1 started'])
  })

  // Guards against requests that get almost none of the processor beside events that take long.
  test('a pass that takes long starts several requests', async () => {
    let busy = 0
    const intake = createRequestIntake({ now: () => 0, processorTime: () => busy })
    const ended = enterAll(intake, Array.from({ length: 10 }, createCaller))
    while (ended.length === 0) await endPass()
    const before = ended.length
    busy += 17
    await endPass()
    expect(ended.length - before).toBe(5)
  })

  test('requests that have waited for too long are refused, but for the one that can be started', async () => {
    let now = 0
    const busy = 0
    const intake = createRequestIntake({ now: () => now, processorTime: () => busy })
    enterAll(intake, Array.from({ length: 60 }, createCaller), STANDING_MS)
    await endPasses(3)
    now = STANDING_MS
    const ended = enterAll(intake, Array.from({ length: 60 }, createCaller), now)
    while (ended.length === 0) await endPass()
    now += LIMIT_MS
    await endPasses(2)
    expect(ended.slice(0, 2)).toEqual(['0 started', '1 started'])
    expect(ended.slice(-2)).toEqual(['58 tooLate', '59 tooLate'])
  })

  // Guards against refusals of a burst that is served in time.
  test('requests of a queue that does not stand are refused later', async () => {
    let now = 0
    const intake = createRequestIntake({ now: () => now, processorTime: () => 0 })
    enterAll(intake, [createCaller(), createCaller()])
    await endPasses(10)
    // The queue was empty since, so that it doesn't stand at the limit of the burst.
    now = STANDING_MS
    const ended = enterAll(intake, Array.from({ length: 60 }, createCaller), now)
    while (ended.length === 0) await endPass()
    now = STANDING_MS + BURST_LIMIT_MS - 1
    await endPasses(2)
    expect(ended.filter((outcome) => outcome.endsWith('tooLate'))).toEqual([])
    now = STANDING_MS + BURST_LIMIT_MS
    await endPass()
    expect(ended.at(-1)).toBe('59 tooLate')
  })

  // Guards against refusals of sound requests, all at once, after a pause of the process.
  test('after a pause of the process, requests that came in it are read before they are refused', async () => {
    let now = 0
    const busy = 0
    const intake = createRequestIntake({ now: () => now, processorTime: () => busy })
    const callers = [createCaller()]
    const ended = enterAll(intake, callers)
    now = 10 * LIMIT_MS
    setImmediate(() => callers[0]?.leave())
    await endPasses(4)
    expect(ended).toEqual(['0 callerLeft'])
  })

  // Guards against a burst of one client account or route in which requests of the others wait until they are refused.
  test('holders take turns', async () => {
    const intake = createRequestIntake({ now: () => 0, processorTime: () => 0 })
    const started: string[] = []
    const enter = (holder: string): void => {
      intake.waitForTurn({ caller: createCaller(), holder, expiresAt: BURST_LIMIT_MS, shedAt: LIMIT_MS }).then(() => started.push(holder), () => {})
    }
    for (let index = 0; index < 20; index++) enter('busy')
    for (let index = 0; index < 3; index++) enter('other')
    await endPasses(10)
    expect(started.slice(0, 6)).toEqual(['busy', 'other', 'busy', 'other', 'busy', 'other'])
  })

  // Guards against callers in the listener's queue who leave while requests on open connections are started.
  test('passes that accept connections come first, but not for ever', async () => {
    const intake = createRequestIntake({ now: () => 0, processorTime: () => 0 })
    const ended = enterAll(intake, [createCaller(), createCaller()])
    const startedIn: number[] = []
    for (let pass = 1; pass <= 15; pass++) {
      intake.noteConnection()
      const before = ended.length
      await endPass()
      if (ended.length > before) startedIn.push(pass)
    }
    expect(ended).toEqual(['0 started', '1 started'])
    expect((startedIn[1] ?? 0) - (startedIn[0] ?? 0)).toBe(5)
  })

  // Guards against requests that are refused, or wait for seconds, while long passes accept one connection each.
  test('a pass that takes long starts requests although it accepted a connection', async () => {
    let now = 0
    const intake = createRequestIntake({ now: () => now, processorTime: () => now })
    const ended = enterAll(intake, Array.from({ length: 5 }, createCaller))
    for (let pass = 0; pass < 3; pass++) {
      intake.noteConnection()
      now += 1000
      await endPass()
    }
    expect(ended).toEqual(Array.from({ length: 5 }, (_, index) => `${index} started`))
  })
})
