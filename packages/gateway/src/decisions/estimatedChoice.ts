import type { PromptSize } from '../ports.js'
import { expectedPrefill, findAffinityBackends, penaltyOf, type Choice, type ChoiceRequest } from './backendChoice.js'
import { backendProcessOf, pendingPrefillTokens, type BackendState } from './backendState.js'
import type { FleetLoads, OthersLoad, ServiceLoad } from './fleetLoads.js'
import type { ServiceTiming } from './serviceTiming.js'

/**
 * Selects a backend server by the expected time to the first byte, from load figures that all instances share.
 *
 * Load: 70 instances with 3 to 5 requests a second each before 42 to 98 engines, long prompts beside short ones, one popular prompt with a
 * fifth of the requests, engines of unequal speed. An instance receives a response from a given engine every 10 to 20 s only. Shared figures are up to 2.5 s
 * old and all instances see the same ones, so that each compares only some of the engines, drawn at random: all would send to the best one.
 */

/**
 * Weight of the prefill time beside the time to the first byte: it delays the other requests of the engine as well. With 3, long prompts were read
 * again more often, and their median first byte came after 341 ms instead of 299 ms (one play each of the small twin of one deployment).
 */
const PREFILL_WEIGHT = 7
/** Part of the latency target up to which a later first byte costs callers nothing. */
const TARGET_SHARE = 0.6
/** Weight of the time beyond it. */
const LATENESS_WEIGHT = 8
/** Per request in progress: each one slows the steps of an engine. */
const RUNNING_COST_MS = 1
/** A round trip, and the slot that a new connection holds for a moment. */
const NEW_CONNECTION_COST_MS = 6
const OTHER_FAILURE_DOMAIN_COST_MS = 1
/** Engines that are compared, besides those that may have the prompt's parts: some with an open connection, and some of all. */
const COMPARED = { connected: 3, any: 2 } as const
/** Share of the engines to which this instance has sent a part lately when the part is one that most prompts have. */
const MIN_SHARE_OF_POPULAR_PART = 0.1
/** An engine may have evicted the part, or have just started. */
const MIN_MISS_SHARE = 0.15
/** Responses after which the measured speed of a process counts half. */
const SPEED_PRIOR_COUNT = 3
const SPEED = { least: 0.5, most: 6 } as const
/** Half-life of a load report: what else runs on the machine of a backend server changes several times a second. */
const WORK_HALF_LIFE_MS = 300
const REPORT_HALF_LIFE_MS = 500
/** An instance knows too little when it has a newer report of fewer than half of the engines. */
const MAX_REPORT_AGE_MS = 2000
/** The load of plain services changes faster than one of many instances observes it. */
const MIN_INSTANCES_PER_PLAIN_SERVER = 4
/** With a larger scale the cost of failures would not matter for slow services. */
const MAX_DRAW_SCALE_MS = 500

/** What an estimate takes into account besides the candidates. */
export interface EstimateInput {
  readonly request: ChoiceRequest
  readonly service: string
  /** Time to the first byte within which a response is on time. */
  readonly latencyTargetMilliseconds: number
  readonly loads: FleetLoads
  readonly timing: ServiceTiming
  readonly hasIdleConnection: (address: string) => boolean
  /** Random numbers in [0, 1). */
  readonly random: () => number
  readonly now: number
}

/** An estimate in progress. */
interface Estimation extends EstimateInput {
  readonly mean: ServiceLoad | undefined
}

/** Returns true when shared load figures tell more than the responses that this instance got itself. */
export function hasTooFewReports (candidates: readonly BackendState[], input: EstimateInput): boolean {
  const service = input.loads.service(input.service, input.now)
  if (service === undefined) return false
  if (input.request.prompt === undefined) return service.instances >= MIN_INSTANCES_PER_PLAIN_SERVER * candidates.length
  const known = candidates.filter(({ reportedLoad }) => reportedLoad !== undefined && input.now - reportedLoad.receivedAt < MAX_REPORT_AGE_MS)
  return known.length * 2 < candidates.length
}

