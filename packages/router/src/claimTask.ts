import { runDecision, startTask, type Decision } from '@quinceshunt/effects'
import { acquireClaim, claimKey, completeClaim, markClaimUnknown, withdrawClaim, type AcquireResult, type ClaimIdentity, type FinishedAnswer, type FinishResult, type StoreCommand } from '@quinceshunt/requests'
import { LRUCache } from 'lru-cache'
import { randomUUID } from 'node:crypto'
import { answeredOutcome, inProgressOutcome, notClaimedOutcome, toClaimOutcome, type UnclaimedOutcome } from './claimOutcomes.js'
import { createStoreRunner } from './storeRunner.js'
import type { ClaimHandle, ClaimOutcome, ClaimService } from './services.js'
import type { CreateClaimTask } from './taskContracts.js'

const MAX_ANSWER_CACHE_BYTES = 16 * 1024 * 1024
const MAX_ANSWER_CACHE_ENTRIES = 10_000
const CACHE_ENTRY_OVERHEAD_BYTES = 512

const MAX_SENT_KEYS = 100_000

type ClaimRequest = Parameters<ClaimService['claim']>[0]
type Reply = (outcome: ClaimOutcome) => void

/** A request with the same key that waits until the claim ends. */
interface Waiter {
  readonly request: ClaimRequest
  readonly reply: Reply
  /** Cancels the deadline timer when aborted. */
  readonly deadlineTimer: AbortController
}

/** `withdrawing`: the request will not be sent, but its claim row may still be `pending`. */
type Phase = 'acquiring' | 'held' | 'finishing' | 'withdrawing'

/** A claim that this instance is acquiring, holding or finishing. */
interface Entry {
  readonly claim: ClaimIdentity
  phase: Phase
  version: bigint
  waiters: Waiter[]
}

interface CachedAnswer {
  readonly bodyHash: string
  readonly answer: FinishedAnswer
}

type Message =
  | { readonly kind: 'claim', readonly request: ClaimRequest, readonly reply: Reply }
  | { readonly kind: 'acquired', readonly entry: Entry, readonly result: AcquireResult, readonly reply: Reply }
  | { readonly kind: 'expire', readonly entry: Entry, readonly waiter: Waiter }
  | { readonly kind: 'complete', readonly handle: ClaimHandle, readonly answer: FinishedAnswer, readonly onRecorded: () => void }
  | { readonly kind: 'withdraw', readonly handle: ClaimHandle }
  | { readonly kind: 'markUnknown', readonly handle: ClaimHandle }
  | { readonly kind: 'finished', readonly entry: Entry }

