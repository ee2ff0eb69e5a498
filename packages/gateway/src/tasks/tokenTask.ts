import { steadyNow } from '../clock.js'
import { orderMoves, retryMoveAt, type BalanceMove } from '../decisions/balanceMoves.js'
import { grantMove, openingRate, openTokens, targetGrant, type GrantInput } from '../decisions/grantSizing.js'
import { decodeLeaseRow, reclaimable, sinceSeal, type LeaseRow } from '../decisions/leaseRow.js'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import type { StoredRow } from '../ports.js'
import {
  BALANCES_AT_STOP, CLOSE_CHECK, CONFLICT_CHECK, FAILURE_PAUSE, FRUITLESS_ASKS, KEPT_FROM_PEERS, LARGEST_LEFTOVER, LONGEST_HAND_OVER, LONGEST_WAIT, LONGEST_WAIT_WITHOUT_STORE, RENEWAL_AGE, RETURN_HOLD, REVIEW_INTERVAL, SEAL_TIME, SHORTAGE_PAUSE, TRANSACTIONS_AT_STOP, TRANSACTIONS_IN_A_ROW, TRANSACTION_TIME, TRANSACTION_TIME_AFTER_FAILURE
} from './tokenTiming.js'
import { openBalanceTable } from './balanceTable.js'
import { createAccountState, type AccountState, type Composed, type TokenTask, type TokenTaskOptions } from './tokenAccounts.js'
import { drawable, needed, refuseWaiting, returnAt, serveWaiting, ungranted, waitingTokens } from './waitingRequests.js'

