import { runDecision, startTask, type Decision } from '@quinceshunt/effects'
import { acquireClaim, claimKey, completeClaim, markClaimUnknown, withdrawClaim, type AcquireResult, type ClaimIdentity, type FinishedAnswer, type FinishResult, type StoreCommand } from '@quinceshunt/requests'
import { LRUCache } from 'lru-cache'
import { randomUUID } from 'node:crypto'
import { answeredOutcome, inProgress, notClaimed, outcomeOf, type RefusedClaim } from './claimOutcomes.js'
import { createStoreRunner } from './storeRunner.js'
import type { ClaimHandle, ClaimOutcome, ClaimService } from './services.js'
import type { CreateClaimTask } from './taskContracts.js'

/** Memory for completed answers, bytes. */
const ANSWER_CACHE_BYTES = 16 * 1024 * 1024
/** Answers kept at most, however small. */
const ANSWER_CACHE_ENTRIES = 10_000
/** Counted for each cached answer besides its body, bytes. */
const CACHE_ENTRY_OVERHEAD_BYTES = 512

/** Keys that are remembered as possibly sent, at most. */
const SENT_KEYS = 100_000

type ClaimRequest = Parameters<ClaimService['claim']>[0]
type Reply = (outcome: ClaimOutcome) => void

/** A request with the same key that waits for the claim's end. */
interface Waiter {
  readonly request: ClaimRequest
  readonly reply: Reply
  /** Ends the timer of its deadline. */
  readonly answered: AbortController
}

/** `withdrawing`: the request won't be sent, but its claim row may still read `pending`. */
type Phase = 'acquiring' | 'held' | 'finishing' | 'withdrawing'

/** A claim that this instance acquires, holds or finishes. */
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
  | { readonly kind: 'complete', readonly handle: ClaimHandle, readonly answer: FinishedAnswer, readonly recorded: () => void }
  | { readonly kind: 'withdraw', readonly handle: ClaimHandle }
  | { readonly kind: 'markUnknown', readonly handle: ClaimHandle }
  | { readonly kind: 'finished', readonly entry: Entry }

