import { expectedWait, type QueueLoad } from './drainRate.js'
import { rankOfPriority, type Priority } from './priority.js'

/** Share of a queue's limit up to which requests of each priority are queued; lower shares make bulk requests be shed first. */
const QUEUE_SHARES: Readonly<Record<Priority, number>> = { interactive: 1, standard: 0.75, bulk: 0.5 }
/** Maximum expected wait at which a request is still queued; the target for the first token is 1.7 s. */
const MAX_WAITS_MS: Readonly<Record<Priority, number>> = { interactive: 2000, standard: 8000, bulk: 30_000 }
/** Retry delay while the drain rate is unknown. */
const DEFAULT_RETRY_DELAY_MS = 1000
/** `Retry-After` is in whole seconds. */
const MIN_RETRY_DELAY_MS = 1000

/** A request that is queued or is to be queued. */
export interface QueuedRequest {
  readonly account: string
  /** Weight of the client account, 1 or more. */
  readonly weight: number
  readonly priority: Priority
}

/** Result of admission control. */
export type Admission<Waiting extends QueuedRequest> =
  | { readonly kind: 'queued' }
  /** Queued in place of a waiting request of lower priority or of an account that exceeds its share. */
  | { readonly kind: 'displacing', readonly displaced: Waiting, readonly retryAt: number }
  /** `overShare`: the request's account exceeds its share of the queue. */
  | { readonly kind: 'shed', readonly overShare: boolean, readonly retryAt: number }

/** Inputs of an admission decision. */
export interface AdmissionInput<Waiting extends QueuedRequest> {
  readonly request: QueuedRequest & { readonly deadline: number }
  /** Waiting requests, oldest first. */
  readonly waiting: readonly Waiting[]
  readonly queueLimit: number
  readonly load: QueueLoad
  readonly now: number
}

/** Number of waiting requests at which a request of a priority is no longer queued. */
export function priorityQueueLimit (queueLimit: number, priority: Priority): number {
  return Math.max(1, Math.floor(queueLimit * QUEUE_SHARES[priority]))
}

/** Decides whether a request that found no free slot is queued, and which waiting request it displaces. */
export function admit<Waiting extends QueuedRequest> (input: AdmissionInput<Waiting>): Admission<Waiting> {
  const { request, waiting, queueLimit, load, now } = input
  const wait = expectedWait(load, request.priority)
  const shed: Admission<Waiting> = { kind: 'shed', overShare: isOverShare(request, waiting), retryAt: now + retryDelay(input, request.priority) }
  if (wait !== undefined && wait > request.deadline - now) return shed
  const waitTooLong = wait !== undefined && wait > MAX_WAITS_MS[request.priority]
  const queueFull = waiting.length >= priorityQueueLimit(queueLimit, request.priority)
  if (!waitTooLong && !queueFull) return { kind: 'queued' }
  // Displacing a request of lower priority frees a queue position, but doesn't shorten the wait at the same priority.
  const displaceable = waitTooLong ? waiting.filter((entry) => entry.priority === request.priority) : waiting
  const displaced = selectDisplaced(request, displaceable)
  if (displaced === undefined) return shed
  return { kind: 'displacing', displaced, retryAt: now + retryDelay(input, displaced.priority) }
}

/** Time until the queue has drained far enough to accept a request of the priority, in milliseconds. */
function retryDelay<Waiting extends QueuedRequest> (input: AdmissionInput<Waiting>, priority: Priority): number {
  const wait = expectedWait(input.load, priority)
  if (wait === undefined) return DEFAULT_RETRY_DELAY_MS
  const holdTime = meanHoldTime(input.load)
  const slots = priority === 'bulk' ? input.load.bulkWindow : input.load.window
  const excessWait = Math.max(0, wait - MAX_WAITS_MS[priority])
  const excessEntries = Math.max(0, input.waiting.length + 1 - priorityQueueLimit(input.queueLimit, priority))
  // The wait shortens only when a slot is released, and all slots may be released at the end of the same hold time.
  const holdTimesToDrain = Math.ceil(Math.max(excessWait * slots / holdTime, excessEntries) / slots)
  return Math.ceil(Math.max(MIN_RETRY_DELAY_MS, holdTimesToDrain * holdTime))
}

function meanHoldTime (load: QueueLoad): number {
  const holdTimes = Object.values(load.holdTimes)
  return holdTimes.reduce((sum, hold) => sum + hold, 0) / holdTimes.length
}

/** Newest waiting request of the lowest priority: below the new request's, or equal and of an account with more requests per weight. */
function selectDisplaced<Waiting extends QueuedRequest> (request: QueuedRequest, waiting: readonly Waiting[]): Waiting | undefined {
  const lowestRank = waiting.reduce((rank, entry) => Math.max(rank, rankOfPriority(entry.priority)), 0)
  if (lowestRank < rankOfPriority(request.priority)) return undefined
  const sameRank = waiting.filter((entry) => rankOfPriority(entry.priority) === lowestRank)
  const heaviest = heaviestAccount(sameRank)
  if (heaviest === undefined) return undefined
  const newest = sameRank.findLast((entry) => entry.account === heaviest.account)
  if (lowestRank > rankOfPriority(request.priority)) return newest
  const ownWaiting = sameRank.filter((entry) => entry.account === request.account).length
  return (ownWaiting + 1) / request.weight < heaviest.share ? newest : undefined
}

function isOverShare (request: QueuedRequest, waiting: readonly QueuedRequest[]): boolean {
  const ownWaiting = waiting.filter((entry) => entry.account === request.account).length
  const weights = new Map(waiting.map((entry) => [entry.account, entry.weight])).set(request.account, request.weight)
  const totalWeight = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
  return weights.size > 1 && ownWaiting > waiting.length * request.weight / totalWeight
}

/** Account with the most waiting requests per weight. */
function heaviestAccount (waiting: readonly QueuedRequest[]): { readonly account: string, readonly share: number } | undefined {
  const shares = new Map<string, number>()
  for (const entry of waiting) shares.set(entry.account, (shares.get(entry.account) ?? 0) + 1 / entry.weight)
  let heaviest: { readonly account: string, readonly share: number } | undefined
  for (const [account, share] of shares) if (heaviest === undefined || share > heaviest.share) heaviest = { account, share }
  return heaviest
}
