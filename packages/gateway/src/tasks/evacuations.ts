import { assertNever } from '@quinceshunt/effects'
import { steadyNow } from '../clock.js'
import type { BackendState } from '../decisions/backendState.js'
import { createEvacuatedDomains, type EvacuationChange, type EvacuationRow } from '../decisions/evacuatedDomains.js'
import type { StoredRow, WireFormat } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import type { StoreEra } from './storeEra.js'

const REVIEW_INTERVAL_MS = 250
/** Unreadable rows that are remembered so that each is logged once; the oldest are forgotten first. */
const MAX_REMEMBERED_ROWS = 1000
const MAX_LOGGED_VALUE_LENGTH = 300

/** Failure domains to whose backend servers nothing may be sent. */
export interface Evacuations {
  /** Takes over all rows of the operators' table. */
  applySnapshot (rows: readonly StoredRow[]): void
  /** Takes over changed rows of the operators' table. */
  applyChanges (rows: readonly StoredRow[]): void
  isEvacuated (failureDomain: string): boolean
  readonly evacuated: readonly string[]
  /** False until the operators' table was read. */
  readonly hasBeenRead: boolean
  stop (): void
}

/** Dependencies of the evacuations. */
export interface EvacuationsOptions {
  readonly log: DecisionLog
  readonly era: StoreEra
  readonly wire: Pick<WireFormat, 'decodeEvacuation'>
  /** Prefix of the keys of evacuations in the operators' table. */
  readonly keyPrefix: string
  /** All backend servers that are listed; undefined until the list was read. */
  readonly listedBackends: () => readonly BackendState[] | undefined
  /** Time of the last successful response about the operators' table, by `steadyNow`. */
  readonly lastResponseAt: () => number
}

/** Creates the evacuations of one process; none is known until the table was read. */
export function createEvacuations (options: EvacuationsOptions): Evacuations {
  const { log, era, wire, keyPrefix } = options
  const domains = createEvacuatedDomains()
  const unreadableRows = new Set<string>()
  /** Evacuated domains that are reported as unknown. */
  const reportedDomains = new Set<string>()
  /** Attempts at each backend server when its domain was evacuated, by domain. */
  const attemptsBefore = new Map<string, ReadonlyMap<BackendState, number>>()
  let hasBeenRead = false

  function backendsIn (failureDomain: string): readonly BackendState[] {
    return (options.listedBackends() ?? []).filter(({ entry }) => entry.failureDomain === failureDomain)
  }

  function reportUnreadable (row: StoredRow, error: unknown): void {
    const id = `${row.key.slice(0, MAX_LOGGED_VALUE_LENGTH)}\n${row.value.slice(0, MAX_LOGGED_VALUE_LENGTH)}`
    if (unreadableRows.has(id)) return
    unreadableRows.add(id)
    const oldest = unreadableRows.values().next().value
    if (unreadableRows.size > MAX_REMEMBERED_ROWS && oldest !== undefined) unreadableRows.delete(oldest)
    log.warning('evacuationUnreadable', { key: row.key.slice(0, MAX_LOGGED_VALUE_LENGTH), value: row.value.slice(0, MAX_LOGGED_VALUE_LENGTH), rowVersion: row.version, reason: String(error).slice(0, 200) })
  }

  /** Decodes the rows of evacuations; other rows of the table are left out. */
  function decodeRows (rows: readonly StoredRow[]): { readonly rows: readonly EvacuationRow[], readonly unreadable: ReadonlySet<string> } {
    const decoded: EvacuationRow[] = []
    const unreadable = new Set<string>()
    for (const row of rows) {
      if (!row.key.startsWith(keyPrefix)) continue
      const failureDomain = row.key.slice(keyPrefix.length)
      try {
        if (!row.deleted) wire.decodeEvacuation(failureDomain, row.value)
        decoded.push({ failureDomain, rowVersion: row.version, isRemoved: row.deleted })
      } catch (error) {
        unreadable.add(failureDomain)
        reportUnreadable(row, error)
      }
    }
    return { rows: decoded, unreadable }
  }

  function report (change: EvacuationChange): void {
    const { failureDomain } = change
    const backends = backendsIn(failureDomain)
    switch (change.kind) {
      case 'evacuated':
        attemptsBefore.set(failureDomain, new Map(backends.map((backend) => [backend, backend.attempts])))
        log.event('failureDomainEvacuated', { failureDomain, rowVersion: change.rowVersion, backends: backends.length, pending: backends.reduce((sum, { pending }) => sum + pending.size, 0) })
        return
      case 'returned': {
        const before = attemptsBefore.get(failureDomain) ?? new Map<BackendState, number>()
        const sent = [...new Set([...before.keys(), ...backends])].reduce((sum, backend) => sum + backend.attempts - (before.get(backend) ?? 0), 0)
        attemptsBefore.delete(failureDomain)
        reportedDomains.delete(failureDomain)
        log.event('failureDomainReturned', { failureDomain, since: change.since, sent })
        return
      }
      default: assertNever(change)
    }
  }

  function reportUnknownDomains (): void {
    const listed = options.listedBackends()
    if (listed === undefined) return
    const known = new Set(listed.map(({ entry }) => entry.failureDomain))
    for (const failureDomain of domains.names) {
      if (known.has(failureDomain) || reportedDomains.has(failureDomain)) continue
      reportedDomains.add(failureDomain)
      log.warning('evacuationOfUnknownDomain', { failureDomain })
    }
  }

  function review (): void {
    for (const change of domains.endOverdue(options.lastResponseAt())) report(change)
    reportUnknownDomains()
  }

  let timer: NodeJS.Timeout | undefined

  /** Where nothing is evacuated, no timer runs. */
  function scheduleReview (): void {
    if (domains.names.length === 0) return
    timer ??= setTimeout(() => {
      timer = undefined
      review()
      scheduleReview()
    }, REVIEW_INTERVAL_MS).unref()
  }

  return {
    applySnapshot: (rows) => {
      hasBeenRead = true
      for (const change of domains.applySnapshot({ ...decodeRows(rows), restoredAt: era.restoredAt }, steadyNow())) report(change)
      scheduleReview()
    },
    applyChanges: (rows) => {
      for (const change of domains.applyChanges(decodeRows(rows).rows, steadyNow())) report(change)
      scheduleReview()
    },
    isEvacuated: (failureDomain) => domains.has(failureDomain),
    get evacuated () { return domains.names },
    get hasBeenRead () { return hasBeenRead },
    stop: () => clearTimeout(timer)
  }
}
