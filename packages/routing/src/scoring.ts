import { PREFIX_BLOCK_BYTES } from './prefixHashes.js'
import type { Priority } from './priority.js'

/** What is known of a backend server when a request is routed. */
export interface Candidate {
  readonly id: string
  /** True when it is in this instance's failure domain. */
  readonly sameFailureDomain: boolean
  /** Requests that it runs at once. */
  readonly slots: number
  /** Requests that this instance may run there at once. */
  readonly window: number
  /** This instance's requests running there. */
  readonly ownRunning: number
  /** This instance's requests waiting for it. */
  readonly ownQueued: number
  /** This instance's bulk requests running there. */
  readonly ownBulkRunning: number
  /** Estimate of other instances' requests there. */
  readonly othersOutstanding: number
  /** Leading prompt blocks that its prefix cache is expected to hold. */
  readonly cachedBlocks: number
}

/** What of a request matters to routing. */
export interface RoutedRequest {
  readonly priority: Priority
  readonly promptBytes: number
}

/** Weights of a score; the unit is the time that one request occupies a slot. */
interface Weights {
  /** For each request running per slot: continuous batching slows every stream a little. */
  readonly running: number
  /** For each request above the slots or above this instance's window, per slot of either: it waits for a slot. */
  readonly waiting: number
  /** For each `PREFILL_UNIT_BYTES` of prompt that must be prefilled. */
  readonly prefill: number
  /** For each own bulk request per slot, whose prefill delays first tokens. */
  readonly bulkRunning: number
}

/** Prompt bytes whose prefill takes about as long as an average answer: 64 KiB is about 16,000 tokens. */
const PREFILL_UNIT_BYTES = 65_536
/** Cost of leaving the failure domain: about 1 ms of network time, enough only to decide between near equals. */
const OTHER_FAILURE_DOMAIN_COST = 0.02

const WEIGHTS: Readonly<Record<Priority, Weights>> = {
  interactive: { running: 0.5, waiting: 2, prefill: 1, bulkRunning: 0.5 },
  standard: { running: 0.5, waiting: 1.5, prefill: 1, bulkRunning: 0.25 },
  // Bulk requests gain most from a cached prefix and tolerate waiting.
  bulk: { running: 0.5, waiting: 1, prefill: 2, bulkRunning: 0.5 }
}

/** Requests that are expected at the backend server now, waiting ones included. */
export function expectedOutstanding (candidate: Candidate): number {
  return candidate.ownRunning + candidate.ownQueued + candidate.othersOutstanding
}

/** Expected cost of sending a request to a backend server; lower is better. */
export function score (candidate: Candidate, request: RoutedRequest): number {
  const weights = WEIGHTS[request.priority]
  const load = expectedOutstanding(candidate) / candidate.slots
  const overWindow = (candidate.ownRunning + candidate.ownQueued + 1 - candidate.window) / candidate.window
  const uncachedBytes = Math.max(0, request.promptBytes - candidate.cachedBlocks * PREFIX_BLOCK_BYTES)
  return weights.running * Math.min(load, 1) +
    weights.waiting * Math.max(0, load - 1, overWindow) +
    weights.prefill * uncachedBytes / PREFILL_UNIT_BYTES +
    weights.bulkRunning * candidate.ownBulkRunning / candidate.slots +
    (candidate.sameFailureDomain ? 0 : OTHER_FAILURE_DOMAIN_COST)
}
