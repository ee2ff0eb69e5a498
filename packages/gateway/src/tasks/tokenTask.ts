import { steadyNow } from '../clock.js'
import { orderMoves, type BalanceMove } from '../decisions/balanceMoves.js'
import { grantMove, openTokens, targetGrant, type GrantInput } from '../decisions/grantSizing.js'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import {
  BALANCES_AT_STOP, CLOSE_CHECK, CONFLICT_CHECK, FAILURE_PAUSE, FRUITLESS_ASKS, KEPT_FROM_PEERS, LARGEST_LEFTOVER, LONGEST_HAND_OVER, LONGEST_WAIT, LONGEST_WAIT_WITHOUT_STORE, RENEWAL_AGE, REVIEW_INTERVAL, SHORTAGE_PAUSE, TRANSACTIONS_AT_STOP, TRANSACTIONS_IN_A_ROW, TRANSACTION_TIME
} from './tokenTiming.js'
import { openBalanceTable } from './balanceTable.js'
import { createLeaseExchange, type RenewalResult } from './leaseExchange.js'
import { createAccountState, type AccountState, type TokenTask, type TokenTaskOptions } from './tokenAccounts.js'
import { drawable, needed, refuseWaiting, returnAt, serveWaiting, ungranted, waitingTokens } from './waitingRequests.js'

