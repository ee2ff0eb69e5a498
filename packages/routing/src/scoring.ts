import { PREFIX_BLOCK_BYTES } from './prefixHashes.js'
import type { Priority } from './priority.js'

/** State of a backend server that routing decisions use. */
export interface Candidate {
  readonly id: string
  /** True when it is in this instance's failure domain. */
  readonly sameFailureDomain: boolean
  /** Requests that it can run concurrently. */
  readonly slots: number
  /** Concurrency limit for this instance's requests there. */
  readonly window: number
  /** This instance's requests running there. */
  readonly ownRunning: number
  /** This instance's requests waiting for a slot there. */
  readonly ownQueued: number
  /** This instance's bulk requests running there. */
  readonly ownBulkRunning: number
  /** Estimated number of other instances' requests there, running or queued. */
  readonly othersOutstanding: number
  /** Leading prompt blocks that its prefix cache is expected to hold. */
  readonly cachedBlocks: number
}

/** Properties of a request that routing decisions use. */
export interface RoutedRequest {
  readonly priority: Priority
  readonly promptBytes: number
}

/** Weights of a score, in units of the time for which one request holds a slot. */
interface Weights {
  /** Per running request per slot: continuous batching slows every stream a little. */
  readonly running: number
  /** Per request in excess of the slots or of this instance's window, relative to either: the request waits for a slot. */
  readonly waiting: number
  /** Per `PREFILL_UNIT_BYTES` of prompt that must be prefilled. */
  readonly prefill: number
  /** Per bulk request of this instance per slot; its prefill delays first tokens. */
  readonly bulkRunning: number
}

/** Prompt bytes whose prefill takes about as long as an average response: 64 KiB is about 16,000 tokens. */
const PREFILL_UNIT_BYTES = 65_536
/** Cost of using another failure domain: about 1 ms of network latency, which only decides between near-equal scores. */
const OTHER_FAILURE_DOMAIN_COST = 0.02

const WEIGHTS: Readonly<Record<Priority, Weights>> = {
  interactive: { running: 0.5, waiting: 2, prefill: 1, bulkRunning: 0.5 },
  standard: { running: 0.5, waiting: 1.5, prefill: 1, bulkRunning: 0.25 },
  // Bulk requests benefit most from a cached prefix and tolerate waiting.
  bulk: { running: 0.5, waiting: 1, prefill: 2, bulkRunning: 0.5 }
}

/** Expected number of requests at the backend server, including waiting ones. */
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
