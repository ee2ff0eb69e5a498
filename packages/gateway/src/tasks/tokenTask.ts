import { steadyNow } from '../clock.js'
import { prioritizeChanges, type BalanceChange } from '../decisions/balanceChanges.js'
import { grantChange, targetFreeTokens, usageAllowance, type GrantInput } from '../decisions/grantSizing.js'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import {
  BALANCES_PER_TRANSACTION_AT_STOP, CLOSE_CHECK_INTERVAL_MS, CONFLICT_CHECK_INTERVAL_MS, FAILURE_PAUSE_MS, LEASE_RENEWAL_AGE_MS, MAX_CONSECUTIVE_TRANSACTIONS, MAX_FAILED_TRANSFER_REQUESTS, MAX_NON_HOLDER_FREE_TOKENS, MAX_TOKEN_WAIT_MS, MAX_TOKEN_WAIT_WITHOUT_STORE_MS, MAX_TRANSACTIONS_AT_STOP, MAX_TRANSFER_WAIT_MS, OWN_USE_RESERVE_MS, REVIEW_INTERVAL_MS, SHORTAGE_PAUSE_MS, TRANSACTION_TIMEOUT_MS
} from './tokenTiming.js'
import { openBalanceTable } from './balanceTable.js'
import { createLeaseManager, type RenewalResult } from './leaseManager.js'
import { createAccountState, type AccountState, type TokenTask, type TokenTaskOptions } from './tokenAccounts.js'
import { drawableTokens, missingTokens, rejectWaiting, serveWaiting, tokenRetryAt, ungrantedTokens, waitingTokens } from './waitingRequests.js'