/** Selects a candidate by its estimate; undefined without any. */
export function chooseByEstimate (candidates: readonly BackendState[], input: EstimateInput): Choice | undefined {
  const { prompt } = input.request
  const estimation = { ...input, mean: input.loads.service(input.service, input.now) }
  return prompt === undefined ? choosePlain(candidates, estimation) : chooseEngine(candidates, prompt, estimation)
}

function chooseEngine (candidates: readonly BackendState[], prompt: PromptSize, input: Estimation): Choice | undefined {
  const affinity = findAffinityBackends(candidates, prompt, input.now)
  const firstPartMissShare = missShareOfFirstPart(candidates, prompt, input)
  const estimate = (state: BackendState): Choice => estimateEngine(state, expectedPrefill(state, prompt, affinity.indexOf(state), input.now, firstPartMissShare), input)
  const best = cheapest(drawCompared(candidates, affinity, prompt, input).map(estimate))
  // All of the compared ones may have just failed.
  return best !== undefined && best.state.avoidedUntil <= input.now ? best : cheapest(candidates.map(estimate))
}

/** A first part that most prompts have is in the cache of nearly all engines: other instances send it as often as this one. */
function missShareOfFirstPart (candidates: readonly BackendState[], prompt: PromptSize, { mean, now }: Estimation): number {
  const id = prompt.parts.length > 1 ? prompt.parts[0]?.id ?? '' : ''
  const sent = candidates.filter(({ cachedParts }) => (cachedParts.get(id) ?? 0) > now).length
  return sent < candidates.length * MIN_SHARE_OF_POPULAR_PART ? 1 : Math.max(MIN_MISS_SHARE, Math.exp(-sent * (mean?.instances ?? 1) / candidates.length))
}

function cheapest (choices: readonly Choice[]): Choice | undefined {
  return choices.reduce<Choice | undefined>((best, choice) => best === undefined || choice.cost < best.cost ? choice : best, undefined)
}

/** Those that may have the prompt's parts, and some others. For small shared parts, open connections save more time than the parts. */
function drawCompared (candidates: readonly BackendState[], affinity: readonly BackendState[], prompt: PromptSize, input: Estimation): readonly BackendState[] {
  const connected = draw(candidates.filter(({ entry }) => input.hasIdleConnection(entry.address)), COMPARED.connected, input.random)
  const sharedTokens = prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
  if (sharedTokens / input.timing.tokensPerMillisecond < NEW_CONNECTION_COST_MS && connected.length === COMPARED.connected) return [...connected, ...draw(candidates, 1, input.random)]
  const shared = prompt.parts.at(-2)?.id ?? ''
  const cached = candidates.filter(({ cachedParts }) => (cachedParts.get(shared) ?? 0) > input.now)
  return [...new Set([...affinity, ...draw(cached, COMPARED.any, input.random), ...connected, ...draw(candidates, COMPARED.any, input.random)])]
}

/** Draws up to `count` entries at random. */
function draw (states: readonly BackendState[], count: number, random: () => number): readonly BackendState[] {
  const left = [...states]
  const drawn: BackendState[] = []
  while (drawn.length < count && left.length > 0) drawn.push(...left.splice(Math.floor(random() * left.length), 1))
  return drawn
}

function estimateEngine (state: BackendState, prefillTokens: number, input: Estimation): Choice {
  const { timing, now } = input
  const load = loadOf(state, input)
  const prefillMilliseconds = prefillTokens / timing.tokensPerMillisecond
  const queueMilliseconds = load.unansweredTokens / timing.tokensPerMillisecond + slotWait(state, load.requests, timing)
  const firstByte = (timing.expectedFirstByte(0) + prefillMilliseconds + queueMilliseconds) * load.slowness + connectionCost(state, input)
  const lateness = Math.max(0, firstByte - input.latencyTargetMilliseconds * TARGET_SHARE)
  const cost = firstByte + lateness * LATENESS_WEIGHT + prefillMilliseconds * PREFILL_WEIGHT * load.slowness + load.requests * RUNNING_COST_MS + penaltyOf(state, input.request, now)
  return { state, prefillTokens, cost }
}

