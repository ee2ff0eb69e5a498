import type { PromptSize } from '../ports.js'
import { excessDelay, failureWeight, pendingPrefillTokens, silenceMilliseconds, type BackendState } from './backendState.js'

/**
 * Selects the backend server with the lowest estimated cost.
 *
 * Expected load: long prompts that share large parts, mixed with short interactive ones, from many instances that do not
 * coordinate. Rendezvous hashing gives each shared part an affinity backend server on which all instances agree, so that
 * the part is prefilled once. When that one is busy, failing or silent, its cost grows until another one is cheaper.
 */

/** Prefill rate of an engine, from the deployments' published figures. */
export const PREFILL_TOKENS_PER_MILLISECOND = 90
/** Factor on the prefill time in the cost: prefill delays all requests of the engine. */
const PREFILL_WEIGHT = 8
/**
 * Expected uncached share of a part at its affinity backend servers, by rank: the first may not have processed the part yet, the others
 * have when the first had too much to do for a popular part.
 */
const AFFINITY_MISS_SHARES = [0.15, 0.4, 0.7] as const
/** Per running request: every step slows with the batch size. */
const ENGINE_RUNNING_COST_MS = 2
/** Per queued request: about the prefill of a mean prompt. */
const ENGINE_WAITING_COST_MS = 40
/** Assumed time of one request at a plain service; only its ratio to other costs matters. */
const PLAIN_SERVICE_TIME_MS = 80
/** About one round trip; traffic between failure domains is also billed. */
const OTHER_FAILURE_DOMAIN_COST_MS = 4
/** Per recent failure, for requests that may be retried and for those that run at most once. */
const FAILURE_COST_MS = { retryable: 300, once: 900 } as const
/** Time without a byte that is normal before the first response. */
const EXPECTED_SILENCE_MS = { engine: 400, plain: 300 } as const
/** High enough that an avoided backend server is selected only when all others are worse. */
const AVOIDED_COST_MS = 10_000
const WARM_UP_COST_MS = 100
const MAX_REPORTED_LOAD_AGE_MS = 2000
/** A backend server that denies permits for requests beyond the limit that it names has no affinity for this time. */
const NO_AFFINITY_AFTER_DENIAL_MS = 2000

/** Properties of a request that affect the choice. */
export interface ChoiceRequest {
  readonly prompt: PromptSize | undefined
  readonly isRetryable: boolean
  readonly failureDomain: string
}

/** The selected backend server. */
export interface Choice {
  readonly state: BackendState
  /** Prompt tokens that it is expected to prefill. */
  readonly prefillTokens: number
  readonly cost: number
}