/** Starts the task, which reviews all accounts at a fixed interval. */
export function startTokenTask (options: TokenTaskOptions): TokenTask {
  const { store, log } = options
  const accounts = new Map<string, AccountState>()
  const lease = createLeaseManager({ table: openBalanceTable(store, options.instanceId, options.spansParts), log, incarnationId: options.incarnationId, accounts, stateOf })
  let isRunning = false
  let isRerunNeeded = false
  let isClosing = false
  let isAbandoned = false
  let trafficSince: number | undefined

  function stateOf (name: string): AccountState {
    const found = accounts.get(name)
    if (found !== undefined) return found
    const created = createAccountState(name, () => trafficSince ?? steadyNow())
    accounts.set(name, created)
    return created
  }

  function balanceChangeOf (state: AccountState): number {
    const now = steadyNow()
    if (state.prepaid === undefined) return 0
    // Clears a request to return tokens when none are free; otherwise this instance would never draw again.
    if (state.isReturnRequested && state.ledger.free < 1) state.isReturnRequested = false
    if (state.isReturnRequested || isClosing) return -Math.max(0, Math.floor(state.ledger.free))
    if (missingTokens(state) === 0 && now < state.prefetchPausedUntil) return 0
    if (!options.isHolder(state.name)) return nonHolderChange(state)
    return grantChange(grantInput(state, now))
  }

  function grantInput (state: AccountState, now: number): GrantInput {
    return { free: state.ledger.free, missingTokens: drawsDirectly(state) ? drawableTokens(state) : 0, rate: state.ledger.rate(now), ungranted: ungrantedTokens(state), instances: options.instances() }
  }

  /** Balance changes that may be made now, in order of priority. */
  function dueChanges (now: number): readonly BalanceChange[] {
    return prioritizeChanges([...accounts.values()].map((state) => ({
      account: state.name,
      tokens: balanceChangeOf(state),
      waitingRequests: state.waiting.length,
      coverage: state.ledger.free / Math.max(1, targetFreeTokens(grantInput(state, now))),
      notBefore: state.nextChangeAt
    })), now)
  }

  /** An instance that is not a holder draws only after its requests to holders yielded nothing, and returns surplus tokens. */
  function nonHolderChange (state: AccountState): number {
    const missing = drawsDirectly(state) ? drawableTokens(state) : 0
    if (missing > 0) return missing
    return state.waiting.length === 0 && state.ledger.free > MAX_NON_HOLDER_FREE_TOKENS ? -Math.floor(state.ledger.free) : 0
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
    const isRenewalDue = steadyNow() - lease.renewedAt >= LEASE_RENEWAL_AGE_MS
    for (const state of accounts.values()) {
      if (isRenewalDue && state.ledger.held > state.ledger.committed) return true
      if (state.waiting.length > 0 && drawsDirectly(state)) return true
      const remainingAllowance = state.ledger.limit - state.ledger.committed
      if (state.ledger.free > 0 && remainingAllowance < usageAllowance(state.ledger.rate(steadyNow()), state.ledger.free, state.prepaid ?? 0) / 2) return true
    }
    return dueChanges(steadyNow()).length > 0
  }

  function drawsDirectly (state: AccountState): boolean {
    return state.failedTransferRequests >= MAX_FAILED_TRANSFER_REQUESTS || options.isPrimaryHolder(state.name)
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
      while (dueChanges(steadyNow()).length === 0 && isDrawDeferred()) await pause(CONFLICT_CHECK_INTERVAL_MS)
      if (result === 'done' && dueChanges(steadyNow()).length === 0) break
    }
    const shortAccounts = [...accounts.values()].filter((state) => state.waiting.length > 0 && drawsDirectly(state))
    if (shortAccounts.length === 0) return
    for (const state of shortAccounts) if (missingTokens(state) > ungrantedTokens(state)) options.announceShortage(state.name)
    await pause(SHORTAGE_PAUSE_MS)
    await lease.readBalances(shortAccounts.map((state) => state.name))
    if (await renew() === 'conflict') await renew()
    serveAllWaiting()
    for (const state of shortAccounts) if (missingTokens(state) > ungrantedTokens(state)) rejectForShortage(state)
  }

  /** True while callers wait for a draw that is backing off after a conflict. */
  function isDrawDeferred (): boolean {
    return [...accounts.values()].some((state) => state.waiting.length > 0 && state.nextChangeAt > steadyNow())
  }

  function rejectForShortage (state: AccountState): void {
    log.decision('balanceShort', { account: state.name, needed: missingTokens(state), prepaid: state.prepaid, granted: state.granted, rowVersion: state.balanceVersion, shortages: state.consecutiveShortages })
    rejectWaiting(state, steadyNow())
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
    if (accounts.size > 0 && isTransactionDue()) startTransactions()
  }, REVIEW_INTERVAL_MS)

  function isStoreUnreachable (): boolean {
    return lease.isFailing || options.isStoreUnreachable()
  }

  /** Requests tokens from other instances: by default from any peer if this instance is a holder, else from the account's holders. */
  function requestTokens (state: AccountState, tokens: number, request = options.isHolder(state.name) ? options.requestFromPeers : requestFromHolders): void {
    if (state.isRequestingTransfer || tokens <= 0) return
    state.isRequestingTransfer = true
    request(state.name, tokens).then((received) => {
      if (received > 0) state.ledger.addTransferred(received)
      state.failedTransferRequests = received === 0 ? state.failedTransferRequests + 1 : 0
      serveAllWaiting()
    }).catch((error: unknown) => log.warning('peersNotAsked', { account: state.name, reason: String(error) }))
      .finally(() => {
        state.isRequestingTransfer = false
        if (state.waiting.length > 0) obtainTokens(state)
      })
  }

  async function requestFromHolders (account: string, tokens: number): Promise<number> {
    return await options.requestFromHolders(account, tokens, isStoreUnreachable())
  }

  /** Obtains tokens for waiting requests, from the store or from holders. */
  function obtainTokens (state: AccountState): void {
    if (drawsDirectly(state)) startTransactions()
    else requestTokens(state, Math.ceil(waitingTokens(state) - Math.max(0, state.ledger.usable(lease.timeSinceSeal()))), requestFromHolders)
  }

  /** Sends the usable tokens to a peer. They leave the ledgers first, so that a lost message loses tokens but never duplicates them. */
  async function handOffFreeTokens (): Promise<void> {
    const handOff = new Map<string, number>()
    for (const state of accounts.values()) {
      const tokens = Math.floor(state.ledger.usable(lease.timeSinceSeal()))
      if (tokens <= 0 || !state.ledger.reserve(tokens, lease.timeSinceSeal())) continue
      state.ledger.settleTransferred(tokens)
      handOff.set(state.name, tokens)
    }
    if (handOff.size > 0) await options.handOffToPeer(handOff)
  }

  function reserve (name: string, tokens: number, deadline: number): Promise<ReservationOutcome> {
    const state = stateOf(name)
    trafficSince ??= steadyNow()
    if (state.prepaid === undefined) return Promise.resolve({ kind: 'reserved' })
    return reserveLimited(state, tokens, deadline)
  }

  function reserveLimited (state: AccountState, tokens: number, deadline: number): Promise<ReservationOutcome> {
    if (state.waiting.length === 0 && state.ledger.reserve(tokens, lease.timeSinceSeal())) return Promise.resolve({ kind: 'reserved' })
    if (tokens > (state.prepaid ?? 0)) return Promise.resolve({ kind: 'exhausted' })
    if (steadyNow() < state.rejectUntil) return Promise.resolve({ kind: 'unavailable', retryAt: tokenRetryAt(state, steadyNow()) })
    return new Promise((resolve) => {
      state.waiting.push({ tokens, deadline: Math.min(deadline, steadyNow() + MAX_TOKEN_WAIT_MS), resolve })
      if (isStoreUnreachable()) requestTokens(state, Math.ceil(waitingTokens(state) - Math.max(0, state.ledger.usable(lease.timeSinceSeal()))))
      else obtainTokens(state)
      setTimeout(serveAllWaiting, MAX_TOKEN_WAIT_WITHOUT_STORE_MS)
    })
  }

  return {
    reserve,
    freeTokens: (name) => accounts.get(name)?.ledger.free ?? 0,
    settle: (name, reserved, used) => {
      const state = stateOf(name)
      if (state.prepaid !== undefined) state.ledger.settle(reserved, used, steadyNow())
    },
    setPrepaid: (name, tokens) => {
      const state = stateOf(name)
      const previous = state.prepaid
      state.prepaid = tokens
      // Grants made from the larger balance may exceed the new one, so the free tokens are returned.
      if (tokens !== undefined && previous !== undefined && tokens < previous) state.isReturnRequested = true
      startTransactions()
    },
    returnFreeTokens: (name) => {
      const state = accounts.get(name)
      if (state === undefined || state.waiting.length > 0 || state.ledger.free <= 0) return
      state.isReturnRequested = true
      startTransactions()
    },
    transferIn: (name, tokens) => {
      stateOf(name).ledger.addTransferred(tokens)
      serveAllWaiting()
    },
    transferOut: async (name, tokens) => {
      const state = accounts.get(name)
      if (state === undefined || state.prepaid === undefined) return 0
      if (options.isPrimaryHolder(name) && !isStoreUnreachable()) {
        const outcome = await reserveLimited(state, tokens, steadyNow() + MAX_TRANSFER_WAIT_MS)
        if (outcome.kind !== 'reserved') return 0
        // Counts as use of this holder, so that its grant follows the demand of other instances.
        state.ledger.settle(tokens, tokens, steadyNow())
        return tokens
      }
      if (state.waiting.length > 0) return 0
      // Holders transfer all usable tokens; other instances keep those that their own callers need soon.
      const ownReserve = options.isHolder(name) ? 0 : Math.max(state.ledger.rate(steadyNow()) * OWN_USE_RESERVE_MS, state.ledger.free / 2)
      const transferred = Math.floor(Math.min(tokens, state.ledger.free - ownReserve, state.ledger.usable(lease.timeSinceSeal())))
      if (transferred <= 0 || !state.ledger.reserve(transferred, lease.timeSinceSeal())) return 0
      state.ledger.settleTransferred(transferred)
      return transferred
    },
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
        if (result === 'done' && [...accounts.values()].every((state) => balanceChangeOf(state) === 0)) return
        if (dueChanges(steadyNow()).length === 0) await pause(CONFLICT_CHECK_INTERVAL_MS)
      }
      await handOffFreeTokens()
    }
  }
}
