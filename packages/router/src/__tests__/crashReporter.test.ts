import { describe, expect, test } from '@jest/globals'
import type { Clock } from '@quinceshunt/effects'
import { createCrashReporter } from '../crashReporter.js'
import { createInFlightRegistry } from '../inFlight.js'
import type { BackendService, QuarantineService } from '../services.js'

const SERVER = 'engine-1'

function createFixture (crashed: () => boolean) {
  const recorded: (readonly string[])[] = []
  const time = { now: 1000 }
  const inFlight = createInFlightRegistry()
  const backends = { confirmCrash: async () => crashed() } as unknown as BackendService
  const quarantine = { recordCrash: async (_server: string, fingerprints: readonly string[]) => { recorded.push(fingerprints) } } as unknown as QuarantineService
  const clock = { now: () => time.now } as unknown as Clock
  return { recorded, time, inFlight, reporter: createCrashReporter(backends, quarantine, inFlight, clock) }
}

describe('createCrashReporter', () => {
  // Guards against counting a crash once for each affected request.
  test('records a crash once, with all requests in flight', async () => {
    const { recorded, inFlight, reporter } = createFixture(() => true)
    for (const fingerprint of ['a', 'b', 'a']) inFlight.add(SERVER, fingerprint)
    expect(await Promise.all([reporter.checkForCrash(SERVER, 900), reporter.checkForCrash(SERVER, 950)])).toEqual([true, true])
    expect(recorded).toEqual([['a', 'b']])
  })

  // Guards against not counting a poison request that crashes a backend server again shortly after its restart.
  test('records a second crash of the same backend server shortly after the first', async () => {
    const { recorded, time, inFlight, reporter } = createFixture(() => true)
    inFlight.add(SERVER, 'a')()
    await reporter.checkForCrash(SERVER, 900)
    time.now += 500
    inFlight.add(SERVER, 'b')
    await reporter.checkForCrash(SERVER, 1200)
    expect(recorded).toEqual([[], ['b']])
  })

  test('records nothing for a broken connection to a live backend server', async () => {
    const { recorded, inFlight, reporter } = createFixture(() => false)
    inFlight.add(SERVER, 'a')
    expect(await reporter.checkForCrash(SERVER, 900)).toBe(false)
    expect(recorded).toEqual([])
  })
})