/** Time until one of the slots is free. */
function slotWait (state: BackendState, requests: number, timing: ServiceTiming): number {
  return Math.max(0, requests + 1 - state.entry.slots) * timing.durationMilliseconds / state.entry.slots
}

function connectionCost (state: BackendState, { hasIdleConnection, request }: Estimation): number {
  return (hasIdleConnection(state.entry.address) ? 0 : NEW_CONNECTION_COST_MS) + (state.entry.failureDomain === request.failureDomain ? 0 : OTHER_FAILURE_DOMAIN_COST_MS)
}

/** Draws one at random, the more often the less its estimate, as the best one of a few would get the requests of all instances. */
function choosePlain (candidates: readonly BackendState[], input: Estimation): Choice | undefined {
  const reached = candidates.filter(({ avoidedUntil }) => avoidedUntil <= input.now)
  const choices = (reached.length > 0 ? reached : candidates).map((state) => estimatePlain(state, input))
  const best = cheapest(choices)
  if (best === undefined) return undefined
  const scale = Math.min(MAX_DRAW_SCALE_MS, Math.max(1, input.timing.durationMilliseconds))
  const weights = choices.map(({ cost }) => Math.exp((best.cost - cost) / scale))
  let left = input.random() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, choice] of choices.entries()) {
    left -= weights[index] ?? 0
    if (left < 0) return choice
  }
  return best
}

function estimatePlain (state: BackendState, input: Estimation): Choice {
  const { requests, slowness } = loadOf(state, input)
  const serviceTimes = (requests + 1) / state.entry.slots + 2 * Math.max(0, requests + 1 - state.entry.slots) / state.entry.slots
  return { state, prefillTokens: 0, cost: input.timing.durationMilliseconds * serviceTimes * slowness + connectionCost(state, input) + penaltyOf(state, input.request, input.now) }
}

interface EstimatedLoad {
  readonly requests: number
  readonly unansweredTokens: number
  /** Factor on all times; 1 as usual. */
  readonly slowness: number
}

/** Combines this instance's requests with those of others; a backend server of which nothing is known counts as one with the mean load. */
function loadOf (state: BackendState, { loads, mean, now }: Estimation): EstimatedLoad {
  const others = loads.othersAt(backendProcessOf(state.entry), now)
  const counted = (others?.requests ?? mean?.requests ?? 0) + state.pending.size
  const report = newestReport(state, others)
  const reportWeight = report === undefined ? 0 : 2 ** (-Math.max(0, now - report.receivedAt) / REPORT_HALF_LIFE_MS)
  return {
    requests: report === undefined ? counted : Math.max(state.pending.size, counted + (report.running + report.waiting + sentSince(state, report) - counted) * reportWeight),
    unansweredTokens: unansweredTokensAt(others, mean) + pendingPrefillTokens(state),
    slowness: speedRatio(others) * workFactor(report, now)
  }
}

/** Requests that this instance has sent since its own report. */
function sentSince (state: BackendState, report: OthersLoad['report']): number {
  return state.reportedLoad !== undefined && state.reportedLoad === report ? state.attempts - state.reportedLoad.attemptsAtReceipt : 0
}

function unansweredTokensAt (others: OthersLoad | undefined, mean: ServiceLoad | undefined): number {
  return others?.unansweredTokens ?? mean?.unansweredTokens ?? 0
}

function newestReport (state: BackendState, others: OthersLoad | undefined): OthersLoad['report'] {
  const own = state.reportedLoad
  if (own === undefined || others?.report === undefined) return own ?? others?.report
  return own.receivedAt >= others.report.receivedAt ? own : others.report
}

function speedRatio (others: OthersLoad | undefined): number {
  if (others === undefined || others.ratioCount <= 0) return 1
  const ratio = Math.exp(others.logRatio * others.ratioCount / (others.ratioCount + SPEED_PRIOR_COUNT))
  return Math.min(SPEED.most, Math.max(SPEED.least, ratio))
}

function workFactor (report: OthersLoad['report'], now: number): number {
  if (report === undefined) return 1
  return 1 + (report.workPercent / 100 - 1) * 2 ** (-Math.max(0, now - report.receivedAt) / WORK_HALF_LIFE_MS)
}
