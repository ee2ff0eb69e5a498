import { expectedWait, type QueueLoad } from './drainRate.js'
import { rankOfPriority, type Priority } from './priority.js'

/** Share of a queue's limit up to which each priority may fill it, so that bulk work is shed first. */
const QUEUE_SHARES: Readonly<Record<Priority, number>> = { interactive: 1, standard: 0.75, bulk: 0.5 }
/** Longest expected wait at which a request is still queued, milliseconds; the first token is wanted within 1.7 s. */
const LONGEST_WAITS: Readonly<Record<Priority, number>> = { interactive: 2000, standard: 8000, bulk: 30_000 }
/** Wait named to the caller while the drain rate is not known, milliseconds. */
const UNKNOWN_DRAIN_MILLISECONDS = 1000
/** Shortest wait named to a caller, milliseconds; `Retry-After` counts whole seconds. */
const SHORTEST_RETRY_MILLISECONDS = 1000

/** A request that waits or wants to. */
export interface QueuedRequest {
  readonly account: string
  /** Relative share of the client account, 1 or more. */
  readonly weight: number
  readonly priority: Priority
}

/** Answer to a request that wants to wait. */
export type Admission<Waiting extends QueuedRequest> =
  | { readonly kind: 'queued' }
  /** Queued in place of a waiting request of lower priority or of an account that is over its share. */
  | { readonly kind: 'displacing', readonly displaced: Waiting, readonly retryAt: number }
  /** `overShare`: the account itself holds more than its share of the queue. */
  | { readonly kind: 'shed', readonly overShare: boolean, readonly retryAt: number }

/** What admission is decided on. */
export interface AdmissionInput<Waiting extends QueuedRequest> {
  readonly request: QueuedRequest & { readonly deadline: number }
  /** Requests waiting, oldest first. */
  readonly waiting: readonly Waiting[]
  readonly queueLimit: number
  readonly load: QueueLoad
  readonly now: number
}

/** Entries that a request of a priority may find waiting and still be queued. */
export function queueShare (queueLimit: number, priority: Priority): number {
  return Math.max(1, Math.floor(queueLimit * QUEUE_SHARES[priority]))
}

/** Decides whether a request that found no free slot is queued, and whom it displaces. */
export function admit<Waiting extends QueuedRequest> (input: AdmissionInput<Waiting>): Admission<Waiting> {
  const { request, waiting, queueLimit, load, now } = input
  const wait = expectedWait(load, request.priority)
  const shed: Admission<Waiting> = { kind: 'shed', overShare: isOverShare(request, waiting), retryAt: now + retryDelay(input, request.priority) }
  if (wait !== undefined && wait > request.deadline - now) return shed
  const tooLong = wait !== undefined && wait > LONGEST_WAITS[request.priority]
  const full = waiting.length >= queueShare(queueLimit, request.priority)
  if (!tooLong && !full) return { kind: 'queued' }
  // Displacing a request of lower priority makes room, but doesn't shorten the wait behind equals.
  const displaceable = tooLong ? waiting.filter((entry) => entry.priority === request.priority) : waiting
  const displaced = chooseDisplaced(request, displaceable)
  if (displaced === undefined) return shed
  return { kind: 'displacing', displaced, retryAt: now + retryDelay(input, displaced.priority) }
}

/** Time until the queue has drained far enough to take a request of the priority, milliseconds. */
function retryDelay<Waiting extends QueuedRequest> (input: AdmissionInput<Waiting>, priority: Priority): number {
  const wait = expectedWait(input.load, priority)
  if (wait === undefined) return UNKNOWN_DRAIN_MILLISECONDS
  const hold = meanHold(input.load)
  const slots = priority === 'bulk' ? input.load.bulkWindow : input.load.window
  const surplusWait = Math.max(0, wait - LONGEST_WAITS[priority])
  const surplusEntries = Math.max(0, input.waiting.length + 1 - queueShare(input.queueLimit, priority))
  // The wait shrinks only when a slot comes free, and all slots may come free at the end of one hold time.
  const drains = Math.ceil(Math.max(surplusWait * slots / hold, surplusEntries) / slots)
  return Math.ceil(Math.max(SHORTEST_RETRY_MILLISECONDS, drains * hold))
}

function meanHold (load: QueueLoad): number {
  const holds = Object.values(load.holds)
  return holds.reduce((sum, hold) => sum + hold, 0) / holds.length
}

/** The newest waiting request of the lowest priority below the newcomer's, or of an account further over its share. */
function chooseDisplaced<Waiting extends QueuedRequest> (request: QueuedRequest, waiting: readonly Waiting[]): Waiting | undefined {
  const lowest = waiting.reduce((rank, entry) => Math.max(rank, rankOfPriority(entry.priority)), 0)
  if (lowest < rankOfPriority(request.priority)) return undefined
  const sameRank = waiting.filter((entry) => rankOfPriority(entry.priority) === lowest)
  const heaviest = heaviestAccount(sameRank)
  if (heaviest === undefined) return undefined
  const newest = sameRank.findLast((entry) => entry.account === heaviest.account)
  if (lowest > rankOfPriority(request.priority)) return newest
  const held = sameRank.filter((entry) => entry.account === request.account).length
  return (held + 1) / request.weight < heaviest.share ? newest : undefined
}

function isOverShare (request: QueuedRequest, waiting: readonly QueuedRequest[]): boolean {
  const held = waiting.filter((entry) => entry.account === request.account).length
  const weights = new Map(waiting.map((entry) => [entry.account, entry.weight])).set(request.account, request.weight)
  const total = [...weights.values()].reduce((sum, weight) => sum + weight, 0)
  return weights.size > 1 && held > waiting.length * request.weight / total
}

/** Account with the most waiting requests relative to its weight. */
function heaviestAccount (waiting: readonly QueuedRequest[]): { readonly account: string, readonly share: number } | undefined {
  const shares = new Map<string, number>()
  for (const entry of waiting) shares.set(entry.account, (shares.get(entry.account) ?? 0) + 1 / entry.weight)
  let heaviest: { readonly account: string, readonly share: number } | undefined
  for (const [account, share] of shares) if (heaviest === undefined || share > heaviest.share) heaviest = { account, share }
  return heaviest
}
