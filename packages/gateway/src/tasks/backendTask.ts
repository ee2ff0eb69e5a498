import { steadyNow } from '../clock.js'
import { backendProcessOf, createBackendState, resetProcessState, type BackendState } from '../decisions/backendState.js'
import { isOutdatedEntry, type KnownEntry } from '../decisions/entryOrder.js'
import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { GatewayPlatform, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { StoreEra } from './storeEra.js'
import { followTable, type ResponseContext, type TableFollower } from './tableFollower.js'

/** Polls of the list within the drain period, after which a leaving backend server must get no requests; one poll may fail. */
const POLLS_PER_DRAIN_PERIOD = 3
/** Time without a store response after which entries may be missing only because they expired during the outage. */
const STORE_OUTAGE_GAP_MS = 2500
/** Time before such an entry is removed, at the next response without it: backend servers renew their entries within about two seconds. */
const REMOVAL_GRACE_MS = 1900

/** Time after a restore of the store in which it may list entries from before the copy: backend servers renew theirs within two seconds. */
const RESTORED_ENTRIES_MS = 5000
/** Removed backend servers that are remembered; the oldest are forgotten first. */
const MAX_REMEMBERED_REMOVALS = 1000

/** Tracks the backend servers that may get requests. */
export interface BackendTask {
  /** Backend servers of a service that may get requests now. */
  candidates (service: string, now: number): readonly BackendState[]
  /** Backend servers that may get requests, by service. */
  byService (): ReadonlyMap<string, readonly BackendState[]>
  find (id: string): BackendState | undefined
  /** All backend servers that are listed, also those that get no requests; undefined until the list was read. */
  listed (): readonly BackendState[] | undefined
  /** The processes of all backend servers that are listed now, as named by `backendProcessOf`. */
  processes (): ReadonlySet<string>
  /** Excludes a backend server at whose address another process answers, until its entry changes. */
  markMisdirected (id: string): void
  readonly follower: TableFollower
  stop (): void
}

/** Dependencies of the task. */
export interface BackendTaskOptions {
  readonly platform: GatewayPlatform
  readonly log: DecisionLog
  readonly era: StoreEra
  /** Maximum time for which a leaving backend server still gets requests. */
  readonly drainMilliseconds: number
  /** Called when a backend server is removed; its state still tracks the pending attempts. */
  readonly onRemoved: (state: BackendState) => void
  /** Called when an entry is listed or has changed; `previous` is the one before. */
  readonly onListed: (entry: BackendServerEntry, previous: BackendServerEntry | undefined) => void
  /** Called when a process has written its entry again, after the given time by `steadyNow`. */
  readonly onRenewed: (backendProcess: string, since: number) => void
  /** Called when another process is listed under an ID. */
  readonly onRestarted: (predecessor: string, backendProcess: string) => void
}

/** Starts to follow the platform's list of backend servers. */
export function startBackendTask (options: BackendTaskOptions): BackendTask {
  const { platform, log, era } = options
  const states = new Map<string, BackendState>()
  const removalDueAt = new Map<string, number>()
  const unreadable = new Set<string>()
  const misdirected = new Set<string>()
  const removed = new Map<string, KnownEntry>()
  /** Entries that may be from before the copy; those that are still listed some time after the restore count. */
  const doubtful = new Map<string, StoredRow>()

  function isRestoredWithin (milliseconds: number, now: number): boolean {
    return era.restoredAt !== undefined && now - era.restoredAt < milliseconds
  }

  function decode (row: StoredRow, now: number): BackendServerEntry | undefined {
    try {
      const entry = platform.wire.decodeBackendServer(row.key, row.value, now)
      unreadable.delete(row.key)
      return entry
    } catch (error) {
      if (!unreadable.has(row.key)) log.warning('backendEntryUnreadable', { backend: row.key, rowVersion: row.version, reason: String(error).slice(0, 200) })
      unreadable.add(row.key)
      return undefined
    }
  }

  function remove (id: string, reason: string): void {
    const state = states.get(id)
    if (state === undefined) return
    states.delete(id)
    rememberRemoval(state.entry)
    removalDueAt.delete(id)
    misdirected.delete(id)
    log.event('backendGone', { backend: id, service: state.entry.service, reason, pending: state.pending.size })
    options.onRemoved(state)
  }

  function rememberRemoval ({ id, startedAt, sequence, state }: BackendServerEntry): void {
    removed.delete(id)
    removed.set(id, { startedAt, sequence, state, isRemoved: true })
    const oldest = removed.keys().next().value
    if (removed.size > MAX_REMEMBERED_REMOVALS && oldest !== undefined) removed.delete(oldest)
  }

  function removeOrDefer (id: string, now: number, responseContext: ResponseContext): void {
    doubtful.delete(id)
    if (!states.has(id)) return
    // The copy of a restored store lacks the entries of backend servers that registered after it.
    const isSettled = now - responseContext.previousResponseAt < STORE_OUTAGE_GAP_MS && !isRestoredWithin(REMOVAL_GRACE_MS, now)
    if (isSettled) return remove(id, 'entry removed')
    if (!removalDueAt.has(id)) removalDueAt.set(id, now + REMOVAL_GRACE_MS)
  }

  function applyRow (row: StoredRow, now: number, changedSince = -Infinity): void {
    doubtful.delete(row.key)
    const entry = decode(row, now)
    if (entry === undefined) return remove(row.key, 'entry unreadable')
    const state = states.get(entry.id)
    const known = state === undefined ? removed.get(entry.id) : { ...state.entry, isRemoved: false }
    // A backend server never leaves out its start time, so that another writer wrote this entry.
    if (known !== undefined && known.startedAt !== 0 && entry.startedAt === 0) return remove(row.key, 'entry without its start time')
    if (known !== undefined && isOutdatedEntry(entry, known, isRestoredWithin(RESTORED_ENTRIES_MS, now))) {
      log.decision('backendEntryOutdated', { backend: entry.id, state: entry.state, sequence: entry.sequence, knownState: known.state, knownSequence: known.sequence, isRemoved: known.isRemoved })
      if (isRestoredWithin(RESTORED_ENTRIES_MS, now)) doubtful.set(row.key, row)
      return
    }
    removalDueAt.delete(entry.id)
    removed.delete(entry.id)
    if (state === undefined) {
      states.set(entry.id, createBackendState(entry, now))
      options.onListed(entry, undefined)
      log.event('backendListed', { backend: entry.id, service: entry.service, address: entry.address, failureDomain: entry.failureDomain, version: entry.version, state: entry.state })
      return
    }
    if (entry.state !== state.entry.state) log.event('backendStateChanged', { backend: entry.id, service: entry.service, state: entry.state })
    if (entry.startedAt !== state.entry.startedAt) {
      misdirected.delete(entry.id)
      resetProcessState(state)
      options.onRestarted(backendProcessOf(state.entry), backendProcessOf(entry))
    }
    if (entry.address !== state.entry.address) misdirected.delete(entry.id)
    const previous = state.entry
    state.entry = entry
    if (entry.startedAt !== 0 && backendProcessOf(previous) === backendProcessOf(entry) && (entry.sequence ?? 0) > (previous.sequence ?? Infinity)) options.onRenewed(backendProcessOf(entry), changedSince)
    options.onListed(entry, previous)
  }

  function applySnapshot (rows: readonly StoredRow[], responseContext: ResponseContext): void {
    const now = steadyNow()
    const listed = new Set(rows.map((row) => row.key))
    for (const id of doubtful.keys()) if (!listed.has(id)) doubtful.delete(id)
    for (const row of rows) applyRow(row, now, responseContext.changedSince)
    for (const id of [...states.keys()]) if (!listed.has(id)) removeOrDefer(id, now, responseContext)
  }

  function applyChanges (rows: readonly StoredRow[], responseContext: ResponseContext): void {
    const now = steadyNow()
    for (const row of rows) {
      if (row.deleted) removeOrDefer(row.key, now, responseContext)
      else applyRow(row, now, responseContext.changedSince)
    }
  }

  function applyDoubtful (now: number): void {
    if (isRestoredWithin(RESTORED_ENTRIES_MS, now)) return
    for (const row of [...doubtful.values()]) applyRow(row, now)
  }

  function mayGetRequests ({ entry }: BackendState): boolean {
    return entry.state === 'ready' && !misdirected.has(entry.id)
  }

  /** An entry that was written again since the last response is found by the next one. */
  function removeOverdue (): void {
    for (const [id, at] of removalDueAt) if (at <= follower.lastResponseAt) remove(id, 'entry did not return')
  }

  const follower = followTable({
    store: platform.store,
    log,
    table: platform.tables.backendServers.table,
    // Polls: entries are renewed all the time, so a long poll would return at once.
    waitMilliseconds: 0,
    pauseMilliseconds: options.drainMilliseconds / POLLS_PER_DRAIN_PERIOD,
    prefersFullRead: true,
    onSnapshot: applySnapshot,
    onChanges: applyChanges
  })

  return {
    candidates: (service, now) => {
      if (removalDueAt.size > 0) removeOverdue()
      if (doubtful.size > 0) applyDoubtful(now)
      const found: BackendState[] = []
      for (const state of states.values()) {
        if (state.entry.service === service && mayGetRequests(state)) found.push(state)
      }
      return found
    },
    byService: () => {
      const found = new Map<string, BackendState[]>()
      for (const state of states.values()) {
        if (!mayGetRequests(state)) continue
        const known = found.get(state.entry.service)
        if (known === undefined) found.set(state.entry.service, [state])
        else known.push(state)
      }
      return found
    },
    find: (id) => states.get(id),
    listed: () => follower.lastResponseAt === 0 ? undefined : [...states.values()],
    processes: () => new Set([...states.values()].map(({ entry }) => backendProcessOf(entry))),
    markMisdirected: (id) => {
      misdirected.add(id)
      log.event('backendMisplaced', { backend: id, address: states.get(id)?.entry.address })
    },
    follower,
    stop: () => follower.stop()
  }
}
