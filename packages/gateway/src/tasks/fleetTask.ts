import { steadyNow } from '../clock.js'
import { hashPair } from '../decisions/backendChoice.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Table of what instances tell each other; rows change rarely. */
const TABLE = 'fleet'
const PREFIX = { instance: 'instance/', shortage: 'shortage/', crash: 'crash/' } as const
/** Time that a call waits at the store for a change, milliseconds. */
const LONG_POLL_MS = 3000
/** Time that a write may take, milliseconds. */
const WRITE_TIMEOUT_MS = 1000
/**
 * Instances that draw an account's tokens in advance. An instance that is cut off has only what it holds, so all of a
 * fleet of this size hold; with more, draws on one balance would conflict too often.
 */
const MAX_HOLDERS = 100
/** Holders that draw for others when many draw at once. */
const PRIMARY_HOLDERS = 3
/** Instances of a fleet in which all draw for themselves, as few meet at one balance. */
const MAX_FLEET_OF_PRIMARIES = 12
/** Interval at which gathered crash reports are written, milliseconds. */
const CRASH_REPORT_INTERVAL_MS = 200
/** Crash reports in one transaction, which holds at most 100 entries. */
const CRASH_REPORTS_PER_WRITE = 50
/** Shortest time between two notes of shortage for one account, of whichever instance, milliseconds: each makes all instances read. */
const MIN_SHORTAGE_INTERVAL_MS = 1500
/** Pause between two calls for changes, milliseconds, so that notes of a large fleet come in batches. */
const POLL_PAUSE_MS = 200
/** Pause before the note of this instance's start is tried again, milliseconds. */
const REGISTRATION_RETRY_MS = 1000

/** Another instance. */
export interface Peer {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
}

/** What instances tell each other through the store. */
export interface FleetTask {
  /** Instances that are listed, at least 1. */
  readonly instances: number
  /** The other instances. */
  readonly peers: readonly Peer[]
  /** Instances that draw an account's tokens in advance, the same at every instance that knows the same list. */
  holders (account: string): readonly string[]
  /** Those of them that draw for others when many draw at once; all in a small fleet. */
  primaryHolders (account: string): readonly string[]
  /** Asks all instances to return what they hold of an account. */
  announceShortage (account: string): void
  reportCrash (fingerprint: string): void
  readonly follower: TableFollower
  /** Removes this instance from the list. */
  deregister (): Promise<void>
}

/** What the task needs. */
export interface FleetTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly instanceId: string
  /** Unique for this start of the process. */
  readonly incarnationId: string
  /** Where peers reach this instance. */
  readonly peerAddress: string
  readonly failureDomain: string
  readonly onShortage: (account: string) => void
  readonly onCrash: (fingerprint: string, reportId: string) => void
}