/** Stable 32-bit hash of two strings (FNV-1a with a final mix), for rendezvous hashing. */
export function hashPair (left: string, right: string): number {
  let hash = 0x811c9dc5
  for (const text of [left, '|', right]) {
    for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

/** The last part that other requests may share: the second to last, or the only one. */
function affinityPart (prompt: PromptSize): string | undefined {
  return (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id
}

/** Selects the cheapest candidate, or undefined when there is none. `tieBreak`, in [0, 1), decides among equal costs. */
export function chooseBackend (candidates: readonly BackendState[], request: ChoiceRequest, now: number, tieBreak: number): Choice | undefined {
  let best: Choice | undefined
  for (const choice of estimateChoices(candidates, request, now, tieBreak)) if (best === undefined || choice.cost < best.cost) best = choice
  return best
}

/** Orders the candidates by cost, the cheapest first. */
export function rankBackends (candidates: readonly BackendState[], request: ChoiceRequest, now: number, tieBreak: number): readonly Choice[] {
  return [...estimateChoices(candidates, request, now, tieBreak)].sort((left, right) => left.cost - right.cost)
}

function * estimateChoices (candidates: readonly BackendState[], request: ChoiceRequest, now: number, tieBreak: number): Generator<Choice> {
  const affinityKey = request.prompt === undefined ? undefined : affinityPart(request.prompt)
  const affinityBackend = affinityKey === undefined ? undefined : findAffinityBackend(candidates, affinityKey, now)
  const start = Math.floor(tieBreak * candidates.length)
  for (let index = 0; index < candidates.length; index++) {
    const state = candidates[(start + index) % candidates.length]
    if (state === undefined) continue
    const prefillTokens = request.prompt === undefined ? 0 : expectedPrefill(state, request.prompt, state === affinityBackend ? 0 : -1, now)
    yield { state, prefillTokens, cost: estimateCost(state, request, prefillTokens, now) }
  }
}

function findAffinityBackend (candidates: readonly BackendState[], affinityKey: string, now: number): BackendState | undefined {
  let affinityBackend: BackendState | undefined
  let highest = -1
  for (const state of candidates) {
    if (state.avoidedUntil > now || now < state.lastDeniedAt + NO_AFFINITY_AFTER_DENIAL_MS) continue
    const weight = hashPair(affinityKey, state.entry.id)
    if (weight <= highest) continue
    affinityBackend = state
    highest = weight
  }
  return affinityBackend
}

/** The affinity backend servers of a prompt's shared parts in order of rank, on which all instances agree. */
export function findAffinityBackends (candidates: readonly BackendState[], prompt: PromptSize, now: number): readonly BackendState[] {
  const key = affinityPart(prompt)
  if (key === undefined) return []
  const usable = candidates.filter((state) => state.avoidedUntil <= now && now >= state.lastDeniedAt + NO_AFFINITY_AFTER_DENIAL_MS)
  return usable
    .map((state) => ({ state, weight: hashPair(key, state.entry.id) }))
    .sort((left, right) => right.weight - left.weight)
    .slice(0, AFFINITY_MISS_SHARES.length)
    .map(({ state }) => state)
}

/**
 * Prompt tokens that are expected to miss the backend server's prefix cache. `affinityRank` is 0 for its first affinity, -1 without any;
 * `firstPartMissShare` is the uncached share of a first part that most prompts have.
 */
export function expectedPrefill (state: BackendState, prompt: PromptSize, affinityRank: number, now: number, firstPartMissShare = 1): number {
  const missShare = AFFINITY_MISS_SHARES[affinityRank] ?? 1
  let tokens = 0
  let isPrefixCached = true
  prompt.parts.forEach((part, index) => {
    const isUnshared = index === prompt.parts.length - 1 && prompt.parts.length > 1
    isPrefixCached &&= (state.cachedParts.get(part.id) ?? 0) > now
    if (isPrefixCached) return
    tokens += isUnshared ? part.tokens : part.tokens * (index === 0 ? Math.min(missShare, firstPartMissShare) : missShare)
  })
  return tokens
}

function estimateCost (state: BackendState, request: ChoiceRequest, prefillTokens: number, now: number): number {
  const isEngine = request.prompt !== undefined
  const load = isEngine
    ? engineLoadCost(state, now) + prefillTokens * PREFILL_WEIGHT / PREFILL_TOKENS_PER_MILLISECOND
    : plainLoadCost(state, now)
  return load + (state.entry.failureDomain === request.failureDomain ? 0 : OTHER_FAILURE_DOMAIN_COST_MS) + penaltyOf(state, request, now)
}

/** What recent failures, silences and delays of a backend server cost, and its warm-up. */
export function penaltyOf (state: BackendState, request: ChoiceRequest, now: number): number {
  const excessSilence = Math.max(0, silenceMilliseconds(state, now) - (request.prompt === undefined ? EXPECTED_SILENCE_MS.plain : EXPECTED_SILENCE_MS.engine))
  return failureWeight(state, now) * (request.isRetryable ? FAILURE_COST_MS.retryable : FAILURE_COST_MS.once) +
    excessDelay(state, now) +
    excessSilence * 2 +
    (state.entry.coldUntil > now ? WARM_UP_COST_MS : 0) +
    (state.avoidedUntil > now ? AVOIDED_COST_MS : 0)
}

/** Requests at the backend server: its last load report plus this instance's attempts since then. */
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
