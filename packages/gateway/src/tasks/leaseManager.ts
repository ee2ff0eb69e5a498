import { steadyNow } from '../clock.js'
import { conflictRetryAt, type BalanceChange } from '../decisions/balanceChanges.js'
import { accountForDraws, announceCeiling, closedTokens, decodeDrawCeilings, MAX_COPY_AGE_MS, type DrawCeilings } from '../decisions/drawCeilings.js'
import { limitGrowthRate, usageAllowance } from '../decisions/grantSizing.js'
import { decodeLeaseRow, elapsedSinceSeal, reclaimableTokens, type LeaseRow } from '../decisions/leaseRow.js'
import { createRecordedTotals, type Adoption } from '../decisions/recordedTotals.js'
import type { StoredRow } from '../ports.js'
import type { BalanceTable, StoredLease } from './balanceTable.js'
import type { DecisionLog } from './decisionLog.js'
import type { StoreEra } from './storeEra.js'
import { NOT_DEFERRED, type AccountState, type LeaseTotals, type LeaseTransaction } from './tokenAccounts.js'
import { CORRECTIONS_PER_TRANSACTION, PREFETCH_PAUSE_AFTER_RETURN_MS, SEAL_DURATION_MS, TRANSACTION_TIMEOUT_AFTER_FAILURE_MS, TRANSACTION_TIMEOUT_MS } from './tokenTiming.js'
import { missingTokens, waitingTokens } from './waitingRequests.js'

/** Outcome of a renewal: applied, conflicting with another write, or rejected or left unanswered by the store. */
export type RenewalResult = 'done' | 'conflict' | 'failed'

/** Maintains this instance's lease in the store and the balances that change with it. Calls must not overlap. */
export interface LeaseManager {
  /** Renews the lease and applies the balance changes in the same transaction. */
  renew (changes: readonly BalanceChange[]): Promise<RenewalResult>
  /** Reads the balances again, as other instances may have returned tokens. */
  readBalances (names: readonly string[]): Promise<void>
  /** Tokens of an account that are neither granted nor withheld. */
  ungranted (state: AccountState): number
  /** Those of them that may be drawn now. */
  drawable (state: AccountState): number
  /** True when the use of an account comes near the tokens that may be drawn and a higher ceiling can be announced. */
  isAnnouncementDue (state: AccountState): boolean
  /** Milliseconds since the end of the seal, 0 while it lasts. */
  timeSinceSeal (): number
  /** Time of the last renewal, by `steadyNow`. */
  readonly renewedAt: number
  /** True from a failed renewal until the next successful one. */
  readonly isFailing: boolean
  /** True after a restore of the store until the balances hold again what this instance has drawn. */
  readonly isRecovering: boolean
  /** Takes over what a peer was told of the totals of this instance's last process. */
  learnPredecessor (lifetime: string, told: LeaseTotals): void
  /** Reports the totals for the last time. */
  reportFinalTotals (): void
}

/** Dependencies of the lease manager. */
export interface LeaseManagerOptions {
  readonly table: BalanceTable
  readonly log: DecisionLog
  /** Unique ID of this run of the process. */
  readonly incarnationId: string
  readonly accounts: ReadonlyMap<string, AccountState>
  readonly stateOf: (name: string) => AccountState
  readonly era: StoreEra
  readonly lossesSince: (era: number | undefined) => number
  readonly onRecovered: (isComplete: boolean) => void
  readonly onLeaseRead: (hasMissedRestore: boolean) => void
  readonly onTotals: (totals: LeaseTotals) => void
}

