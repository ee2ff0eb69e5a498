import { steadyNow } from '../clock.js'
import { createBackendState, forgetLifetime, type BackendState } from '../decisions/backendState.js'
import type { BackendServerEntry } from '../fleetConfiguration.js'
import type { GatewayPlatform, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import { followTable, type Contact, type TableFollower } from './tableFollower.js'

/** Polls of the list within the time in which a leaving backend server must get nothing more; one of them may be lost. */
const POLLS_BEFORE_DRAIN = 3
/** Time without an answer after which missing entries may have lapsed with the store, milliseconds. */
const SUSPICIOUS_GAP = 2500
/** Time that a lapsed entry gets to return, milliseconds; entries are back within two seconds of the store's return. */
const LAPSE_GRACE = 1900

/** Keeps the backend servers that may get requests. */
export interface BackendTask {
  /** Those of a service that may get requests now. */
  candidates (service: string, now: number): readonly BackendState[]
  find (id: string): BackendState | undefined
  /** Another process answers at the entry's address. */
  markMisplaced (id: string): void
  readonly follower: TableFollower
  stop (): void
}

/** What the task needs. */
export interface BackendTaskOptions {
  readonly platform: GatewayPlatform
  readonly log: DecisionLog
  /** Longest time after which a leaving backend server still gets work, milliseconds. */
  readonly drainMilliseconds: number
  /** Told when nothing more is sent to a backend server, with the state that still counts its pending requests. */
  readonly onGone: (state: BackendState) => void
}

/** Starts to follow the platform's list of backend servers. */
export function startBackendTask (options: BackendTaskOptions): BackendTask {
  const { platform, log } = options
  const states = new Map<string, BackendState>()
  const lapsesAt = new Map<string, number>()
  const unreadable = new Set<string>()
  const misplaced = new Set<string>()

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
    lapsesAt.delete(id)
    misplaced.delete(id)
    log.event('backendGone', { backend: id, service: state.entry.service, reason, pending: state.pending.size })
    options.onGone(state)
  }

  function removeOrLapse (id: string, now: number, contact: Contact): void {
    if (!states.has(id)) return
    if (now - contact.previousAt < SUSPICIOUS_GAP) return remove(id, 'entry removed')
    if (!lapsesAt.has(id)) lapsesAt.set(id, now + LAPSE_GRACE)
  }

  function take (row: StoredRow, now: number): void {
    const entry = decode(row, now)
    if (entry === undefined) return remove(row.key, 'entry unreadable')
    lapsesAt.delete(entry.id)
    const state = states.get(entry.id)
    if (state === undefined) {
      states.set(entry.id, createBackendState(entry, now))
      log.event('backendListed', { backend: entry.id, service: entry.service, address: entry.address, failureDomain: entry.failureDomain, state: entry.state })
      return
    }
    if (entry.state !== state.entry.state) log.event('backendStateChanged', { backend: entry.id, service: entry.service, state: entry.state })
    if (entry.startedAt !== state.entry.startedAt) {
      misplaced.delete(entry.id)
      forgetLifetime(state)
    }
    if (entry.address !== state.entry.address) misplaced.delete(entry.id)
    state.entry = entry
  }

  function takeAll (rows: readonly StoredRow[], contact: Contact): void {
    const now = steadyNow()
    const listed = new Set(rows.map((row) => row.key))
    for (const row of rows) take(row, now)
    for (const id of [...states.keys()]) if (!listed.has(id)) removeOrLapse(id, now, contact)
  }

  function takeChanges (rows: readonly StoredRow[], contact: Contact): void {
    const now = steadyNow()
    for (const row of rows) {
      if (row.deleted) removeOrLapse(row.key, now, contact)
      else take(row, now)
    }
  }

  function removeLapsed (now: number): void {
    for (const [id, at] of lapsesAt) if (at <= now) remove(id, 'entry did not return')
  }

  const follower = followTable({
    store: platform.store,
    log,
    table: platform.tables.backendServers.table,
    // Entries are renewed all the time, so a call that waits for a change would return at once.
    waitMilliseconds: 0,
    pauseMilliseconds: options.drainMilliseconds / POLLS_BEFORE_DRAIN,
    isSmall: true,
    onAll: takeAll,
    onChanges: takeChanges
  })

  return {
    candidates: (service, now) => {
      if (lapsesAt.size > 0) removeLapsed(now)
      const found: BackendState[] = []
      for (const state of states.values()) {
        if (state.entry.service === service && state.entry.state === 'ready' && !misplaced.has(state.entry.id)) found.push(state)
      }
      return found
    },
    find: (id) => states.get(id),
    markMisplaced: (id) => {
      misplaced.add(id)
      log.event('backendMisplaced', { backend: id, address: states.get(id)?.entry.address })
    },
    follower,
    stop: () => follower.stop()
  }
}
