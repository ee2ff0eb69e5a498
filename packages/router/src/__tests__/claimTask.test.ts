import { describe, expect, test } from '@jest/globals'
import { create } from '@bufbuild/protobuf'
import { systemClock } from '@quinceshunt/effects'
import { createMemoryPlatform, type Platform } from '@quinceshunt/table-store'
import { PeerIdentitySchema } from '@quinceshunt/schemas'
import { createLogger, createMetrics, PlatformOutcomeUnknownError, PlatformUnavailableError } from '@quinceshunt/telemetry'
import { createClaimTask } from '../claimTask.js'
import type { ClaimHandle, ClaimOutcome, ClaimService } from '../services.js'

type StoreState = 'up' | 'down' | 'losesReplies'

/** Creates claim tasks that share a table with faults controlled by the test. */
function createFleet (): { start: (instance: string) => ClaimService, store: { state: StoreState } } {
  const memory = createMemoryPlatform()
  const store: { state: StoreState } = { state: 'up' }
  const check = (): void => { if (store.state === 'down') throw new PlatformUnavailableError('down') }
  const platform: Platform = {
    ...memory,
    table: {
      ...memory.table,
      read: async (keys) => { check(); return memory.memoryTable.read(keys) },
      transact: async (checks, writes) => {
        check()
        const outcome = memory.memoryTable.transact(checks, writes)
        if (store.state === 'losesReplies') throw new PlatformOutcomeUnknownError('reply lost')
        return outcome
      }
    }
  }
  const start = (instance: string): ClaimService => createClaimTask({
    identity: create(PeerIdentitySchema, { instanceId: instance, incarnation: `${instance}-1` }),
    platform,
    clock: systemClock,
    logger: createLogger({ name: 'test', instanceId: instance, level: 'silent' }),
    metrics: createMetrics()
  })
  return { start, store }
}

function request (timeoutMilliseconds: number, body = 'deposit 40'): Parameters<ClaimService['claim']>[0] {
  return { clientAccount: 'escuela', idempotencyKey: 'k', bodyHash: body, requestId: 'r', deadline: Date.now() + timeoutMilliseconds }
}

function handleOf (outcome: ClaimOutcome): ClaimHandle {
  if (outcome.kind !== 'claimed') throw new Error(`not claimed: ${outcome.kind}`)
  return outcome.handle
}

const answer = { status: 201, contentType: 'text/plain', body: Buffer.from('deposited') }

describe('createClaimTask', () => {
  // Guards against a second run on the same instance, and against an answer that only the first caller receives.
  test('a second request waits for the first and receives its answer, on the same and on another instance', async () => {
    const { start } = createFleet()
    const [here, elsewhere] = [start('one'), start('two')]
    const handle = handleOf(await here.claim(request(5000)))
    const waiting = [here.claim(request(5000)), elsewhere.claim(request(5000))]
    expect(await here.claim(request(5000, 'deposit 50'))).toEqual({ kind: 'keyReused' })
    expect(await here.complete(handle, answer, Date.now() + 1000)).toBe('recorded')
    for (const outcome of await Promise.all(waiting)) expect(outcome).toMatchObject({ kind: 'answered', answer: { status: 201, body: answer.body } })
    expect(await here.claim(request(5000))).toMatchObject({ kind: 'answered' })
  })

  // Guards against a wrong `run: "no"` for a request that is still running or whose outcome is unknown.
  test('an earlier request that may have run is never reported as not run, whether the store is up or down', async () => {
    const { start, store } = createFleet()
    const [here, elsewhere] = [start('one'), start('two')]
    const handle = handleOf(await here.claim(request(5000)))
    const unknown = { kind: 'refused', code: 'request_in_progress', run: 'unknown' }
    expect(await Promise.all([here.claim(request(50)), elsewhere.claim(request(150))])).toMatchObject([unknown, unknown])
    here.markUnknown(handle)
    expect(await here.claim(request(2000))).toMatchObject({ kind: 'unknown' })
    store.state = 'down'
    expect(await Promise.all([here.claim(request(50)), elsewhere.claim(request(50))])).toMatchObject([unknown, unknown])
  })

  // Guards against a dispatch without a durable claim.
  test('refuses claims while the store is down and grants them once it is up', async () => {
    const { start, store } = createFleet()
    const here = start('one')
    store.state = 'down'
    expect(await here.claim(request(100))).toMatchObject({ kind: 'refused', code: 'store_unavailable', run: 'no' })
    store.state = 'up'
    expect(await here.claim(request(1000))).toMatchObject({ kind: 'claimed' })
  })

  // Guards against a claim left pending, after which a request with the key could never run.
  test('a claim whose replies are lost until its deadline is withdrawn, so that a waiter and another instance can claim it', async () => {
    const { start, store } = createFleet()
    const [here, elsewhere] = [start('one'), start('two')]
    store.state = 'losesReplies'
    const first = here.claim(request(20))
    const second = here.claim(request(3000))
    expect(await first).toMatchObject({ kind: 'refused', run: 'no' })
    store.state = 'up'
    here.withdraw(handleOf(await second))
    expect(await elsewhere.claim(request(2000))).toMatchObject({ kind: 'claimed' })
  })

  // Guards against a stop that loses an answer which could still be recorded, or that never resolves.
  test('stop waits for unrecorded answers until its deadline', async () => {
    const { start, store } = createFleet()
    const [here, elsewhere] = [start('one'), start('two')]
    const handle = handleOf(await here.claim(request(1000)))
    store.state = 'down'
    expect(await here.complete(handle, answer, Date.now() + 30)).toBe('deferred')
    setTimeout(() => { store.state = 'up' }, 100)
    expect(await here.stop(Date.now() + 3000)).toEqual({ unfinished: 0 })
    expect(await elsewhere.claim(request(1000))).toMatchObject({ kind: 'answered' })
    const other = start('three')
    const held = handleOf(await other.claim({ ...request(1000), idempotencyKey: 'k2' }))
    store.state = 'down'
    await other.complete(held, answer, Date.now())
    expect(await other.stop(Date.now() + 50)).toEqual({ unfinished: 1 })
  })
})