/** Starts to follow and write the fleet's notes. */
export function startFleetTask (options: FleetTaskOptions): FleetTask {
  const { store, log } = options
  const instances = new Map<string, Peer>()
  const holdersByAccount = new Map<string, readonly string[]>()
  const shortageAnnouncedAt = new Map<string, number>()
  let pendingReports: string[] = []
  let reportSequence = 0
  let stopped = false

  async function write (key: string, value: string): Promise<boolean> {
    const outcome = await store.transact({ expected: [], writes: [{ table: TABLE, part: '', key, value }], removals: [] }, steadyNow() + WRITE_TIMEOUT_MS)
    if (outcome.kind === 'applied') return true
    log.decision('fleetNoteNotWritten', { key, outcome: outcome.kind })
    return false
  }

  function applyRow (row: StoredRow): void {
    if (row.key.startsWith(PREFIX.instance)) {
      const name = row.key.slice(PREFIX.instance.length)
      holdersByAccount.clear()
      const [address = '', failureDomain = ''] = row.value.split(' ')
      if (row.deleted) instances.delete(name)
      else instances.set(name, { instanceId: name, address, failureDomain })
      return
    }
    if (row.deleted) return
    if (row.key.startsWith(PREFIX.shortage)) {
      const account = row.key.slice(PREFIX.shortage.length)
      shortageAnnouncedAt.set(account, steadyNow())
      options.onShortage(account)
      return
    }
    if (row.key.startsWith(PREFIX.crash)) {
      const [fingerprint = ''] = row.key.slice(PREFIX.crash.length).split('/')
      options.onCrash(fingerprint, row.key)
    }
  }

  const follower = followTable({
    store,
    log,
    table: TABLE,
    waitMilliseconds: LONG_POLL_MS,
    pauseMilliseconds: POLL_PAUSE_MS,
    // Crash reports stay in the table.
    prefersFullRead: false,
    // A shortage noted before this process started concerns tokens that it does not hold.
    onSnapshot: (rows) => { for (const row of rows) if (!row.key.startsWith(PREFIX.shortage)) applyRow(row) },
    onChanges: (rows) => { for (const row of rows) applyRow(row) }
  })

  async function register (): Promise<void> {
    for (;;) {
      if (stopped || await write(`${PREFIX.instance}${options.instanceId}`, `${options.peerAddress} ${options.failureDomain}`)) return
      await new Promise((resolve) => setTimeout(resolve, REGISTRATION_RETRY_MS))
    }
  }

  function writeCrashes (): void {
    const batch = pendingReports.slice(0, CRASH_REPORTS_PER_WRITE)
    pendingReports = pendingReports.slice(CRASH_REPORTS_PER_WRITE)
    if (pendingReports.length > 0) setTimeout(writeCrashes, CRASH_REPORT_INTERVAL_MS)
    const writes = batch.map((key) => ({ table: TABLE, part: '', key, value: options.instanceId }))
    store.transact({ expected: [], writes, removals: [] }, steadyNow() + WRITE_TIMEOUT_MS).then((outcome) => {
      if (outcome.kind !== 'applied') log.decision('crashReportsNotWritten', { count: batch.length, outcome: outcome.kind })
    }, (error: unknown) => log.warning('crashReportsFailed', { reason: String(error) }))
  }

  function reportCrash (fingerprint: string): void {
    reportSequence++
    const key = `${PREFIX.crash}${fingerprint}/${options.incarnationId}/${reportSequence}`
    options.onCrash(fingerprint, key)
    pendingReports.push(key)
    if (pendingReports.length === 1) setTimeout(writeCrashes, CRASH_REPORT_INTERVAL_MS)
  }

  function holdersOf (account: string): readonly string[] {
    const known = holdersByAccount.get(account)
    if (known !== undefined) return known
    const holders = [...instances.keys()]
      .sort((left, right) => hashPair(account, right) - hashPair(account, left))
      .slice(0, MAX_HOLDERS)
    holdersByAccount.set(account, holders)
    return holders
  }

  register().catch((error: unknown) => log.warning('registrationFailed', { reason: String(error) }))
  return {
    get instances () { return Math.max(1, instances.size) },
    get peers () { return [...instances.values()].filter((peer) => peer.instanceId !== options.instanceId) },
    holders: holdersOf,
    primaryHolders: (account) => instances.size <= MAX_FLEET_OF_PRIMARIES ? holdersOf(account) : holdersOf(account).slice(0, PRIMARY_HOLDERS),
    announceShortage: (account) => {
      const now = steadyNow()
      if (now - (shortageAnnouncedAt.get(account) ?? 0) < MIN_SHORTAGE_INTERVAL_MS) return
      shortageAnnouncedAt.set(account, now)
      log.event('shortageNoted', { account })
      write(`${PREFIX.shortage}${account}`, `${options.incarnationId}/${now}`).catch((error: unknown) => log.warning('shortageNotWritten', { reason: String(error) }))
    },
    reportCrash,
    follower,
    deregister: async () => {
      stopped = true
      follower.stop()
      await store.transact({ expected: [], writes: [], removals: [{ table: TABLE, part: '', key: `${PREFIX.instance}${options.instanceId}` }] }, steadyNow() + WRITE_TIMEOUT_MS)
    }
  }
}
