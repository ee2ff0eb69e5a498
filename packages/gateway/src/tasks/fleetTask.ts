import { steadyNow } from '../clock.js'
import { hashPair } from '../decisions/backendChoice.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'
import { followTable, type TableFollower } from './tableFollower.js'

/** Table of what instances tell each other; rows change rarely. */
const TABLE = 'fleet'
const PREFIX = { instance: 'instance/', shortage: 'shortage/', crash: 'crash/' } as const
/** Time that a call waits at the store for a change, milliseconds. */
const FEED_WAIT = 3000
/** Time that a write may take, milliseconds. */
const WRITE_TIME = 1000
/**
 * Instances that draw an account's tokens in advance. An instance that is cut off has only what it holds, so all of a
 * fleet of this size hold; with more, draws on one balance would conflict too often.
 */
const HOLDERS = 100
/** Holders that draw for others when many draw at once. */
const LEADS = 3
/** Instances of a fleet in which all draw for themselves, as few meet at one balance. */
const FLEET_WITHOUT_LEADS = 12
/** Interval at which gathered crash reports are written, milliseconds. */
const CRASH_INTERVAL = 200
/** Crash reports in one transaction, which holds at most 100 entries. */
const CRASHES_PER_WRITE = 50
/** Shortest time between two notes of shortage for one account, of whichever instance, milliseconds: each makes all instances read. */
const SHORTAGE_INTERVAL = 1500
/** Pause between two calls for changes, milliseconds, so that notes of a large fleet come in batches. */
const FEED_PAUSE = 200
/** Pause before the note of this instance's start is tried again, milliseconds. */
const REGISTER_PAUSE = 1000

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
  leads (account: string): readonly string[]
  /** Asks all instances to return what they hold of an account. */
  noteShortage (account: string): void
  reportCrash (fingerprint: string): void
  readonly follower: TableFollower
  /** Removes this instance from the list. */
  leave (): Promise<void>
}

/** What the task needs. */
export interface FleetTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly instanceId: string
  /** Unique for this start of the process. */
  readonly lifetimeId: string
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
  const shortagesNotedAt = new Map<string, number>()
  let crashes: string[] = []
  let crashCount = 0
  let stopped = false

  async function write (key: string, value: string): Promise<boolean> {
    const outcome = await store.transact({ expected: [], writes: [{ table: TABLE, part: '', key, value }], removals: [] }, steadyNow() + WRITE_TIME)
    if (outcome.kind === 'applied') return true
    log.decision('fleetNoteNotWritten', { key, outcome: outcome.kind })
    return false
  }

  function take (row: StoredRow): void {
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
      shortagesNotedAt.set(account, steadyNow())
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
    waitMilliseconds: FEED_WAIT,
    pauseMilliseconds: FEED_PAUSE,
    // Crash reports stay in the table.
    isSmall: false,
    // A shortage noted before this process started concerns tokens that it does not hold.
    onAll: (rows) => { for (const row of rows) if (!row.key.startsWith(PREFIX.shortage)) take(row) },
    onChanges: (rows) => { for (const row of rows) take(row) }
  })

  async function register (): Promise<void> {
    for (;;) {
      if (stopped || await write(`${PREFIX.instance}${options.instanceId}`, `${options.peerAddress} ${options.failureDomain}`)) return
      await new Promise((resolve) => setTimeout(resolve, REGISTER_PAUSE))
    }
  }

  function writeCrashes (): void {
    const batch = crashes.slice(0, CRASHES_PER_WRITE)
    crashes = crashes.slice(CRASHES_PER_WRITE)
    if (crashes.length > 0) setTimeout(writeCrashes, CRASH_INTERVAL)
    const writes = batch.map((key) => ({ table: TABLE, part: '', key, value: options.instanceId }))
    store.transact({ expected: [], writes, removals: [] }, steadyNow() + WRITE_TIME).then((outcome) => {
      if (outcome.kind !== 'applied') log.decision('crashReportsNotWritten', { count: batch.length, outcome: outcome.kind })
    }, (error: unknown) => log.warning('crashReportsFailed', { reason: String(error) }))
  }

  function reportCrash (fingerprint: string): void {
    crashCount++
    const key = `${PREFIX.crash}${fingerprint}/${options.lifetimeId}/${crashCount}`
    options.onCrash(fingerprint, key)
    crashes.push(key)
    if (crashes.length === 1) setTimeout(writeCrashes, CRASH_INTERVAL)
  }

  function holdersOf (account: string): readonly string[] {
    const known = holdersByAccount.get(account)
    if (known !== undefined) return known
    const holders = [...instances.keys()]
      .sort((left, right) => hashPair(account, right) - hashPair(account, left))
      .slice(0, HOLDERS)
    holdersByAccount.set(account, holders)
    return holders
  }

  register().catch((error: unknown) => log.warning('registrationFailed', { reason: String(error) }))
  return {
    get instances () { return Math.max(1, instances.size) },
    get peers () { return [...instances.values()].filter((peer) => peer.instanceId !== options.instanceId) },
    holders: holdersOf,
    leads: (account) => instances.size <= FLEET_WITHOUT_LEADS ? holdersOf(account) : holdersOf(account).slice(0, LEADS),
    noteShortage: (account) => {
      const now = steadyNow()
      if (now - (shortagesNotedAt.get(account) ?? 0) < SHORTAGE_INTERVAL) return
      shortagesNotedAt.set(account, now)
      log.event('shortageNoted', { account })
      write(`${PREFIX.shortage}${account}`, `${options.lifetimeId}/${now}`).catch((error: unknown) => log.warning('shortageNotWritten', { reason: String(error) }))
    },
    reportCrash,
    follower,
    leave: async () => {
      stopped = true
      follower.stop()
      await store.transact({ expected: [], writes: [], removals: [{ table: TABLE, part: '', key: `${PREFIX.instance}${options.instanceId}` }] }, steadyNow() + WRITE_TIME)
    }
  }
}
