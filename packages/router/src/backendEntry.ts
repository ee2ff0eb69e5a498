import { acceptsNewWork, allowsRequest, applyHealthEvent, applyMark, CacheIndex, estimateOthers, initialHealth, initialMembership, OutstandingHistory, SlotQueue, slotWindow, type Candidate, type HealthEvent, type HealthState, type MembershipMark, type MembershipState, type OthersEstimate } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import type { BackendLoad } from './backendReader.js'

/** What this instance knows of one backend server, and its queue there. */
export interface BackendEntry {
  server: SheetBackendServer
  membership: MembershipState
  health: HealthState
  others: OthersEstimate | undefined
  /** Slots as reported; the sheet's figure until the first report. */
  slots: number
  /** Last time at which a crash or restart was observed, Unix milliseconds. */
  crashedAt: number
  /** Check of a suspected crash that is under way. */
  crashCheck: Promise<boolean> | undefined
  readonly cache: CacheIndex
  readonly history: OutstandingHistory
  readonly queue: SlotQueue
}

/** What the queue of a new entry needs. */
export interface EntryOptions {
  readonly queueLimit: number
  readonly bulkShare: number
  readonly now: () => number
}

/** Creates the entry of a backend server of which nothing has been heard yet. */
export function createEntry (server: SheetBackendServer, options: EntryOptions): BackendEntry {
  const slots = Math.max(1, server.slots)
  return {
    server,
    membership: initialMembership(),
    health: initialHealth(),
    others: undefined,
    slots,
    crashedAt: 0,
    crashCheck: undefined,
    cache: new CacheIndex(),
    history: new OutstandingHistory(),
    queue: new SlotQueue({ ...options, window: slots })
  }
}

/** Whether the backend server may be given new work now. */
export function isEligible (entry: BackendEntry): boolean {
  return acceptsNewWork(entry.membership) && allowsRequest(entry.health)
}

/** Applies a mark; when it ends new work, waiting requests are withdrawn so that they go elsewhere. */
export function markEntry (entry: BackendEntry, mark: MembershipMark): void {
  entry.membership = applyMark(entry.membership, mark)
  if (!acceptsNewWork(entry.membership)) entry.queue.withdrawAll()
}

/** Applies a health event; an ejection withdraws waiting requests. */
export function noteHealth (entry: BackendEntry, event: HealthEvent): void {
  entry.health = applyHealthEvent(entry.health, event)
  if (entry.health.kind === 'ejected') entry.queue.withdrawAll()
}

/** Applies a load report received at a Unix time in milliseconds. */
export function applyLoad (entry: BackendEntry, load: BackendLoad, sharingInstances: number, now: number): void {
  const known = entry.membership.incarnation
  markEntry(entry, { kind: 'loadReport', incarnation: load.incarnation, state: load.state, at: now })
  if (known !== '' && entry.membership.incarnation !== known) {
    entry.cache.reset()
    entry.others = undefined
    entry.crashedAt = now
    noteHealth(entry, { kind: 'restarted', at: now })
  }
  noteHealth(entry, { kind: 'pollSucceeded', at: now })
  entry.others = estimateOthers(entry.others, load, entry.history.at(load.asOf))
  entry.slots = load.slots
  entry.queue.setWindow(slotWindow(entry.slots, entry.others, sharingInstances))
}

/** What routing decides on. */
export function toCandidate (entry: BackendEntry, failureDomain: string, prefixHashes: readonly string[]): Candidate {
  return {
    id: entry.server.id,
    sameFailureDomain: entry.server.failureDomain === failureDomain,
    slots: entry.slots,
    window: entry.queue.window,
    ownRunning: entry.queue.running,
    ownQueued: entry.queue.queued,
    ownBulkRunning: entry.queue.bulkRunning,
    othersOutstanding: entry.others?.outstanding ?? 0,
    cachedBlocks: entry.cache.expectedHit(prefixHashes)
  }
}

/** State for operators. */
export function describeState (entry: BackendEntry): string {
  if (entry.membership.drained) return 'drained'
  if (!acceptsNewWork(entry.membership)) return 'leaving'
  return entry.health.kind
}
