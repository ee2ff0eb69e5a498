import type { PromptSize } from '../ports.js'
import { excessDelay, failureWeight, pendingPrefillTokens, silenceMilliseconds, type BackendState } from './backendState.js'

/**
 * Chooses the backend server of a request.
 *
 * Load pattern: long prompts that share large parts, beside short interactive ones, from many instances that do not
 * talk to each other. Each shared part has a home that all instances agree on (rendezvous hashing), so that it is read
 * once; a home that is busy, failing or silent loses the request to the next one in the same order, as its cost grows.
 */

/** Prompt tokens that an engine reads in a millisecond, from the deployments' published figures. */
export const PREFILL_TOKENS_PER_MILLISECOND = 90
/** Weight of a prompt token read again, beyond the time that it takes, since it delays everyone on that engine. */
const PREFILL_WEIGHT = 8
/** Share of a part's tokens that its home is expected to read, as it may not have seen the part yet. */
const AFFINITY_MISS_SHARE = 0.15
/** Cost of one running request of an engine, milliseconds: every step slows with the batch. */
const ENGINE_RUNNING_COST_MS = 2
/** Cost of one request waiting at an engine, milliseconds: about the prefill of a mean prompt. */
const ENGINE_WAITING_COST_MS = 40
/** Time that a plain service takes for a request, milliseconds; only its ratio to other costs matters. */
const PLAIN_SERVICE_TIME_MS = 80
/** Cost of another failure domain, milliseconds: about a round trip, and the bytes are priced. */
const OTHER_FAILURE_DOMAIN_COST_MS = 4
/** Cost of one recent failure, milliseconds, when the request can be repeated and when not. */
const FAILURE_COST_MS = { retryable: 300, once: 900 } as const
/** Silence that is normal before a first answer, milliseconds. */
const EXPECTED_SILENCE_MS = { engine: 400, plain: 300 } as const
/** Cost of a backend server that is avoided, milliseconds: it is used only when all others are worse. */
const AVOIDED_COST_MS = 10_000
/** Cost of a backend server that is still slow after its start, milliseconds. */
const WARM_UP_COST_MS = 100
/** Age at which a reported load no longer counts, milliseconds. */
const MAX_REPORTED_LOAD_AGE_MS = 2000

/** What a choice depends on. */
export interface ChoiceRequest {
  readonly prompt: PromptSize | undefined
  readonly isRetryable: boolean
  readonly failureDomain: string
}

/** A chosen backend server. */
export interface Choice {
  readonly state: BackendState
  /** Prompt tokens that it is expected to read. */
  readonly prefillTokens: number
  readonly cost: number
}

/** Stable hash of two texts (FNV-1a with a final mix), for rendezvous hashing. */
export function hashPair (left: string, right: string): number {
  let hash = 0x811c9dc5
  for (const text of [left, '|', right]) {
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** The part by which a prompt has its home: the last one that other requests share. */
function affinityPart (prompt: PromptSize): string | undefined {
  return (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id
}

/** Chooses the cheapest of the candidates; undefined when there is none. `tieBreak` is from 0 up to 1. */
export function chooseBackend (candidates: readonly BackendState[], request: ChoiceRequest, now: number, tieBreak: number): Choice | undefined {
  const affinityKey = request.prompt === undefined ? undefined : affinityPart(request.prompt)
  const affinityBackend = affinityKey === undefined ? undefined : findAffinityBackend(candidates, affinityKey, now)
  const start = Math.floor(tieBreak * candidates.length)
  let best: Choice | undefined
  for (let index = 0; index < candidates.length; index++) {
    const state = candidates[(start + index) % candidates.length]
    if (state === undefined) continue
    const prefillTokens = request.prompt === undefined ? 0 : expectedPrefill(state, request.prompt, state === affinityBackend, now)
    const cost = estimateCost(state, request, prefillTokens, now)
    if (best === undefined || cost < best.cost) best = { state, prefillTokens, cost }
  }
  return best
}

function findAffinityBackend (candidates: readonly BackendState[], affinityKey: string, now: number): BackendState | undefined {
  let affinityBackend: BackendState | undefined
  let highest = -1
  for (const state of candidates) {
    if (state.avoidedUntil > now) continue
    const weight = hashPair(affinityKey, state.entry.id)
    if (weight <= highest) continue
    affinityBackend = state
    highest = weight
  }
  return affinityBackend
}

/** Tokens of the prompt that the backend server is expected to read. */
export function expectedPrefill (state: BackendState, prompt: PromptSize, hasAffinity: boolean, now: number): number {
  let tokens = 0
  let isPrefixCached = true
  prompt.parts.forEach((part, index) => {
    const isUnshared = index === prompt.parts.length - 1 && prompt.parts.length > 1
    isPrefixCached &&= (state.cachedParts.get(part.id) ?? 0) > now
    if (isPrefixCached) return
    tokens += hasAffinity && !isUnshared ? part.tokens * AFFINITY_MISS_SHARE : part.tokens
  })
  return tokens
}

function estimateCost (state: BackendState, request: ChoiceRequest, prefillTokens: number, now: number): number {
  const isEngine = request.prompt !== undefined
  const load = isEngine
    ? engineLoadCost(state, now) + prefillTokens * PREFILL_WEIGHT / PREFILL_TOKENS_PER_MILLISECOND
    : plainLoadCost(state, now)
  const excessSilence = Math.max(0, silenceMilliseconds(state, now) - (isEngine ? EXPECTED_SILENCE_MS.engine : EXPECTED_SILENCE_MS.plain))
  return load +
    (state.entry.failureDomain === request.failureDomain ? 0 : OTHER_FAILURE_DOMAIN_COST_MS) +
    failureWeight(state, now) * (request.isRetryable ? FAILURE_COST_MS.retryable : FAILURE_COST_MS.once) +
    excessDelay(state, now) +
    excessSilence * 2 +
    (state.entry.coldUntil > now ? WARM_UP_COST_MS : 0) +
    (state.avoidedUntil > now ? AVOIDED_COST_MS : 0)
}

/** Requests at the backend server, running and waiting: the last report and this instance's sends since. */
function outstanding (state: BackendState, now: number): { readonly running: number, readonly waiting: number } {
  const localPending = state.pending.size
  const report = state.reportedLoad
  if (report === undefined || now - report.receivedAt > MAX_REPORTED_LOAD_AGE_MS) return { running: localPending, waiting: 0 }
  return { running: Math.max(localPending, report.running + state.attempts - report.attemptsAtReceipt), waiting: report.waiting }
}

function engineLoadCost (state: BackendState, now: number): number {
  const { running, waiting } = outstanding(state, now)
  const beyondSlots = Math.max(0, running - state.entry.slots)
  return running * ENGINE_RUNNING_COST_MS + (waiting + beyondSlots) * ENGINE_WAITING_COST_MS + pendingPrefillTokens(state) / PREFILL_TOKENS_PER_MILLISECOND
}

function plainLoadCost (state: BackendState, now: number): number {
  const { running, waiting } = outstanding(state, now)
  const requests = running + waiting + 1
  return PLAIN_SERVICE_TIME_MS * (requests / state.entry.slots + 2 * Math.max(0, requests - state.entry.slots) / state.entry.slots)
}
