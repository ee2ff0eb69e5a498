import { steadyNow } from '../clock.js'
import { prioritizeChanges, type BalanceChange } from '../decisions/balanceChanges.js'
import { loanAhead } from '../decisions/loanAhead.js'
import { grantChange, targetFreeTokens, usageAllowance, type GrantInput } from '../decisions/grantSizing.js'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import {
  BALANCES_PER_TRANSACTION_AT_STOP, CLOSE_CHECK_INTERVAL_MS, CONFLICT_CHECK_INTERVAL_MS, FAILURE_PAUSE_MS, GIVE_BACK_AT_STOP_MS, GIVE_BACK_DELAY_MS, LEASE_RENEWAL_AGE_MS, LEDGER_LOG_INTERVAL_MS, MAX_CONSECUTIVE_TRANSACTIONS, MAX_FAILED_LOAN_REQUESTS, MAX_LOAN_WAIT_MS, MAX_TOKEN_WAIT_MS, MAX_TOKEN_WAIT_WITHOUT_STORE_MS, MAX_TRANSACTIONS_AT_STOP, MAX_VISITOR_FREE_TOKENS, REPEATED_LOAN_PAUSE_MS, REVIEW_INTERVAL_MS, TRANSACTION_TIMEOUT_MS
} from './tokenTiming.js'
import { openBalanceTable } from './balanceTable.js'
import { createLeaseManager, type RenewalResult } from './leaseManager.js'
import type { LoanKind, LoanReply } from './peerMessages.js'
import { changeNotBefore, createAccountState, type AccountState, type TokenTask, type TokenTaskOptions, type WaitingRequest } from './tokenAccounts.js'
import { coveredMissingTokens, isRejectedAtOnce, missingTokens, rejectWaiting, serveWaiting, tokenRetryAt, unusedTokensAtMost, waitingTokens } from './waitingRequests.js'