/** Starts the task. */
export function startTokenTask (options: TokenTaskOptions): TokenTask {
  const { store, log } = options
  const accounts = new Map<string, AccountState>()
  const lease = createLeaseExchange({ table: openBalanceTable(store, options.instanceId, options.spansParts), log, lifetimeId: options.lifetimeId, accounts, stateOf })
  let running = false
  let rerun = false
  let closed = false
  let abandoned = false
  let trafficSince: number | undefined

  function stateOf (name: string): AccountState {
    const found = accounts.get(name)
    if (found !== undefined) return found
    const created = createAccountState(name, () => trafficSince ?? steadyNow())
    accounts.set(name, created)
    return created
  }

  function moveOf (state: AccountState): number {
    const now = steadyNow()
    if (state.prepaid === undefined) return 0
    // Nothing to return ends the request for it: otherwise this instance would draw no more.
    if (state.returnRequested && state.book.free < 1) state.returnRequested = false
    if (state.returnRequested || closed) return -Math.max(0, Math.floor(state.book.free))
    if (needed(state) === 0 && now < state.heldBackUntil) return 0
    if (!options.isHolder(state.name)) return moveOfOther(state)
    return grantMove(grantInput(state, now))
  }

  function grantInput (state: AccountState, now: number): GrantInput {
    return { free: state.book.free, needed: drawsFor(state) ? drawable(state) : 0, rate: state.book.rate(now), ungranted: ungranted(state), instances: options.instances() }
  }

  /** Moves that could be made, in the order in which they should be. */
  function dueMoves (now: number): readonly BalanceMove[] {
    return orderMoves([...accounts.values()].map((state) => ({
      account: state.name,
      tokens: moveOf(state),
      waiting: state.waiting.length,
      coverage: state.book.free / Math.max(1, targetGrant(grantInput(state, now))),
      notBefore: state.moveNotBefore
    })), now)
  }

  /** An instance that is no holder draws only when the holders don't answer, and returns what piles up. */
  function moveOfOther (state: AccountState): number {
    const lacking = drawsFor(state) ? drawable(state) : 0
    if (lacking > 0) return lacking
    return state.waiting.length === 0 && state.book.free > LARGEST_LEFTOVER ? -Math.floor(state.book.free) : 0
  }

  /** Renews the lease and changes up to `mostBalances` balances; tells whether another try makes sense at once. */
  async function renew (mostBalances = 1): Promise<RenewalResult> {
    return abandoned ? 'failed' : await lease.renew(dueMoves(steadyNow()).slice(0, mostBalances))
  }

  function serveAllWaiting (): void {
    const now = steadyNow()
    const sinceEnd = lease.unsealedTime()
    for (const state of accounts.values()) serveWaiting(state, sinceEnd, isStoreLost(), now)
  }

  function isWorkDue (): boolean {
    const isRenewalDue = steadyNow() - lease.renewedAt >= RENEWAL_AGE
    for (const state of accounts.values()) {
      if (isRenewalDue && state.book.held > state.book.committed) return true
      if (state.waiting.length > 0 && drawsFor(state)) return true
      const open = state.book.limit - state.book.committed
      if (state.book.free > 0 && open < openTokens(state.book.rate(steadyNow()), state.book.free, state.prepaid ?? 0) / 2) return true
    }
    return dueMoves(steadyNow()).length > 0
  }

  function drawsFor (state: AccountState): boolean {
    return state.fruitlessAsks >= FRUITLESS_ASKS || options.isLead(state.name)
  }

  async function work (): Promise<void> {
    for (let attempt = 0; attempt < TRANSACTIONS_IN_A_ROW; attempt++) {
      const result = await renew()
      serveAllWaiting()
      if (result === 'failed') {
        await pause(FAILURE_PAUSE)
        serveAllWaiting()
        return
      }
      while (dueMoves(steadyNow()).length === 0 && isDrawPutOff()) await pause(CONFLICT_CHECK)
      if (result === 'done' && dueMoves(steadyNow()).length === 0) break
    }
    const short = [...accounts.values()].filter((state) => state.waiting.length > 0 && drawsFor(state))
    if (short.length === 0) return
    for (const state of short) if (needed(state) > ungranted(state)) options.noteShortage(state.name)
    await pause(SHORTAGE_PAUSE)
    await lease.readBalances(short.map((state) => state.name))
    if (await renew() === 'again') await renew()
    serveAllWaiting()
    for (const state of short) if (needed(state) > ungranted(state)) refuseShort(state)
  }

  /** True while callers wait for a draw that is put off after a conflict. */
  function isDrawPutOff (): boolean {
    return [...accounts.values()].some((state) => state.waiting.length > 0 && state.moveNotBefore > steadyNow())
  }

  function refuseShort (state: AccountState): void {
    log.decision('balanceShort', { account: state.name, needed: needed(state), prepaid: state.prepaid, granted: state.granted, rowVersion: state.balanceVersion, shortages: state.shortages })
    refuseWaiting(state, steadyNow())
  }

  function pause (milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds))
  }

  /** Runs the work, one transaction at a time. */
  function start (): void {
    if (abandoned) return
    if (running) {
      rerun = true
      return
    }
    running = true
    work()
      .catch((error: unknown) => log.warning('tokenTaskFailed', { reason: String(error) }))
      .finally(() => {
        running = false
        if (!rerun || closed) return
        rerun = false
        if ([...accounts.values()].some((state) => state.waiting.length > 0 && drawsFor(state))) start()
      })
  }

  const timer = setInterval(() => {
    serveAllWaiting()
    if (accounts.size > 0 && isWorkDue()) start()
  }, REVIEW_INTERVAL)

  function isStoreLost (): boolean {
    return lease.isFailing || options.storeIsLost()
  }

  /** Gets tokens from other instances: from the account's holders, or from any peer while the store can't be reached. */
  function askOthers (state: AccountState, tokens: number, ask = options.isHolder(state.name) ? options.askPeers : askHolders): void {
    if (state.askingPeers || tokens <= 0) return
    state.askingPeers = true
    ask(state.name, tokens).then((received) => {
      if (received > 0) state.book.receiveTransfer(received)
      state.fruitlessAsks = received === 0 ? state.fruitlessAsks + 1 : 0
      serveAllWaiting()
    }).catch((error: unknown) => log.warning('peersNotAsked', { account: state.name, reason: String(error) }))
      .finally(() => {
        state.askingPeers = false
        if (state.waiting.length > 0) getTokens(state)
      })
  }

  async function askHolders (account: string, tokens: number): Promise<number> {
    return await options.askHolders(account, tokens, isStoreLost())
  }

  /** Gets tokens for waiting requests. */
  function getTokens (state: AccountState): void {
    if (drawsFor(state)) start()
    else askOthers(state, Math.ceil(waitingTokens(state) - Math.max(0, state.book.usable(lease.unsealedTime()))), askHolders)
  }

  /** Hands what is free to a peer; it leaves the books first, so that a lost message loses tokens and never doubles them. */
  async function giveRest (): Promise<void> {
    const rest = new Map<string, number>()
    for (const state of accounts.values()) {
      const tokens = Math.floor(state.book.usable(lease.unsealedTime()))
      if (tokens <= 0 || !state.book.reserve(tokens, lease.unsealedTime())) continue
      state.book.settleTransfer(tokens)
      rest.set(state.name, tokens)
    }
    if (rest.size > 0) await options.giveToPeer(rest)
  }

  function reserve (name: string, tokens: number, deadline: number): Promise<ReservationOutcome> {
    const state = stateOf(name)
    trafficSince ??= steadyNow()
    if (state.prepaid === undefined) return Promise.resolve({ kind: 'reserved' })
    return reserveHere(state, tokens, deadline)
  }

  function reserveHere (state: AccountState, tokens: number, deadline: number): Promise<ReservationOutcome> {
    if (state.waiting.length === 0 && state.book.reserve(tokens, lease.unsealedTime())) return Promise.resolve({ kind: 'reserved' })
    if (tokens > (state.prepaid ?? 0)) return Promise.resolve({ kind: 'exhausted' })
    if (steadyNow() < state.shortUntil) return Promise.resolve({ kind: 'unavailable', retryAt: returnAt(state, steadyNow()) })
    return new Promise((resolve) => {
      state.waiting.push({ tokens, deadline: Math.min(deadline, steadyNow() + LONGEST_WAIT), resolve })
      if (isStoreLost()) askOthers(state, Math.ceil(waitingTokens(state) - Math.max(0, state.book.usable(lease.unsealedTime()))))
      else getTokens(state)
      setTimeout(serveAllWaiting, LONGEST_WAIT_WITHOUT_STORE)
    })
  }

  return {
    reserve,
    freeTokens: (name) => accounts.get(name)?.book.free ?? 0,
    settle: (name, reserved, used) => {
      const state = stateOf(name)
      if (state.prepaid !== undefined) state.book.settle(reserved, used, steadyNow())
    },
    setPrepaid: (name, tokens) => {
      const state = stateOf(name)
      const before = state.prepaid
      state.prepaid = tokens
      // Grants of the larger balance may exceed the smaller one; what is free goes back first.
      if (tokens !== undefined && before !== undefined && tokens < before) state.returnRequested = true
      start()
    },
    returnFree: (name) => {
      const state = accounts.get(name)
      if (state === undefined || state.waiting.length > 0 || state.book.free <= 0) return
      state.returnRequested = true
      start()
    },
    takeOver: (name, tokens) => {
      stateOf(name).book.receiveTransfer(tokens)
      serveAllWaiting()
    },
    handOver: async (name, tokens) => {
      const state = accounts.get(name)
      if (state === undefined || state.prepaid === undefined) return 0
      if (options.isLead(name) && !isStoreLost()) {
        const outcome = await reserveHere(state, tokens, steadyNow() + LONGEST_HAND_OVER)
        if (outcome.kind !== 'reserved') return 0
        // Counts as this holder's use, so that its grant follows what others ask for.
        state.book.settle(tokens, tokens, steadyNow())
        return tokens
      }
      if (state.waiting.length > 0) return 0
      // A holder holds for others too; another instance keeps what its own callers need soon.
      const kept = options.isHolder(name) ? 0 : Math.max(state.book.rate(steadyNow()) * KEPT_FROM_PEERS, state.book.free / 2)
      const given = Math.floor(Math.min(tokens, state.book.free - kept, state.book.usable(lease.unsealedTime())))
      if (given <= 0 || !state.book.reserve(given, lease.unsealedTime())) return 0
      state.book.settleTransfer(given)
      return given
    },
    abandon: () => {
      clearInterval(timer)
      abandoned = true
    },
    close: async () => {
      clearInterval(timer)
      closed = true
      // A transaction that is under way ends within its time; the next one depends on its outcome.
      const endsBy = steadyNow() + TRANSACTION_TIME
      const isWorking = (): boolean => running && steadyNow() < endsBy
      while (isWorking()) await pause(CLOSE_CHECK)
      for (let attempt = 0; attempt < TRANSACTIONS_AT_STOP; attempt++) {
        const result = await renew(BALANCES_AT_STOP)
        if (result === 'failed') break
        if (result === 'done' && [...accounts.values()].every((state) => moveOf(state) === 0)) return
        if (dueMoves(steadyNow()).length === 0) await pause(CONFLICT_CHECK)
      }
      await giveRest()
    }
  }
}