/** Starts the task. */
export function startTokenTask (options: TokenTaskOptions): TokenTask {
  const { store, log } = options
  const accounts = new Map<string, AccountState>()
  const table = openBalanceTable(store, options.instanceId, options.spansParts)
  let leaseVersion = 0
  let sequence = 0
  /** Lease row of this instance's process before this one, until it is taken over. */
  let predecessor: { readonly row: LeaseRow, readonly storeTime: number } | undefined
  /** Transactions without an answer. They expect the same lease version, so at most one of them can take effect. */
  let open: Composed[] = []
  let storeClock: { readonly time: number, readonly at: number } | undefined
  let sealedUntil = 0
  let renewedAt = 0
  let failedAt = 0
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

  /** Store time, or earlier: answers take time to arrive, and a suspended process does not count it. */
  function storeTime (): number {
    return storeClock === undefined ? 0 : storeClock.time + steadyNow() - storeClock.at
  }

  function unsealedTime (): number {
    return sinceSeal(sealedUntil, storeTime())
  }

  function hearStore (time: number): void {
    if (storeClock === undefined || time > storeTime()) storeClock = { time, at: steadyNow() }
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

  /** While renewals fail the seal is not extended, as each attempt may still take effect and the open part would not last. */
  function nextSeal (): number {
    return failedAt === 0 ? storeTime() + SEAL_TIME : sealedUntil
  }

  /** Composes the next transaction; what it returns or limits is taken from the books at once. */
  function compose (mostBalances: number): Composed {
    const reclaimed = predecessor === undefined ? new Map<string, number>() : reclaimable(predecessor.row, predecessor.storeTime)
    for (const name of reclaimed.keys()) stateOf(name)
    const rows: LeaseRow['accounts'] = {}
    const now = steadyNow()
    const moves = new Map(dueMoves(now).slice(0, mostBalances).map((move) => [move.account, move.tokens]))
    for (const state of accounts.values()) {
      const move = moves.get(state.name) ?? 0
      // A return leaves the book before the store can know of it, so that its tokens are never in two places.
      if (move < 0) state.book.remove(-move)
      const added = Math.max(0, move) + (reclaimed.get(state.name) ?? 0)
      const spendable = Math.max(0, state.book.free + added)
      const open = Math.max(openTokens(state.book.rate(now), spendable, state.prepaid ?? 0) + waitingTokens(state), failedAt === 0 ? 0 : state.book.limit - state.book.committed)
      const limit = state.book.committed + Math.min(spendable, open)
      // After a failure limit and opening stay, as they apply to all the time since the seal.
      const opening = failedAt === 0 ? openingRate(state.book.rate(now), state.book.committed + spendable - limit) : state.book.opening
      state.book.proposeLimit(limit, opening)
      if (state.book.held + added !== 0) rows[state.name] = { held: state.book.held + added, limit, opening }
    }
    sequence++
    const row: LeaseRow = { lifetime: options.lifetimeId, sequence, sealedUntil: nextSeal(), accounts: rows }
    sealedUntil = Math.max(sealedUntil, row.sealedUntil)
    return { row, moves, reclaimed }
  }

  /** Enters a transaction that took effect into the books. */
  function enter (composed: Composed): void {
    for (const [name, move] of composed.moves) {
      const state = stateOf(name)
      if (move > 0) {
        state.book.receive(move)
        state.fruitlessAsks = 0
        state.shortages = 0
      }
      state.granted += move
      if (move < 0 && state.returnRequested) {
        state.returnRequested = false
        state.heldBackUntil = steadyNow() + RETURN_HOLD
      }
      log.decision('tokensMoved', { account: name, tokens: move, granted: state.granted, prepaid: state.prepaid, free: state.book.free, sequence: composed.row.sequence })
    }
    for (const [name, tokens] of composed.reclaimed) {
      stateOf(name).book.receive(tokens)
      log.event('tokensReclaimed', { account: name, tokens, ...predecessor?.row.accounts[name], from: predecessor?.row.lifetime, sealedUntil: predecessor?.row.sealedUntil, storeTime: predecessor?.storeTime })
    }
    for (const [name, { limit, opening }] of Object.entries(composed.row.accounts)) stateOf(name).book.confirmLimit(limit, opening)
    predecessor = undefined
  }

  /** Puts back what a transaction that had no effect and can't have any more was to return. */
  function restore (composed: Composed): void {
    for (const [name, move] of composed.moves) if (move < 0) stateOf(name).book.receive(-move)
  }

  function learnLease (row: StoredRow | undefined, time: number): void {
    leaseVersion = row === undefined || row.deleted ? 0 : row.version
    const lease = row === undefined || leaseVersion === 0 ? undefined : readLease(row)
    // A write of the dead process may take effect after its row was read; the newer row counts, as it may have returned tokens.
    if (lease !== undefined && lease.lifetime !== options.lifetimeId) predecessor = { row: lease, storeTime: time }
    const earlier = open
    open = []
    for (const composed of earlier) {
      const tookEffect = lease?.lifetime === options.lifetimeId && lease.sequence === composed.row.sequence
      log.event('leaseWriteResolved', { sequence: composed.row.sequence, tookEffect })
      if (tookEffect) enter(composed)
      else restore(composed)
    }
  }

  function readLease (row: StoredRow): LeaseRow | undefined {
    try {
      return decodeLeaseRow(row.value)
    } catch (error) {
      log.warning('leaseUnreadable', { rowVersion: row.version, reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  function learnBalances (names: Iterable<string>, rows: readonly StoredRow[]): void {
    for (const name of names) {
      const row = table.balanceIn(rows, name)
      const state = stateOf(name)
      state.balanceVersion = row === undefined || row.deleted ? 0 : row.version
      state.granted = row === undefined || row.deleted || row.version === 0 ? 0 : Number(row.value)
    }
  }

  /** Renews the lease and changes up to `mostBalances` balances; tells whether another try makes sense at once. */
  async function renew (mostBalances = 1): Promise<'done' | 'again' | 'failed'> {
    if (abandoned) return 'failed'
    const composed = compose(mostBalances)
    const balances = new Map([...composed.moves.keys()].map((name) => [name, stateOf(name)]))
    const began = steadyNow()
    const outcome = await table.transact(composed, leaseVersion, balances, steadyNow() + (failedAt === 0 ? TRANSACTION_TIME : TRANSACTION_TIME_AFTER_FAILURE))
    switch (outcome.kind) {
      case 'applied':
        hearStore(outcome.storeTime)
        // None of the open ones took effect, as this one found the lease at the version that they expected too.
        for (const earlier of open) restore(earlier)
        open = []
        leaseVersion = outcome.version
        for (const name of composed.moves.keys()) {
          const state = stateOf(name)
          state.balanceVersion = outcome.version
          state.moveNotBefore = 0
        }
        enter(composed)
        renewedAt = steadyNow()
        failedAt = 0
        return 'done'
      case 'conflict':
        hearStore(outcome.storeTime)
        restore(composed)
        learnLease(table.leaseIn(outcome.rows), outcome.storeTime)
        learnBalances(composed.moves.keys(), outcome.rows)
        for (const name of composed.moves.keys()) noteConflict(stateOf(name), steadyNow() - began)
        return 'again'
      case 'refused':
        restore(composed)
        noteFailure(outcome.reason)
        return 'failed'
      case 'unknown':
        open.push(composed)
        noteFailure(outcome.reason)
        return 'failed'
    }
  }

  function noteConflict (state: AccountState, took: number): void {
    state.moveNotBefore = retryMoveAt(state.waiting.length > 0, took, steadyNow(), Math.random())
  }

  function noteFailure (reason: string): void {
    if (failedAt === 0) log.event('leaseNotRenewed', { reason, renewedAt, sealedUntil, storeTime: storeTime() })
    failedAt = steadyNow()
  }

  function serveAllWaiting (): void {
    const now = steadyNow()
    const sinceEnd = unsealedTime()
    for (const state of accounts.values()) serveWaiting(state, sinceEnd, isStoreLost(), now)
  }

  function isWorkDue (): boolean {
    const isRenewalDue = steadyNow() - renewedAt >= RENEWAL_AGE
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
    await readBalances(short.map((state) => state.name))
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

  /** Reads balances, as other instances may have returned tokens. */
  async function readBalances (names: readonly string[]): Promise<void> {
    for (const name of names) {
      const outcome = await table.readBalance(name, steadyNow() + TRANSACTION_TIME)
      if (outcome.kind !== 'rows') {
        log.decision('balanceNotRead', { account: name, outcome: outcome.kind })
        return
      }
      learnBalances([name], outcome.rows)
    }
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
    return failedAt > 0 || options.storeIsLost()
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
    else askOthers(state, Math.ceil(waitingTokens(state) - Math.max(0, state.book.usable(unsealedTime()))), askHolders)
  }

  /** Hands what is free to a peer; it leaves the books first, so that a lost message loses tokens and never doubles them. */
  async function giveRest (): Promise<void> {
    const rest = new Map<string, number>()
    for (const state of accounts.values()) {
      const tokens = Math.floor(state.book.usable(unsealedTime()))
      if (tokens <= 0 || !state.book.reserve(tokens, unsealedTime())) continue
      state.book.settleTransfer(tokens)
      rest.set(state.name, tokens)
    }
    if (rest.size > 0) await options.giveToPeer(rest)
  }

  /** Learns what the process before this one left, as early as possible: its seal ends soon. */
  async function readLeaseOfPredecessor (): Promise<void> {
    const outcome = await table.readLease(steadyNow() + TRANSACTION_TIME)
    const row = outcome.kind === 'rows' ? table.leaseIn(outcome.rows) : undefined
    if (outcome.kind !== 'rows' || row === undefined || leaseVersion !== 0) return
    hearStore(outcome.storeTime)
    learnLease(row, outcome.storeTime)
  }

  readLeaseOfPredecessor().catch((error: unknown) => log.warning('leaseNotRead', { reason: String(error) }))

  function reserve (name: string, tokens: number, deadline: number): Promise<ReservationOutcome> {
    const state = stateOf(name)
    trafficSince ??= steadyNow()
    if (state.prepaid === undefined) return Promise.resolve({ kind: 'reserved' })
    return reserveHere(state, tokens, deadline)
  }

  function reserveHere (state: AccountState, tokens: number, deadline: number): Promise<ReservationOutcome> {
    if (state.waiting.length === 0 && state.book.reserve(tokens, unsealedTime())) return Promise.resolve({ kind: 'reserved' })
    if (tokens > (state.prepaid ?? 0)) return Promise.resolve({ kind: 'exhausted' })
    if (steadyNow() < state.shortUntil) return Promise.resolve({ kind: 'unavailable', retryAt: returnAt(state, steadyNow()) })
    return new Promise((resolve) => {
      state.waiting.push({ tokens, deadline: Math.min(deadline, steadyNow() + LONGEST_WAIT), resolve })
      if (isStoreLost()) askOthers(state, Math.ceil(waitingTokens(state) - Math.max(0, state.book.usable(unsealedTime()))))
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
      const given = Math.floor(Math.min(tokens, state.book.free - kept, state.book.usable(unsealedTime())))
      if (given <= 0 || !state.book.reserve(given, unsealedTime())) return 0
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
