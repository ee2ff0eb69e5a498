import { steadyNow } from '../clock.js'
import { hashPair } from '../decisions/backendChoice.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Table for messages between instances; its rows change rarely. */
const TABLE = 'fleet'
const PREFIX = { instance: 'instance/', shortage: 'shortage/', crash: 'crash/' } as const
/** Time that a long poll waits for a change. */
const LONG_POLL_MS = 3000
const WRITE_TIMEOUT_MS = 1000
/**
 * Maximum number of instances that draw an account's tokens in advance. An instance that loses the store has only the
 * tokens that it holds, so in a fleet up to this size all hold some; with more, draws on one balance conflict too often.
 */
const MAX_HOLDERS = 100
/** Number of holders that draw the tokens callers wait for, on behalf of all instances. */
const PRIMARY_HOLDER_COUNT = 3
/** In a fleet up to this size each holder draws for itself, as few draws conflict on one balance. */
const MAX_INSTANCES_WITHOUT_PRIMARY_HOLDERS = 12
/** Crash reports are written in batches at this interval. */
const CRASH_REPORT_INTERVAL_MS = 200
/** A transaction of the store holds at most 100 entries. */
const CRASH_REPORTS_PER_WRITE = 50
/** Minimum interval of shortage announcements per account, over all instances: each one makes all instances read. */
const MIN_SHORTAGE_INTERVAL_MS = 1500
/** Pause between two polls, so that the messages of a large fleet arrive in batches. */
const POLL_PAUSE_MS = 200
const REGISTRATION_RETRY_MS = 1000

/** Another instance. */
export interface Peer {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
}

/** Membership of the fleet and messages between instances, through the store. */
export interface FleetTask {
  /** Number of registered instances, at least 1. */
  readonly instances: number
  /** The other registered instances. */
  readonly peers: readonly Peer[]
  /** IDs of the instances that draw an account's tokens in advance. All instances with the same list agree on them. */
  holders (account: string): readonly string[]
  /** IDs of the holders that draw the tokens callers wait for, on behalf of all instances; all holders in a small fleet. */
  primaryHolders (account: string): readonly string[]
  /** Asks all instances to return their free tokens of an account. */
  announceShortage (account: string): void
  reportCrash (fingerprint: string): void
  readonly follower: TableFollower
  /** Removes this instance from the list of instances. */
  deregister (): Promise<void>
}

/** Dependencies of the task. */
export interface FleetTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly instanceId: string
  /** Unique ID of this run of the process. */
  readonly incarnationId: string
  /** Address at which peers reach this instance. */
  readonly peerAddress: string
  readonly failureDomain: string
  readonly onShortage: (account: string) => void
  readonly onCrash: (fingerprint: string, reportId: string) => void
}

/** Registers this instance and starts following the fleet table. */
export function startFleetTask (options: FleetTaskOptions): FleetTask {
  const { store, log } = options
  const instances = new Map<string, Peer>()
  const holdersByAccount = new Map<string, readonly string[]>()
  const shortageAnnouncedAt = new Map<string, number>()
  let pendingReports: string[] = []
  let reportSequence = 0
  let stopped = false

  async function writeRow (key: string, value: string): Promise<boolean> {
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
    // Crash reports are never deleted, so the table grows large.
    prefersFullRead: false,
    // Shortages announced before this process started concern tokens that it does not hold.
    onSnapshot: (rows) => { for (const row of rows) if (!row.key.startsWith(PREFIX.shortage)) applyRow(row) },
    onChanges: (rows) => { for (const row of rows) applyRow(row) }
  })

  async function register (): Promise<void> {
    for (;;) {
      if (stopped || await writeRow(`${PREFIX.instance}${options.instanceId}`, `${options.peerAddress} ${options.failureDomain}`)) return
      await new Promise((resolve) => setTimeout(resolve, REGISTRATION_RETRY_MS))
    }
  }

  function writeCrashReports (): void {
    const batch = pendingReports.slice(0, CRASH_REPORTS_PER_WRITE)
    pendingReports = pendingReports.slice(CRASH_REPORTS_PER_WRITE)
    if (pendingReports.length > 0) setTimeout(writeCrashReports, CRASH_REPORT_INTERVAL_MS)
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
    if (pendingReports.length === 1) setTimeout(writeCrashReports, CRASH_REPORT_INTERVAL_MS)
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
    primaryHolders: (account) => instances.size <= MAX_INSTANCES_WITHOUT_PRIMARY_HOLDERS ? holdersOf(account) : holdersOf(account).slice(0, PRIMARY_HOLDER_COUNT),
    announceShortage: (account) => {
      const now = steadyNow()
      if (now - (shortageAnnouncedAt.get(account) ?? 0) < MIN_SHORTAGE_INTERVAL_MS) return
      shortageAnnouncedAt.set(account, now)
      log.event('shortageNoted', { account })
      writeRow(`${PREFIX.shortage}${account}`, `${options.incarnationId}/${now}`).catch((error: unknown) => log.warning('shortageNotWritten', { reason: String(error) }))
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