/** Starts the task, which reviews all accounts at a fixed interval. */
export function startTokenTask (options: TokenTaskOptions): TokenTask {
  const { store, log } = options
  const accounts = new Map<string, AccountState>()
  const lease = createLeaseManager({
    table: openBalanceTable(store, options.instanceId, options.spansParts),
    log,
    incarnationId: options.incarnationId,
    accounts,
    stateOf,
    era: options.era,
    lossesSince: options.lossesSince,
    onRecovered: options.onRecovered,
    onLeaseRead: options.onLeaseRead,
    onTotals: options.onTotals
  })
  let isRunning = false
  let isRerunNeeded = false
  let isClosing = false
  let isAbandoned = false
  let trafficSince: number | undefined
  let ledgerLoggedAt = steadyNow()

  function stateOf (name: string): AccountState {
    const found = accounts.get(name)
    if (found !== undefined) return found
    const created = createAccountState(name, options.incarnationId, () => trafficSince ?? steadyNow())
    accounts.set(name, created)
    return created
  }

  /** After a restore a balance may be too low until all instances have recorded their draws again. */
  function isDrawingPaused (): boolean {
    return lease.isRecovering || !options.mayDraw()
  }

  function balanceChangeOf (state: AccountState): number {
    const change = wantedChangeOf(state)
    return lease.isRecovering || (change > 0 && isDrawingPaused()) ? 0 : change
  }

  function isAnnouncementDue (state: AccountState): boolean {
    return state.prepaid !== undefined && !isClosing && !isDrawingPaused() && drawsDirectly(state) && lease.isAnnouncementDue(state)
  }

  function wantedChangeOf (state: AccountState): number {
    const now = steadyNow()
    if (state.prepaid === undefined) return 0
    // Clears a request to return tokens when none are free; otherwise this instance would never draw again.
    if (state.isReturnRequested && state.ledger.free < 1) state.isReturnRequested = false
    if (state.isReturnRequested || isClosing) return -Math.max(0, Math.floor(state.ledger.free))
    if (missingTokens(state) === 0 && now < state.prefetchPausedUntil) return 0
    if (options.homeRank(state.name) === undefined) return visitorChange(state)
    return grantChange(grantInput(state, now))
  }

  function grantInput (state: AccountState, now: number): GrantInput {
    return { free: state.ledger.free, missingTokens: drawsDirectly(state) ? coveredMissingTokens(state, lease.drawable(state)) : 0, rate: state.ledger.rate(now), ungranted: lease.ungranted(state), drawable: lease.drawable(state), rank: options.homeRank(state.name) ?? 0 }
  }

  /** Balance changes that may be made now, in order of priority. */
  function dueChanges (now: number): readonly BalanceChange[] {
    return prioritizeChanges([...accounts.values()].map((state) => ({
      account: state.name,
      tokens: balanceChangeOf(state),
      isAnnouncement: isAnnouncementDue(state),
      waitingRequests: state.waiting.length,
      coverage: state.ledger.free / Math.max(1, targetFreeTokens(grantInput(state, now))),
      notBefore: changeNotBefore(state)
    })), now)
  }

  /** An instance that is not a home draws only after the homes lent nothing, and returns to the store what it holds of its own lease. */
  function visitorChange (state: AccountState): number {
    const missing = drawsDirectly(state) ? coveredMissingTokens(state, lease.drawable(state)) : 0
    if (missing > 0) return missing
    const isReturnDue = state.waiting.length === 0 && (isIdle(state) || state.ledger.free > MAX_VISITOR_FREE_TOKENS)
    return isReturnDue && state.ledger.held > 0 ? -Math.max(0, Math.floor(Math.min(state.ledger.free, state.ledger.held))) : 0
  }

  /** True when no request of the account waits, and none has used its tokens recently. */
  function isIdle (state: AccountState): boolean {
    return state.waiting.length === 0 && steadyNow() - state.usedAt >= GIVE_BACK_DELAY_MS
  }

  /** Renews the lease and changes up to `maximumBalances` balances. */
  async function renew (maximumBalances = 1): Promise<RenewalResult> {
    return isAbandoned ? 'failed' : await lease.renew(dueChanges(steadyNow()).slice(0, maximumBalances))
  }

  function serveAllWaiting (): void {
    const now = steadyNow()
    const timeSinceSeal = lease.timeSinceSeal()
    for (const state of accounts.values()) serveWaiting(state, timeSinceSeal, isStoreUnreachable(), now)
  }

  function isTransactionDue (): boolean {
    if (lease.isRecovering) return true
    const isRenewalDue = steadyNow() - lease.renewedAt >= LEASE_RENEWAL_AGE_MS
    for (const state of accounts.values()) {
      if (isRenewalDue && state.ledger.held > state.ledger.committed) return true
      if (state.waiting.length > 0 && drawsDirectly(state)) return true
      const remainingAllowance = state.ledger.limit - state.ledger.committed
      if (state.ledger.free > 0 && state.ledger.held > state.ledger.committed && remainingAllowance < usageAllowance(state.ledger.rate(steadyNow()), state.ledger.free, state.prepaid ?? 0) / 2) return true
    }
    return dueChanges(steadyNow()).length > 0
  }

  function drawsDirectly (state: AccountState): boolean {
    return options.homeRank(state.name) !== undefined || state.failedLoanRequests >= MAX_FAILED_LOAN_REQUESTS
  }

  async function runTransactions (): Promise<void> {
    for (let attempt = 0; attempt < MAX_CONSECUTIVE_TRANSACTIONS; attempt++) {
      const result = await renew()
      serveAllWaiting()
      if (result === 'failed') {
        await pause(FAILURE_PAUSE_MS)
        serveAllWaiting()
        return
      }
      while (dueChanges(steadyNow()).length === 0 && isDrawDeferred()) {
        if (!isRenewalAwaited() || await renew(0) !== 'done') await pause(CONFLICT_CHECK_INTERVAL_MS)
        serveAllWaiting()
      }
      if (result === 'done' && !lease.isRecovering && dueChanges(steadyNow()).length === 0) break
    }
    const shortAccounts = [...accounts.values()].filter((state) => state.waiting.length > 0 && drawsDirectly(state))
    if (shortAccounts.length === 0) return
    const shortages = shortAccounts.map((state) => ({ state, requests: new Set(state.waiting) }))
    await Promise.all(shortAccounts.map(borrowForShortage))
    await lease.readBalances(shortAccounts.map((state) => state.name))
    if (await renew() === 'conflict') await renew()
    serveAllWaiting()
    for (const { state, requests } of shortages) if (missingTokens(state) > lease.drawable(state)) rejectForShortage(state, requests)
  }

  /** True while callers wait for a draw that is backing off after a conflict. */
  function isDrawDeferred (): boolean {
    return [...accounts.values()].some((state) => state.waiting.length > 0 && changeNotBefore(state) > steadyNow())
  }

  /** True while callers wait although the free tokens cover them: a renewal makes these usable, without a draw. */
  function isRenewalAwaited (): boolean {
    return [...accounts.values()].some((state) => drawsDirectly(state) && state.waiting.some(({ tokens }) => tokens <= state.ledger.free))
  }

  /** Collects what the account's other homes hold, before its callers are rejected. */
  async function borrowForShortage (state: AccountState): Promise<void> {
    const missing = Math.ceil(missingTokens(state))
    if (missing <= lease.drawable(state) || state.isBorrowing) return
    const loan = await options.borrow(state.name, missing, 'partial', state.knownUse.report())
    if (loan.tokens > 0) takeBack(state.name, loan.tokens)
  }

  /** Rejects the requests that waited when the other homes were asked; for later ones they are asked again. */
  function rejectForShortage (state: AccountState, requests: ReadonlySet<WaitingRequest>): void {
    const rejected = state.waiting.filter((request) => requests.has(request))
    if (rejected.length === 0) return
    log.decision('balanceShort', { account: state.name, needed: missingTokens(state), prepaid: state.prepaid, granted: state.granted, knownUse: state.knownUse.total, rowVersion: state.balanceVersion, shortages: state.consecutiveShortages })
    rejectWaiting(state, rejected, steadyNow())
  }

  function pause (milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds))
  }

  /** Starts a series of transactions, or schedules another one when a series is running. */
  function startTransactions (): void {
    if (isAbandoned) return
    if (isRunning) {
      isRerunNeeded = true
      return
    }
    isRunning = true
    runTransactions()
      .catch((error: unknown) => log.warning('tokenTaskFailed', { reason: String(error) }))
      .finally(() => {
        isRunning = false
        if (!isRerunNeeded || isClosing) return
        isRerunNeeded = false
        if ([...accounts.values()].some((state) => state.waiting.length > 0 && drawsDirectly(state))) startTransactions()
      })
  }

  const timer = setInterval(() => {
    serveAllWaiting()
    giveBackLoans()
    logLedgers()
    if (accounts.size > 0 && isTransactionDue()) startTransactions()
  }, REVIEW_INTERVAL_MS)

  /** Gives back what is left of the loans of idle accounts, as tokens are found only at homes. */
  function giveBackLoans (): void {
    for (const state of accounts.values()) if (options.homeRank(state.name) === undefined && state.ledger.held <= 0 && isIdle(state)) giveBackFree(state)
  }

  /** The tokens leave the ledger first, so that a lost message loses tokens but never duplicates them. */
  function giveBackFree (state: AccountState): Promise<void> | undefined {
    const tokens = Math.floor(state.ledger.usable(lease.timeSinceSeal()))
    if (tokens <= 0 || !state.ledger.reserve(tokens, lease.timeSinceSeal())) return undefined
    state.ledger.settleTransferred(tokens)
    state.usedAt = steadyNow()
    return options.giveBack(state.name, tokens, state.knownUse.report()).catch((error: unknown) => log.warning('tokensNotGivenBack', { account: state.name, tokens, reason: String(error) }))
  }

  function logLedgers (): void {
    const now = steadyNow()
    if (now - ledgerLoggedAt < LEDGER_LOG_INTERVAL_MS) return
    ledgerLoggedAt = now
    for (const { name, ledger, knownUse, prepaid, granted } of accounts.values()) {
      if (ledger.held === 0 && ledger.free < 1 && ledger.reserved === 0) continue
      log.decision('tokenLedger', { account: name, rank: options.homeRank(name), held: ledger.held, free: Math.floor(ledger.free), reserved: ledger.reserved, committed: ledger.committed, limit: ledger.limit, inTransit: options.tokensInTransit(), granted, prepaid, ownUse: knownUse.report().own, knownUse: knownUse.total })
    }
  }

  function isStoreUnreachable (): boolean {
    return lease.isFailing || isDrawingPaused() || options.isStoreUnreachable()
  }

  /** Borrows what waiting requests lack from the account's other homes. */
  function borrowTokens (state: AccountState): void {
    const tokens = Math.ceil(waitingTokens(state) - Math.max(0, state.ledger.usable(lease.timeSinceSeal())))
    if (state.isBorrowing || tokens <= 0) return
    state.isBorrowing = true
    const requests = new Set(state.waiting)
    options.borrow(state.name, tokens, options.homeRank(state.name) === undefined ? 'whole' : 'partial', state.knownUse.report()).then((loan) => {
      state.failedLoanRequests = loan.tokens === 0 && !loan.isShort ? state.failedLoanRequests + 1 : 0
      if (loan.tokens > 0) {
        state.consecutiveShortages = 0
        takeBack(state.name, loan.tokens)
      }
      const rejected = state.waiting.filter((request) => requests.has(request))
      if (loan.isShort && rejected.length > 0) rejectWaiting(state, rejected, steadyNow())
      return loan.tokens > 0 ? 0 : REPEATED_LOAN_PAUSE_MS
    }).catch((error: unknown) => {
      log.warning('loanFailed', { account: state.name, reason: String(error) })
      return REPEATED_LOAN_PAUSE_MS
    }).then(async (pauseMilliseconds) => {
      if (state.waiting.length > 0 && pauseMilliseconds > 0) await pause(pauseMilliseconds)
      state.isBorrowing = false
      if (state.waiting.length > 0) obtainTokens(state)
    })
  }

  /** Borrows what the next requests will need, where the account has steady use and no grant. */
  function borrowAhead (state: AccountState): void {
    if (isClosing || state.isBorrowingAhead || options.homeRank(state.name) !== undefined) return
    const { tokens: neededTokens, requests: neededRequests } = state.demand.sum(steadyNow())
    const tokens = loanAhead({ neededTokens, neededRequests, usableTokens: state.ledger.usable(lease.timeSinceSeal()), unusedTokens: unusedTokensAtMost(state) })
    if (tokens === 0) return
    state.isBorrowingAhead = true
    options.borrow(state.name, tokens, 'partial', state.knownUse.report()).then((loan) => {
      log.decision('tokensBorrowedAhead', { account: state.name, asked: tokens, tokens: loan.tokens, neededRequests })
      if (loan.tokens > 0) takeBack(state.name, loan.tokens)
      return loan.tokens > 0 ? 0 : REPEATED_LOAN_PAUSE_MS
    }).catch((error: unknown) => {
      log.warning('loanFailed', { account: state.name, reason: String(error) })
      return REPEATED_LOAN_PAUSE_MS
    }).then(pause).finally(() => { state.isBorrowingAhead = false })
  }

  /** Obtains tokens for waiting requests, from the store or from other homes. */
  function obtainTokens (state: AccountState): void {
    if (drawsDirectly(state) && !isStoreUnreachable()) startTransactions()
    else borrowTokens(state)
  }

  function takeBack (name: string, tokens: number): void {
    const state = stateOf(name)
    state.ledger.addTransferred(tokens)
    state.usedAt = steadyNow()
    serveAllWaiting()
  }

  /** Gives all usable tokens to homes when the store does not take them back at the stop. */
  async function giveBackAll (): Promise<void> {
    const messages = [...accounts.values()].flatMap((state) => giveBackFree(state) ?? [])
    await Promise.race([Promise.all(messages), pause(GIVE_BACK_AT_STOP_MS)])
  }

  /** Lends what is usable, without drawing more. */
  function lendUsable (state: AccountState, tokens: number, kind: LoanKind): LoanReply {
    if (state.waiting.length > 0) return { tokens: 0, isShort: false }
    const usable = Math.floor(state.ledger.usable(lease.timeSinceSeal()))
    const lent = kind === 'whole' && usable < tokens ? 0 : Math.min(tokens, usable)
    if (lent <= 0 || !state.ledger.reserve(lent, lease.timeSinceSeal())) return { tokens: 0, isShort: false }
    // Counts as use of this home, so that its grant follows the demand of other instances.
    state.ledger.settle(lent, lent, steadyNow())
    return { tokens: lent, isShort: false }
  }

  async function lend (name: string, tokens: number, kind: LoanKind): Promise<LoanReply> {
    const state = accounts.get(name)
    if (state === undefined || state.prepaid === undefined || isClosing) return { tokens: 0, isShort: false }
    trafficSince ??= steadyNow()
    const reply = await lendFrom(state, tokens, kind)
    return { ...reply, use: state.knownUse.report() }
  }

  async function lendFrom (state: AccountState, tokens: number, kind: LoanKind): Promise<LoanReply> {
    if (isStoreUnreachable() || options.homeRank(state.name) === undefined) return lendUsable(state, tokens, kind)
    // Another home draws on the same balance itself and collects only what this one holds.
    const lent = kind === 'partial' ? Math.min(tokens, Math.floor(state.ledger.free)) : tokens
    if (lent <= 0) return { tokens: 0, isShort: false }
    const outcome = await reserveLimited(state, lent, steadyNow() + MAX_LOAN_WAIT_MS)
    if (outcome.kind !== 'reserved') return { tokens: 0, isShort: state.rejectUntil > steadyNow() }
    state.ledger.settle(lent, lent, steadyNow())
    return { tokens: lent, isShort: false }
  }

  function reserve (name: string, tokens: number, deadline: number): Promise<ReservationOutcome> {
    const state = stateOf(name)
    trafficSince ??= steadyNow()
    if (state.prepaid === undefined) return Promise.resolve({ kind: 'reserved' })
    state.demand.add(tokens, steadyNow())
    const outcome = reserveLimited(state, tokens, deadline)
    borrowAhead(state)
    return outcome
  }

  function reserveLimited (state: AccountState, tokens: number, deadline: number): Promise<ReservationOutcome> {
    if (state.waiting.length === 0 && state.ledger.reserve(tokens, lease.timeSinceSeal())) return Promise.resolve({ kind: 'reserved' })
    if (tokens > unusedTokensAtMost(state)) return Promise.resolve({ kind: 'exhausted' })
    if (isRejectedAtOnce(state, tokens, steadyNow())) return Promise.resolve({ kind: 'unavailable', retryAt: tokenRetryAt(state, steadyNow()) })
    return new Promise((resolve) => {
      const waitsUntil = Math.min(deadline, steadyNow() + MAX_TOKEN_WAIT_MS)
      state.waiting.push({ tokens, deadline: waitsUntil, resolve })
      obtainTokens(state)
      setTimeout(serveAllWaiting, MAX_TOKEN_WAIT_WITHOUT_STORE_MS)
      setTimeout(serveAllWaiting, waitsUntil - steadyNow())
    })
  }

  return {
    reserve,
    freeTokens: (name) => accounts.get(name)?.ledger.free ?? 0,
    settle: (name, reserved, used) => {
      const state = stateOf(name)
      if (state.prepaid === undefined) return
      state.ledger.settle(reserved, used, steadyNow())
      state.usedAt = steadyNow()
      if (state.waiting.length > 0) serveAllWaiting()
    },
    recordUse: (name, tokens) => stateOf(name).knownUse.add(tokens),
    receiveUse: (name, report) => stateOf(name).knownUse.receive(report),
    setPrepaid: (name, tokens) => {
      const state = stateOf(name)
      const previous = state.prepaid
      state.prepaid = tokens
      // Grants made from the larger balance may exceed the new one, so the free tokens are returned.
      if (tokens !== undefined && previous !== undefined && tokens < previous) state.isReturnRequested = true
      startTransactions()
    },
    lend,
    takeBack,
    learnPredecessor: lease.learnPredecessor,
    get isClosing () { return isClosing },
    abandon: () => {
      clearInterval(timer)
      isAbandoned = true
    },
    close: async () => {
      clearInterval(timer)
      isClosing = true
      // Waits for a running transaction, bounded by its timeout, as the next one depends on its outcome.
      const finishBy = steadyNow() + TRANSACTION_TIMEOUT_MS
      const isWorking = (): boolean => isRunning && steadyNow() < finishBy
      while (isWorking()) await pause(CLOSE_CHECK_INTERVAL_MS)
      for (let attempt = 0; attempt < MAX_TRANSACTIONS_AT_STOP; attempt++) {
        const result = await renew(BALANCES_PER_TRANSACTION_AT_STOP)
        if (result === 'failed') break
        if (result === 'done' && !lease.isRecovering && [...accounts.values()].every((state) => balanceChangeOf(state) === 0)) {
          lease.reportFinalTotals()
          return
        }
        if (dueChanges(steadyNow()).length === 0) await pause(CONFLICT_CHECK_INTERVAL_MS)
      }
      await giveBackAll()
      lease.reportFinalTotals()
    }
  }
}