/** Creates the lease manager and starts reading the lease of the instance's previous process. */
export function createLeaseManager (options: LeaseManagerOptions): LeaseManager {
  const { table, log, incarnationId, accounts, stateOf, era } = options
  const startedAt = steadyNow()
  const recorded = createRecordedTotals({ heldTokens: (name) => accounts.get(name)?.ledger.held ?? 0, accounts: () => accounts.keys() })
  let storedLease: StoredLease | undefined
  /** False at the start and after a restore, until the lease row was read. */
  let isLeaseRead = false
  /** True from a restore until all totals are recorded again. */
  let isRestored = false
  let sequence = 0
  let reportedTotals = ''
  /** Process whose lease this one took over in full. */
  let lastProcess: string | undefined
  /** Lease row of this instance's previous process, until its tokens are reclaimed, and an upper bound of the store time at which that process ended. */
  let predecessorLease: { readonly row: LeaseRow, readonly endedBy: number } | undefined
  /** Transactions without a reply. They expect the same lease version, so at most one of them can take effect. */
  let unresolved: LeaseTransaction[] = []
  /** False after a restore: the store's clock may have gone back with its rows. */
  let isClockValid = true
  let storeClock: { readonly time: number, readonly at: number } | undefined
  let sealedUntil = 0
  let renewedAt = 0
  let failedAt = 0

  /** Lower bound of the store time: replies take time to arrive, and the clock stands still while the process is suspended. */
  function storeTime (): number {
    return storeClock === undefined ? 0 : storeClock.time + steadyNow() - storeClock.at
  }

  function timeSinceSeal (): number {
    return elapsedSinceSeal(sealedUntil, storeTime())
  }

  function updateStoreClock (time: number): void {
    if (storeClock === undefined || !isClockValid || time > storeTime()) storeClock = { time, at: steadyNow() }
    isClockValid = true
  }

  /**
   * Upper bound of the store time at which this process started, from a response to a call. The previous process had ended
   * by then, also when the store could not be read for some time. The bound holds if this process was suspended meanwhile.
   */
  function storeTimeAtStart (time: number, callStartedAt: number): number {
    return time - (callStartedAt - startedAt)
  }

  /** While renewals fail the seal is not extended: each attempt may still take effect, and the allowance would not last that long. */
  function nextSealEnd (): number {
    return failedAt === 0 ? storeTime() + SEAL_DURATION_MS : sealedUntil
  }

  function ceilingsOf (state: AccountState): DrawCeilings {
    return accountForDraws(state.ceilings, { era: era.current, prepaid: state.prepaid ?? 0, granted: state.granted, losses: state.ceilings?.era === era.current && state.ceilings !== undefined ? 0 : options.lossesSince(state.ceilings?.era) })
  }

  function ungranted (state: AccountState): number {
    return Math.max(0, (state.prepaid ?? 0) - state.granted - ceilingsOf(state).withheld)
  }

  function drawable (state: AccountState): number {
    // The restores of a store that names no era can't be noticed, so that closed tokens would never be of use.
    return Math.max(0, ungranted(state) - (era.current === undefined ? 0 : closedTokens(ceilingsOf(state), storeTime())))
  }

  /** Ceilings after a draw of `tokens`. */
  function nextCeilings (state: AccountState, tokens: number): DrawCeilings {
    return announceCeiling(ceilingsOf(state), { ungranted: ungranted(state) - tokens, rate: state.ledger.rate(steadyNow()), missingTokens: missingTokens(state), storeTime: storeTime() })
  }

  /** Composes the next transaction. Returned tokens leave the ledgers and lower limits apply at once. */
  function composeTransaction (dueChanges: readonly BalanceChange[]): LeaseTransaction {
    const reclaimed = predecessorLease === undefined ? new Map<string, number>() : reclaimableTokens(predecessorLease.row, predecessorLease.endedBy)
    for (const name of reclaimed.keys()) stateOf(name)
    const rows: LeaseRow['accounts'] = {}
    const now = steadyNow()
    // The balances are corrected first, as draws are sized by what they hold.
    const corrections = recorded.corrections(CORRECTIONS_PER_TRANSACTION)
    for (const name of recorded.names()) stateOf(name)
    const changes = new Map(corrections.size > 0 ? [] : dueChanges.map((change) => [change.account, change.tokens]))
    for (const state of accounts.values()) {
      const change = changes.get(state.name) ?? 0
      // Returned tokens leave the ledger before the transaction is sent, so that they are never in two places.
      if (change < 0) state.ledger.removeGranted(-change)
      const addedTokens = Math.max(0, change) + (reclaimed.get(state.name) ?? 0)
      const freeTokens = Math.max(0, state.ledger.free + addedTokens)
      const allowance = Math.max(usageAllowance(state.ledger.rate(now), freeTokens, state.prepaid ?? 0) + waitingTokens(state), failedAt === 0 ? 0 : state.ledger.limit - state.ledger.committed)
      const limit = state.ledger.committed + Math.min(freeTokens, allowance)
      // After a failure the limit and its growth rate stay, as they apply to all the time since the seal.
      const growthRate = failedAt === 0 ? limitGrowthRate(state.ledger.rate(now), state.ledger.committed + freeTokens - limit) : state.ledger.limitGrowthRate
      state.ledger.proposeLimit(limit, growthRate)
      // The next process reclaims only tokens that the balance holds.
      const unrecorded = recorded.unrecorded(state.name) - (corrections.get(state.name) ?? 0)
      const held = Math.max(0, state.ledger.held + addedTokens - Math.max(0, unrecorded))
      const total = recorded.total(state.name) + Math.max(0, change) - unrecorded
      if (held !== 0 || total !== 0 || unrecorded !== 0) rows[state.name] = { held, limit, opening: growthRate, total, ...(unrecorded === 0 ? {} : { unrecorded }) }
    }
    sequence++
    const row: LeaseRow = { lifetime: incarnationId, sequence, era: era.current, sealedUntil: nextSealEnd(), accounts: rows }
    sealedUntil = Math.max(sealedUntil, row.sealedUntil)
    const ceilings = new Map([...changes].filter(([, change]) => change >= 0 && era.current !== undefined).map(([name, change]) => [name, nextCeilings(stateOf(name), change)]))
    return { row, changes, corrections, reclaimed, ceilings }
  }

  /** Applies a transaction that took effect to the ledgers. `isCompared`: the totals were already compared with the row that it wrote. */
  function applyTransaction (transaction: LeaseTransaction, isCompared = false): void {
    for (const [name, change] of transaction.changes) {
      const state = stateOf(name)
      if (change > 0) {
        state.ledger.addGranted(change)
        state.failedLoanRequests = 0
        state.consecutiveShortages = 0
      }
      state.granted += change
      if (change < 0 && state.isReturnRequested) {
        state.isReturnRequested = false
        state.prefetchPausedUntil = steadyNow() + PREFETCH_PAUSE_AFTER_RETURN_MS
      }
      log.decision('tokensMoved', { account: name, tokens: change, granted: state.granted, prepaid: state.prepaid, free: state.ledger.free, sequence: transaction.row.sequence })
    }
    for (const [name, tokens] of transaction.corrections) {
      if (!isCompared) recorded.addCorrection(name, tokens)
      stateOf(name).granted += tokens
      log.event('balanceCorrected', { account: name, tokens, granted: stateOf(name).granted, prepaid: stateOf(name).prepaid, sequence: transaction.row.sequence })
    }
    for (const [name, tokens] of transaction.reclaimed) {
      recorded.reclaim(name, tokens)
      stateOf(name).ledger.addGranted(tokens)
      log.event('tokensReclaimed', { account: name, tokens, ...predecessorLease?.row.accounts[name], from: predecessorLease?.row.lifetime, sealedUntil: predecessorLease?.row.sealedUntil, endedBy: predecessorLease?.endedBy })
    }
    for (const [name, { limit, opening }] of Object.entries(transaction.row.accounts)) stateOf(name).ledger.confirmLimit(limit, opening)
    predecessorLease = undefined
    reportTotals(false)
    if (!isRestored || recorded.isIncomplete) return
    isRestored = false
    options.onRecovered(recorded.isComplete)
  }

  function describeUnrecorded (): string {
    return [...recorded.corrections(Infinity)].map(([name, tokens]) => `${name}:${tokens}`).join(',')
  }

  /** Reports the totals when they have changed. */
  function reportTotals (isFinal: boolean): void {
    const totals = Object.fromEntries(recorded.names().map((name) => [name, recorded.total(name)]).filter(([, total]) => total !== 0))
    const text = JSON.stringify([lastProcess, totals])
    if (text === reportedTotals && !isFinal) return
    reportedTotals = text
    options.onTotals({ sequence, isFinal, after: lastProcess, totals })
  }

  /** Restores the tokens that a transaction was to return, once it can no longer take effect. */
  function rollBack (transaction: LeaseTransaction): void {
    for (const [name, change] of transaction.changes) if (change < 0) stateOf(name).ledger.addGranted(-change)
  }

  /** `endedBy` is an upper bound of the store time at which the previous process ended. */
  function processLeaseRow (row: StoredRow | undefined, endedBy: number): void {
    const stored = row === undefined || row.version === 0 ? undefined : { key: row.key, version: row.version }
    // The conflict was over another row, so that a transaction without a reply may still take effect.
    if (stored?.version === storedLease?.version && stored?.key === storedLease?.key && unresolved.length > 0) return
    storedLease = stored
    const lease = row === undefined || stored === undefined ? undefined : parseLeaseRow(row)
    const isCompared = takeOverTotals(lease, endedBy) === 'restored'
    const earlier = unresolved
    unresolved = []
    for (const transaction of earlier) {
      const tookEffect = lease?.lifetime === incarnationId && lease.sequence === transaction.row.sequence
      log.event('leaseWriteResolved', { sequence: transaction.row.sequence, tookEffect })
      if (tookEffect) applyTransaction(transaction, isCompared)
      else rollBack(transaction)
    }
  }

  /** Compares the lease row with what this process knows of the instance's tokens. */
  function takeOverTotals (lease: LeaseRow | undefined, endedBy: number): Adoption {
    const isOutdated = lease !== undefined && lease.era !== era.current
    const adoption = recorded.adopt(lease, { isOutdated: isOutdated || isRestored, isOwn: lease?.lifetime === incarnationId })
    if (adoption !== 'unchanged') log.event('leaseTakenOver', { adoption, from: lease?.lifetime, sequence: lease?.sequence, rowEra: lease?.era, era: era.current, unrecorded: describeUnrecorded() })
    // A write of the previous process may take effect after its row was read. The newer row replaces it, as that write may have returned tokens.
    if (lease !== undefined && adoption === 'predecessor') {
      predecessorLease = { row: lease, endedBy }
      lastProcess = lease.lifetime
    }
    if (adoption === 'outdatedPredecessor') predecessorLease = undefined
    const hasMissedRestore = adoption === 'outdatedPredecessor' || (adoption === 'predecessor' && recorded.isIncomplete)
    if (hasMissedRestore) isRestored = true
    options.onLeaseRead(hasMissedRestore)
    return adoption
  }

  /** After a restore nothing is known of the rows; returns that were under way stay out of the ledgers, as they may be in the copy. */
  function forgetRows (): void {
    unresolved = []
    predecessorLease = undefined
    storedLease = undefined
    isClockValid = false
    isLeaseRead = false
    isRestored = true
    renewedAt = 0
    for (const state of accounts.values()) Object.assign(state, { balanceVersion: 0, granted: 0, ceilings: undefined, ceilingsVersion: 0, nextChangeAt: NOT_DEFERRED })
  }

  function parseLeaseRow (row: StoredRow): LeaseRow | undefined {
    try {
      return decodeLeaseRow(row.value)
    } catch (error) {
      log.warning('leaseUnreadable', { rowVersion: row.version, reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  function parseCeilings (row: StoredRow): DrawCeilings | undefined {
    try {
      return decodeDrawCeilings(row.value)
    } catch (error) {
      log.warning('ceilingsUnreadable', { rowVersion: row.version, reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  function updateBalances (names: Iterable<string>, rows: readonly StoredRow[]): void {
    for (const name of names) {
      const row = table.findBalanceRow(rows, name)
      const state = stateOf(name)
      state.balanceVersion = row === undefined || row.deleted ? 0 : row.version
      state.granted = row === undefined || row.deleted || row.version === 0 ? 0 : Number(row.value)
      const ceilingsRow = table.findCeilingsRow(rows, name)
      state.ceilingsVersion = ceilingsRow?.version ?? 0
      state.ceilings = ceilingsRow === undefined || ceilingsRow.version === 0 ? undefined : parseCeilings(ceilingsRow)
    }
  }

  async function renew (dueChanges: readonly BalanceChange[]): Promise<RenewalResult> {
    if (!isLeaseRead) {
      // Whether draws are allowed depends on the row, so the due changes are computed again.
      if (await readLease()) return 'conflict'
      recordFailure('the lease row was not read')
      return 'failed'
    }
    const transaction = composeTransaction(dueChanges)
    const changedAccounts = [...transaction.changes.keys(), ...transaction.corrections.keys()]
    const balances = new Map(changedAccounts.map((name) => [name, stateOf(name)]))
    const callStartedAt = steadyNow()
    const outcome = await table.transact(transaction, storedLease, balances, steadyNow() + (failedAt === 0 ? TRANSACTION_TIMEOUT_MS : TRANSACTION_TIMEOUT_AFTER_FAILURE_MS))
    switch (outcome.kind) {
      case 'applied':
        updateStoreClock(outcome.storeTime)
        // No unresolved transaction took effect: they expected the lease version at which this one was applied.
        for (const earlier of unresolved) rollBack(earlier)
        unresolved = []
        recorded.confirm()
        storedLease = { key: table.leaseKey(transaction.row.era), version: outcome.version }
        for (const name of changedAccounts) {
          const state = stateOf(name)
          state.balanceVersion = outcome.version
          const ceilings = transaction.ceilings.get(name)
          if (ceilings === undefined) continue
          if (ceilings.withheld > (state.ceilings?.withheld ?? 0)) log.event('tokensWithheld', { account: name, tokens: ceilings.withheld, granted: state.granted, prepaid: state.prepaid, rowEra: state.ceilings?.era, era: ceilings.era })
          Object.assign(state, { ceilings, ceilingsVersion: outcome.version })
          state.nextChangeAt = NOT_DEFERRED
        }
        applyTransaction(transaction)
        renewedAt = steadyNow()
        failedAt = 0
        return 'done'
      case 'conflict':
        updateStoreClock(outcome.storeTime)
        rollBack(transaction)
        processLeaseRow(table.findLeaseRow(outcome.rows), storeTimeAtStart(outcome.storeTime, callStartedAt))
        updateBalances(changedAccounts, outcome.rows)
        for (const name of transaction.changes.keys()) deferChange(stateOf(name), steadyNow() - callStartedAt)
        return 'conflict'
      case 'refused':
        rollBack(transaction)
        recordFailure(outcome.reason)
        return 'failed'
      case 'unknown':
        unresolved.push(transaction)
        recordFailure(outcome.reason)
        return 'failed'
      case 'superseded':
        // The restored rows tell whether it took effect.
        return 'conflict'
    }
  }

  function deferChange (state: AccountState, transactionMilliseconds: number): void {
    const [now, random] = [steadyNow(), Math.random()]
    // Callers may begin to wait during a backoff for a draw in advance.
    state.nextChangeAt = { needed: conflictRetryAt(true, transactionMilliseconds, now, random), inAdvance: conflictRetryAt(false, transactionMilliseconds, now, random) }
  }

  function recordFailure (reason: string): void {
    if (failedAt === 0) log.event('leaseNotRenewed', { reason, renewedAt, sealedUntil, storeTime: storeTime() })
    failedAt = steadyNow()
  }

  async function readBalances (names: readonly string[]): Promise<void> {
    for (const name of names) {
      const outcome = await table.readBalance(name, steadyNow() + TRANSACTION_TIMEOUT_MS)
      if (outcome.kind !== 'rows') {
        log.decision('balanceNotRead', { account: name, outcome: outcome.kind })
        return
      }
      updateBalances([name], outcome.rows)
    }
  }

  /** Reads the lease row; false when the store did not return it. */
  async function readLease (): Promise<boolean> {
    const callStartedAt = steadyNow()
    const outcome = await table.readLease(steadyNow() + TRANSACTION_TIMEOUT_MS)
    if (outcome.kind !== 'rows') return false
    if (isLeaseRead) return true
    updateStoreClock(outcome.storeTime)
    processLeaseRow(table.findLeaseRow(outcome.rows), storeTimeAtStart(outcome.storeTime, callStartedAt))
    isLeaseRead = true
    return true
  }

  era.onRestored(forgetRows)
  // As early as possible, as the seal of the previous process's lease ends soon.
  readLease().catch((error: unknown) => log.warning('leaseNotRead', { reason: String(error) }))

  return {
    renew,
    readBalances,
    ungranted,
    drawable,
    isAnnouncementDue: (state) => era.current !== undefined && drawable(state) < Math.max(missingTokens(state), state.ledger.rate(steadyNow()) * MAX_COPY_AGE_MS) && nextCeilings(state, 0) !== ceilingsOf(state),
    timeSinceSeal,
    get renewedAt () { return renewedAt },
    get isFailing () { return failedAt > 0 },
    get isRecovering () { return isRestored },
    learnPredecessor: (lifetime, told) => {
      const wasComplete = recorded.isComplete
      if (recorded.learnPredecessor(lifetime, told)) log.event('predecessorLearned', { lifetime, sequence: told.sequence, unrecorded: describeUnrecorded() })
      if (recorded.isComplete && !wasComplete) {
        lastProcess = lifetime
        isRestored = true
      }
      isRestored ||= recorded.isIncomplete
    },
    reportFinalTotals: () => reportTotals(true)
  }
}
