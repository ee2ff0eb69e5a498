import { acceptsNewWork, allowsRequest, applyHealthEvent, applyMark, CacheIndex, estimateOtherInstancesLoad, initialHealth, initialMembership, OutstandingHistory, SlotQueue, slotWindow, type Candidate, type HealthEvent, type HealthState, type MembershipMark, type MembershipState, type OtherInstancesLoad } from '@quinceshunt/routing'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import type { BackendLoad } from './backendReader.js'

/** This instance's state and request queue for one backend server. */
export interface BackendEntry {
  server: SheetBackendServer
  membership: MembershipState
  health: HealthState
  otherInstancesLoad: OtherInstancesLoad | undefined
  /** Slots as reported; the sheet's value until the first report. */
  slots: number
  /** Unix time in milliseconds at which a crash or restart was last observed. */
  crashedAt: number
  /** Ongoing check of a suspected crash. */
  crashCheck: Promise<boolean> | undefined
  readonly cache: CacheIndex
  readonly history: OutstandingHistory
  readonly queue: SlotQueue
}

/** Options for the queue of a new entry. */
export interface EntryOptions {
  readonly queueLimit: number
  readonly bulkShare: number
  readonly now: () => number
}

/** Creates the entry of a backend server that has not reported yet. */
export function createEntry (server: SheetBackendServer, options: EntryOptions): BackendEntry {
  const slots = Math.max(1, server.slots)
  return {
    server,
    membership: initialMembership(),
    health: initialHealth(),
    otherInstancesLoad: undefined,
    slots,
    crashedAt: 0,
    crashCheck: undefined,
    cache: new CacheIndex(),
    history: new OutstandingHistory(),
    queue: new SlotQueue({ ...options, window: slots })
  }
}

/** Whether the backend server may get new work now. */
export function isEligible (entry: BackendEntry): boolean {
  return acceptsNewWork(entry.membership) && allowsRequest(entry.health)
}

/** Applies a mark; if the backend server gets no new work after it, waiting requests are withdrawn so that they can be placed elsewhere. */
export function applyMembershipMark (entry: BackendEntry, mark: MembershipMark): void {
  entry.membership = applyMark(entry.membership, mark)
  if (!acceptsNewWork(entry.membership)) entry.queue.withdrawAll()
}

/** Applies a health event; an ejection withdraws waiting requests. */
export function recordHealthEvent (entry: BackendEntry, event: HealthEvent): void {
  entry.health = applyHealthEvent(entry.health, event)
  if (entry.health.kind === 'ejected') entry.queue.withdrawAll()
}

/** Applies a load report received at a Unix time in milliseconds. */
export function applyLoadReport (entry: BackendEntry, load: BackendLoad, sharingInstances: number, now: number): void {
  const previousIncarnation = entry.membership.incarnation
  applyMembershipMark(entry, { kind: 'loadReport', incarnation: load.incarnation, state: load.state, at: now })
  if (previousIncarnation !== '' && entry.membership.incarnation !== previousIncarnation) {
    entry.cache.reset()
    entry.otherInstancesLoad = undefined
    entry.crashedAt = now
    recordHealthEvent(entry, { kind: 'restarted', at: now })
  }
  recordHealthEvent(entry, { kind: 'pollSucceeded', at: now })
  entry.otherInstancesLoad = estimateOtherInstancesLoad(entry.otherInstancesLoad, load, entry.history.outstandingAt(load.asOf))
  entry.slots = load.slots
  entry.queue.setWindow(slotWindow(entry.slots, entry.otherInstancesLoad, sharingInstances))
}

/** Returns the input for routing decisions. */
export function toCandidate (entry: BackendEntry, failureDomain: string, prefixHashes: readonly string[]): Candidate {
  return {
    id: entry.server.id,
    sameFailureDomain: entry.server.failureDomain === failureDomain,
    slots: entry.slots,
    window: entry.queue.window,
    ownRunning: entry.queue.running,
    ownQueued: entry.queue.queued,
    ownBulkRunning: entry.queue.bulkRunning,
    othersOutstanding: entry.otherInstancesLoad?.outstanding ?? 0,
    cachedBlocks: entry.cache.expectedHitBlocks(prefixHashes)
  }
}

/** State as shown to operators. */
export function describeState (entry: BackendEntry): string {
  if (entry.membership.drained) return 'drained'
  if (!acceptsNewWork(entry.membership)) return 'leaving'
  return entry.health.kind
}