/** Starts the task that owns this instance's claims of non-idempotent requests. */
export const createClaimTask: CreateClaimTask = ({ identity, platform, clock, logger, metrics }) => {
  const entries = new Map<string, Entry>()
  const answers = new LRUCache<string, CachedAnswer>({
    max: MAX_ANSWER_CACHE_ENTRIES,
    maxSize: MAX_ANSWER_CACHE_BYTES,
    sizeCalculation: ({ answer }) => answer.body.length + CACHE_ENTRY_OVERHEAD_BYTES
  })
  /** Keys of requests that some instance may have sent; `run: "no"` is never reported for them while the table can't be read. */
  const sentKeys = new LRUCache<string, true>({ max: MAX_SENT_KEYS })
  const stopped = new AbortController()
  const background = new Set<Promise<unknown>>()
  const runStoreCommand = createStoreRunner(platform, clock, stopped.signal)

  function runInBackground<Result> (entry: Entry, decision: Decision<StoreCommand, Result>, onResult: (result: Result) => void): void {
    const work = runDecision(decision, runStoreCommand).then(onResult, (error: unknown) => {
      logger.error({ err: error, requestId: entry.claim.requestId, step: `claim ${entry.phase}` }, 'background work on a claim failed')
    }).finally(() => background.delete(work))
    background.add(work)
  }

  function claim (request: ClaimRequest, reply: Reply): void {
    const key = claimKey(request.clientAccount, request.idempotencyKey)
    const cached = answers.get(key)
    if (cached !== undefined) return reply(cached.bodyHash === request.bodyHash ? answeredOutcome(cached.answer) : { kind: 'keyReused' })
    const existing = entries.get(key)
    if (existing !== undefined) return addWaiter(existing, request, reply)
    const entry: Entry = {
      claim: { key, requestId: request.requestId, bodyHash: request.bodyHash, holder: identity.incarnation, nonce: randomUUID() },
      phase: 'acquiring',
      version: 0n,
      waiters: []
    }
    entries.set(key, entry)
    runInBackground(entry, acquireClaim(entry.claim, request.deadline), (result) => task.post({ kind: 'acquired', entry, result, reply }))
  }

  function addWaiter (entry: Entry, request: ClaimRequest, reply: Reply): void {
    if (entry.claim.bodyHash !== request.bodyHash) return reply({ kind: 'keyReused' })
    const waiter: Waiter = { request, reply, deadlineTimer: new AbortController() }
    entry.waiters.push(waiter)
    clock.waitUntil(request.deadline, waiter.deadlineTimer.signal).then(() => task.post({ kind: 'expire', entry, waiter }))
  }

  function handleAcquireResult (entry: Entry, result: AcquireResult, reply: Reply): void {
    const outcome = result.kind === 'notClaimed' ? unclaimedOutcome(entry.claim.key) : toClaimOutcome(result, entry.claim, clock.now())
    metrics.count('claims_total', { outcome: result.kind })
    if (result.kind === 'claimed') {
      entry.phase = 'held'
      entry.version = result.version
      sentKeys.set(entry.claim.key, true)
      return reply(outcome)
    }
    if (result.kind !== 'notClaimed' && result.kind !== 'keyReused') sentKeys.set(entry.claim.key, true)
    reply(outcome)
    if (result.kind === 'answered') answers.set(entry.claim.key, { bodyHash: entry.claim.bodyHash, answer: result.answer })
    if (result.kind === 'notClaimed' && result.withdrawAt !== undefined) return finish(entry, 'withdrawing', withdrawClaim(entry.claim, result.withdrawAt))
    entries.delete(entry.claim.key)
    // These two results depend on the deadline of this request; the waiters retry within their own deadlines.
    if (result.kind === 'inProgress' || (result.kind === 'notClaimed' && result.reason === 'deadline')) return retryWaiters(entry)
    answerWaiters(entry, outcome as UnclaimedOutcome)
  }

  function finish (entry: Entry, phase: Phase, decision: Decision<StoreCommand, FinishResult>, onRecorded = (): void => {}): void {
    entry.phase = phase
    runInBackground(entry, decision, (result) => {
      if (result === 'superseded') logger.warn({ requestId: entry.claim.requestId, step: `claim ${phase}` }, 'the claim row was changed by another writer')
      onRecorded()
      task.post({ kind: 'finished', entry })
    })
  }

  function complete (handle: ClaimHandle, answer: FinishedAnswer, onRecorded: () => void): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    answers.set(handle.key, { bodyHash: entry.claim.bodyHash, answer })
    answerWaiters(entry, answeredOutcome(answer))
    finish(entry, 'finishing', completeClaim(entry.claim, entry.version, answer), onRecorded)
  }

  function markUnknown (handle: ClaimHandle): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    answerWaiters(entry, toClaimOutcome({ kind: 'unknown' }, entry.claim, clock.now()) as UnclaimedOutcome)
    finish(entry, 'finishing', markClaimUnknown(entry.claim, entry.version))
  }

  function withdraw (handle: ClaimHandle): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    sentKeys.delete(handle.key)
    finish(entry, 'withdrawing', withdrawClaim(entry.claim, entry.version))
  }

  function unclaimedOutcome (key: string): UnclaimedOutcome {
    return sentKeys.has(key) ? inProgressOutcome(clock.now()) : notClaimedOutcome(clock.now())
  }

  /** A claim ends only once: a later call with the same handle is a caller error and has no effect. */
  function heldEntry (handle: ClaimHandle): Entry | undefined {
    const entry = entries.get(handle.key)
    if (entry?.claim.nonce === handle.nonce && entry.phase === 'held') return entry
    logger.error({ step: 'end claim' }, 'the claim is not held by this instance any more')
    return undefined
  }

  function answerWaiters (entry: Entry, outcome: UnclaimedOutcome): void {
    for (const waiter of entry.waiters.splice(0)) {
      waiter.deadlineTimer.abort()
      waiter.reply(outcome)
    }
  }

  /** The first waiter attempts the claim; the others wait for it. */
  function retryWaiters (entry: Entry): void {
    for (const { request, reply, deadlineTimer } of entry.waiters.splice(0)) {
      deadlineTimer.abort()
      claim(request, reply)
    }
  }

  function expire (entry: Entry, waiter: Waiter): void {
    if (!entry.waiters.includes(waiter)) return
    entry.waiters = entry.waiters.filter((other) => other !== waiter)
    waiter.reply(entry.phase === 'withdrawing' ? unclaimedOutcome(entry.claim.key) : inProgressOutcome(clock.now()))
  }

  const task = startTask<Message>({
    name: 'claimTask',
    onError: (error, { kind }) => logger.error({ err: error, step: `claim task ${kind}` }, 'the claim task failed'),
    handle: (message) => {
      switch (message.kind) {
        case 'claim': return claim(message.request, message.reply)
        case 'acquired': return handleAcquireResult(message.entry, message.result, message.reply)
        case 'expire': return expire(message.entry, message.waiter)
        case 'complete': return complete(message.handle, message.answer, message.onRecorded)
        case 'withdraw': return withdraw(message.handle)
        case 'markUnknown': return markUnknown(message.handle)
        case 'finished':
          entries.delete(message.entry.claim.key)
          return retryWaiters(message.entry)
      }
    }
  })

  return {
    mayHaveSent: (key) => sentKeys.has(key) || answers.has(key) || entries.has(key),
    claim: (request) => task.ask((reply) => ({ kind: 'claim', request, reply })),
    complete: async (handle, answer, deadline) => {
      const timer = new AbortController()
      const recorded = new Promise<'recorded'>((resolve) => task.post({ kind: 'complete', handle, answer, onRecorded: () => resolve('recorded') }))
      const timedOut = clock.waitUntil(deadline, timer.signal).then(() => 'deferred' as const)
      return await Promise.race([recorded, timedOut]).finally(() => timer.abort())
    },
    withdraw: (handle) => task.post({ kind: 'withdraw', handle }),
    markUnknown: (handle) => task.post({ kind: 'markUnknown', handle }),
    stop: async (deadline) => {
      const timer = new AbortController()
      const timedOut = clock.waitUntil(deadline, timer.signal).then(() => true)
      while (background.size > 0) {
        if (await Promise.race([timedOut, Promise.allSettled(background).then(() => false)])) break
      }
      timer.abort()
      const unfinished = background.size
      stopped.abort()
      return { unfinished }
    }
  }
}
