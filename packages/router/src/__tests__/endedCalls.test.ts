import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { attemptCallInSlot } from '../__fixtures__/attempts.js'
import { buildAcquire, buildConfiguration, buildRoutingSettings, buildServers, buildTaskContext } from '../__fixtures__/backendFleet.js'
import { startForwarder, type ForwarderOptions } from '../__fixtures__/forwarder.js'
import { SERVICE_BODY, startServiceProcess, startServiceSuccessor, WHOLE_PATH, type ServiceProcess } from '../__fixtures__/serviceProcesses.js'
import type { AttemptResult } from '../requestPath.js'
import { createBackendTask } from '../backendTask.js'
import type { ServiceResponse } from '../serviceAttempt.js'
import type { BackendService, Slot } from '../services.js'

const CALLS = 8
/** Longer than the router waits for the end of a connection that was accepted in place of the backend server. */
const CONNECT_DELAY_MS = 60
/** Longer than the judgement of an answer takes. */
const IDLE_END_DELAY_MS = 1000
const POLL_MS = 50

const cleanups: (() => Promise<unknown>)[] = []
let service: ServiceProcess

beforeEach(async () => {
  service = await startServiceProcess()
  cleanups.push(service.kill)
})
afterEach(async () => {
  for (const cleanUp of cleanups.splice(0).reverse()) await cleanUp()
})

interface Router {
  readonly backends: BackendService
  readonly slot: Slot
}

/** Starts the backend task of a router, with a slot at a service that has reported its load. */
async function startRouterAt (address: string): Promise<Router> {
  const task = createBackendTask(buildTaskContext('router'), buildRoutingSettings({ loadPollMilliseconds: POLL_MS }), buildConfiguration(buildServers([address], { slots: 64 })))
  cleanups.push(task.stop)
  for (;;) {
    const outcome = await task.acquire(buildAcquire())
    if (outcome.kind !== 'slot') throw new Error(`no slot: ${outcome.message}`)
    if (outcome.slot.incarnation !== '') return { backends: task, slot: outcome.slot }
    outcome.slot.release('succeeded')
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}

async function startForwarderTo (target: string, options: ForwarderOptions): Promise<string> {
  const forwarder = await startForwarder(target, options)
  cleanups.push(forwarder.close)
  return forwarder.address
}

async function call ({ backends, slot }: Router, idempotent: boolean): Promise<readonly AttemptResult<ServiceResponse>[]> {
  return await Promise.all(Array.from({ length: CALLS }, async () => await attemptCallInSlot(backends, slot, { idempotent })))
}

/** What callers get. */
function describeResults (results: readonly AttemptResult<ServiceResponse>[]): readonly string[] {
  return results.map((result) => result.kind === 'answered' ? `${result.answer.status} ${result.answer.body.toString()}` : result.kind)
}

const FAILED = Array.from({ length: CALLS }, () => 'failed')
const WHOLE = Array.from({ length: CALLS }, () => `200 ${SERVICE_BODY}`)

describe.each([['idempotent', true], ['that run at most once', false]])('calls %s whose bodies end with their connections', (_, idempotent) => {
  // Guards against a forwarder that accepts connections for a service which was killed, and is taken for it.
  test('fail when their service is killed behind a forwarder', async () => {
    const router = await startRouterAt(await startForwarderTo(service.address, { connectDelayMilliseconds: CONNECT_DELAY_MS }))
    const calls = call(router, idempotent)
    await service.waitForHalfResponses(CALLS)
    await service.kill()
    expect(describeResults(await calls)).toEqual(FAILED)
  })

  // Guards against the successor of a killed process that is taken for it.
  test('fail when another process listens as soon as their service is killed', async () => {
    const router = await startRouterAt(service.address)
    const successor = await startServiceSuccessor(service)
    cleanups.push(successor.kill)
    const calls = call(router, idempotent)
    await service.waitForHalfResponses(CALLS)
    await service.kill()
    await successor.waitUntilListening()
    expect(describeResults(await calls)).toEqual(FAILED)
  })

  // Guards against sound answers that fail because a forwarder is slow.
  test('are answered when their service ends them behind a forwarder', async () => {
    const router = await startRouterAt(await startForwarderTo(service.address, { connectDelayMilliseconds: CONNECT_DELAY_MS }))
    const calls = call(router, idempotent)
    await service.waitForHalfResponses(CALLS)
    service.finishResponses()
    expect(describeResults(await calls)).toEqual(WHOLE)
  })
})

describe('calls whose bodies end with their connections', () => {
  // Guards against a kept connection that a forwarder ends later than its process has ended.
  test('fail when their service is killed and an idle connection stays open', async () => {
    const router = await startRouterAt(await startForwarderTo(service.address, { idleEndDelayMilliseconds: IDLE_END_DELAY_MS }))
    expect(await attemptCallInSlot(router.backends, router.slot, { idempotent: true, path: WHOLE_PATH })).toHaveProperty('kind', 'answered')
    const calls = call(router, false)
    await service.waitForHalfResponses(CALLS)
    await service.kill()
    expect(describeResults(await calls)).toEqual(FAILED)
  })
})
