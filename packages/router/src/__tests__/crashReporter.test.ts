import { describe, expect, test } from '@jest/globals'
import type { Clock } from '@quinceshunt/effects'
import { createCrashReporter } from '../crashReporter.js'
import { createInFlightRegistry } from '../inFlight.js'
import type { PendingPrompt, PromptPartGuard } from '../promptParts.js'
import type { BackendService, QuarantineService } from '../services.js'

const SERVER = 'engine-1'

function createFixture (crashed: () => boolean) {
  const recorded: (readonly string[])[] = []
  const unanswered: PendingPrompt[] = []
  const time = { now: 1000 }
  const inFlight = createInFlightRegistry()
  const backends = { confirmCrash: async () => crashed() } as unknown as BackendService
  const quarantine = { recordCrash: async (_server: string, fingerprints: readonly string[]) => { recorded.push(fingerprints) } } as unknown as QuarantineService
  const clock = { now: () => time.now } as unknown as Clock
  const promptParts = { recordCrash: (_server: string, prompts: readonly PendingPrompt[]) => { unanswered.push(...prompts) } } as unknown as PromptPartGuard
  return { recorded, unanswered, time, inFlight, reporter: createCrashReporter({ backends, quarantine, promptParts, inFlight, clock }) }
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
    inFlight.add(SERVER, 'a').remove()
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

  // Guards against suspecting the parts of prompts that the backend server was answering when it crashed.
  test('reports only the prompts that were not answered', async () => {
    const { unanswered, inFlight, reporter } = createFixture(() => true)
    inFlight.add(SERVER, 'a', { parts: ['answered'], sentAt: 800 }).markAnswered()
    inFlight.add(SERVER, 'b', { parts: ['waiting'], sentAt: 850 })
    await reporter.checkForCrash(SERVER, 900)
    expect(unanswered).toEqual([{ parts: ['waiting'], sentAt: 850 }])
  })
})