/** Starts the owner of this instance's claims of non-idempotent requests. */
export const createClaimTask: CreateClaimTask = ({ identity, platform, clock, logger, metrics }) => {
  const entries = new Map<string, Entry>()
  const answers = new LRUCache<string, CachedAnswer>({
    max: ANSWER_CACHE_ENTRIES,
    maxSize: ANSWER_CACHE_BYTES,
    sizeCalculation: ({ answer }) => answer.body.length + CACHE_ENTRY_OVERHEAD_BYTES
  })
  /** Keys that may have been sent, here or elsewhere: they are never told `run: "no"` while the table can't be read. */
  const sentKeys = new LRUCache<string, true>({ max: SENT_KEYS })
  const stopped = new AbortController()
  const background = new Set<Promise<unknown>>()
  const runStoreCommand = createStoreRunner(platform, clock, stopped.signal)

  function inBackground<Result> (entry: Entry, decision: Decision<StoreCommand, Result>, done: (result: Result) => void): void {
    const work = runDecision(decision, runStoreCommand).then(done, (error: unknown) => {
      logger.error({ err: error, requestId: entry.claim.requestId, step: `claim ${entry.phase}` }, 'work on a claim did not end')
    }).finally(() => background.delete(work))
    background.add(work)
  }

  function claim (request: ClaimRequest, reply: Reply): void {
    const key = claimKey(request.clientAccount, request.idempotencyKey)
    const cached = answers.get(key)
    if (cached !== undefined) return reply(cached.bodyHash === request.bodyHash ? answeredOutcome(cached.answer) : { kind: 'keyReused' })
    const running = entries.get(key)
    if (running !== undefined) return wait(running, request, reply)
    const entry: Entry = {
      claim: { key, requestId: request.requestId, bodyHash: request.bodyHash, holder: identity.incarnation, nonce: randomUUID() },
      phase: 'acquiring',
      version: 0n,
      waiters: []
    }
    entries.set(key, entry)
    inBackground(entry, acquireClaim(entry.claim, request.deadline), (result) => task.post({ kind: 'acquired', entry, result, reply }))
  }

  function wait (entry: Entry, request: ClaimRequest, reply: Reply): void {
    if (entry.claim.bodyHash !== request.bodyHash) return reply({ kind: 'keyReused' })
    const waiter: Waiter = { request, reply, answered: new AbortController() }
    entry.waiters.push(waiter)
    clock.waitUntil(request.deadline, waiter.answered.signal).then(() => task.post({ kind: 'expire', entry, waiter }))
  }

  function acquired (entry: Entry, result: AcquireResult, reply: Reply): void {
    const outcome = result.kind === 'notClaimed' ? notSent(entry.claim.key) : outcomeOf(result, entry.claim, clock.now())
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
    // A shorter deadline than the waiters' decided these two; the waiters try again within their own.
    if (result.kind === 'inProgress' || (result.kind === 'notClaimed' && result.reason === 'deadline')) return claimAgain(entry)
    answerWaiters(entry, outcome as RefusedClaim)
  }

  function finish (entry: Entry, phase: Phase, decision: Decision<StoreCommand, FinishResult>, recorded = (): void => {}): void {
    entry.phase = phase
    inBackground(entry, decision, (result) => {
      if (result === 'superseded') logger.warn({ requestId: entry.claim.requestId, step: `claim ${phase}` }, 'the claim row was changed by another writer')
      recorded()
      task.post({ kind: 'finished', entry })
    })
  }

  function complete (handle: ClaimHandle, answer: FinishedAnswer, recorded: () => void): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    answers.set(handle.key, { bodyHash: entry.claim.bodyHash, answer })
    answerWaiters(entry, answeredOutcome(answer))
    finish(entry, 'finishing', completeClaim(entry.claim, entry.version, answer), recorded)
  }

  function markUnknown (handle: ClaimHandle): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    answerWaiters(entry, outcomeOf({ kind: 'unknown' }, entry.claim, clock.now()) as RefusedClaim)
    finish(entry, 'finishing', markClaimUnknown(entry.claim, entry.version))
  }

  function withdraw (handle: ClaimHandle): void {
    const entry = heldEntry(handle)
    if (entry === undefined) return
    sentKeys.delete(handle.key)
    finish(entry, 'withdrawing', withdrawClaim(entry.claim, entry.version))
  }

  function notSent (key: string): RefusedClaim {
    return sentKeys.has(key) ? inProgress(clock.now()) : notClaimed(clock.now())
  }

  /** A claim ends once: a later call with the same handle is an error of the caller and changes nothing. */
  function heldEntry (handle: ClaimHandle): Entry | undefined {
    const entry = entries.get(handle.key)
    if (entry?.claim.nonce === handle.nonce && entry.phase === 'held') return entry
    logger.error({ step: 'end claim' }, 'the claim is not held by this instance any more')
    return undefined
  }

  function answerWaiters (entry: Entry, outcome: RefusedClaim): void {
    for (const waiter of entry.waiters.splice(0)) {
      waiter.answered.abort()
      waiter.reply(outcome)
    }
  }

  /** The first waiter becomes the one that claims; the others wait for it. */
  function claimAgain (entry: Entry): void {
    for (const { request, reply, answered } of entry.waiters.splice(0)) {
      answered.abort()
      claim(request, reply)
    }
  }

  function expire (entry: Entry, waiter: Waiter): void {
    if (!entry.waiters.includes(waiter)) return
    entry.waiters = entry.waiters.filter((other) => other !== waiter)
    waiter.reply(entry.phase === 'withdrawing' ? notSent(entry.claim.key) : inProgress(clock.now()))
  }

  const task = startTask<Message>({
    name: 'claimTask',
    onError: (error, { kind }) => logger.error({ err: error, step: `claim task ${kind}` }, 'the claim task failed'),
    handle: (message) => {
      switch (message.kind) {
        case 'claim': return claim(message.request, message.reply)
        case 'acquired': return acquired(message.entry, message.result, message.reply)
        case 'expire': return expire(message.entry, message.waiter)
        case 'complete': return complete(message.handle, message.answer, message.recorded)
        case 'withdraw': return withdraw(message.handle)
        case 'markUnknown': return markUnknown(message.handle)
        case 'finished':
          entries.delete(message.entry.claim.key)
          return claimAgain(message.entry)
      }
    }
  })

  return {
    mayHaveSent: (key) => sentKeys.has(key) || answers.has(key) || entries.has(key),
    claim: (request) => task.ask((reply) => ({ kind: 'claim', request, reply })),
    complete: async (handle, answer, deadline) => {
      const waited = new AbortController()
      const recorded = new Promise<'recorded'>((resolve) => task.post({ kind: 'complete', handle, answer, recorded: () => resolve('recorded') }))
      const late = clock.waitUntil(deadline, waited.signal).then(() => 'deferred' as const)
      return await Promise.race([recorded, late]).finally(() => waited.abort())
    },
    withdraw: (handle) => task.post({ kind: 'withdraw', handle }),
    markUnknown: (handle) => task.post({ kind: 'markUnknown', handle }),
    stop: async (deadline) => {
      const waited = new AbortController()
      const late = clock.waitUntil(deadline, waited.signal).then(() => true)
      while (background.size > 0) {
        if (await Promise.race([late, Promise.allSettled(background).then(() => false)])) break
      }
      waited.abort()
      const unfinished = background.size
      stopped.abort()
      return { unfinished }
    }
  }
}
