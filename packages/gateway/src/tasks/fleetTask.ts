import { steadyNow } from '../clock.js'
import { accountHomes } from '../decisions/accountHomes.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Table for messages between instances; its rows change rarely. */
const TABLE = 'fleet'
const PREFIX = { instance: 'instance/', crash: 'crash/' } as const
/** Time that a long poll waits for a change. */
const LONG_POLL_MS = 3000
const WRITE_TIMEOUT_MS = 1000
/** Crash reports are written in batches at this interval. */
const CRASH_REPORT_INTERVAL_MS = 200
/** A transaction of the store holds at most 100 entries. */
const CRASH_REPORTS_PER_WRITE = 50
/** Pause between two polls: each message wakes all instances, and neither crash reports nor members need to be known sooner. */
const POLL_PAUSE_MS = 1000
const REGISTRATION_RETRY_MS = 1000

/** Another instance. */
export interface Peer {
  readonly instanceId: string
  readonly address: string
  readonly failureDomain: string
  /** ID of its running process. */
  readonly incarnationId: string
}

/** Membership of the fleet and messages between instances, through the store. */
export interface FleetTask {
  /** Number of registered instances, at least 1. */
  readonly instances: number
  /** The other registered instances. */
  readonly peers: readonly Peer[]
  /** Homes of an account, in order of preference; may include this instance. */
  homes (account: string): readonly Peer[]
  /** The running process of an instance; undefined when it is not registered. */
  incarnationOf (instanceId: string): string | undefined
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
  readonly onCrash: (fingerprint: string, reportId: string) => void
}

/** Registers this instance and starts following the fleet table. */
export function startFleetTask (options: FleetTaskOptions): FleetTask {
  const { store, log } = options
  const instances = new Map<string, Peer>()
  const homesByAccount = new Map<string, readonly Peer[]>()
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
      homesByAccount.clear()
      const [address = '', failureDomain = '', incarnationId = ''] = row.value.split(' ')
      if (row.deleted) instances.delete(name)
      else instances.set(name, { instanceId: name, address, failureDomain, incarnationId })
      return
    }
    if (row.deleted) return
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
    onSnapshot: (rows) => { for (const row of rows) applyRow(row) },
    onChanges: (rows) => { for (const row of rows) applyRow(row) }
  })

  async function register (): Promise<void> {
    for (;;) {
      if (stopped || await writeRow(`${PREFIX.instance}${options.instanceId}`, `${options.peerAddress} ${options.failureDomain} ${options.incarnationId}`)) return
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

  function homesOf (account: string): readonly Peer[] {
    const known = homesByAccount.get(account)
    if (known !== undefined) return known
    const homes = accountHomes(account, instances.values())
    homesByAccount.set(account, homes)
    return homes
  }

  register().catch((error: unknown) => log.warning('registrationFailed', { reason: String(error) }))
  return {
    get instances () { return Math.max(1, instances.size) },
    get peers () { return [...instances.values()].filter((peer) => peer.instanceId !== options.instanceId) },
    homes: homesOf,
    incarnationOf: (instanceId) => instances.get(instanceId)?.incarnationId,
    reportCrash,
    follower,
    deregister: async () => {
      stopped = true
      follower.stop()
      await store.transact({ expected: [], writes: [], removals: [{ table: TABLE, part: '', key: `${PREFIX.instance}${options.instanceId}` }] }, steadyNow() + WRITE_TIMEOUT_MS)
    }
  }
}
