import PQueue from 'p-queue'
import type { ReservationOutcome } from '../decisions/requestPlan.js'
import { createTokenBook, drawSize, targetGrant, type TokenBook } from '../decisions/tokenBook.js'
import type { RowStore, StoredRow } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Table of budgets; each client account is a part of its own, so that accounts do not wait for each other. */
const TABLE = 'budgets'
const BALANCE_KEY = 'balance'
/** Time that a transaction may take, milliseconds. */
const TRANSACTION_TIME = 800
/** Attempts of one draw when other instances draw at the same moment. */
const CONFLICT_ATTEMPTS = 6
/** Transactions under way at once, over all accounts. */
const CONCURRENT_TRANSACTIONS = 4
/** Pause after a draw that the store refused or did not answer, milliseconds. */
const FAILURE_PAUSE = 300
/** Longest time that a request waits for tokens, milliseconds. */
const LONGEST_WAIT = 1500
/** Pause before a draw is tried again when other instances are to return tokens, milliseconds. */
const SHORTAGE_PAUSE = 250
/** Time that other instances get to return tokens before a request is told that the balance is exhausted, milliseconds. */
const SHORTAGE_WAIT = 700
/** Interval at which draws and returns are considered, milliseconds. */
const REVIEW_INTERVAL = 500
/** Returned at review when more than this multiple of the target is free. */
const EXCESS = 3
/** Smallest amount worth a return at review, tokens. */
const SMALLEST_RETURN = 2000

/** Prepaid tokens at this instance: reserves them for requests, draws them from the store and returns them. */
export interface TokenTask {
  /** Reserves tokens of an account for a request, or tells why not. */
  reserve (account: string, tokens: number, deadline: number): Promise<ReservationOutcome>
  settle (account: string, reserved: number, used: number): void
  /** Sets what is prepaid; undefined for an account without a limit. */
  setPrepaid (account: string, tokens: number | undefined): void
  /** Returns what is free, as another instance lacks tokens. */
  returnFree (account: string): void
  /** Returns all that is free before the process ends. */
  close (): Promise<void>
}

/** What the task needs. */
export interface TokenTaskOptions {
  readonly store: RowStore
  readonly log: DecisionLog
  readonly lifetimeId: string
  readonly instances: () => number
  readonly noteShortage: (account: string) => void
}

/** A request that waits for tokens. */
interface WaitingRequest {
  readonly tokens: number
  readonly deadline: number
  readonly since: number
  readonly resolve: (outcome: ReservationOutcome) => void
}

/** One account's tokens at this instance. */
interface AccountState {
  readonly name: string
  prepaid: number | undefined
  readonly book: TokenBook
  waiting: WaitingRequest[]
  /** The account's row as last seen: tokens granted to all instances. */
  committed: number
  balanceVersion: number
  /** This process's own row as last seen: tokens that it holds or has used. */
  held: number
  leaseVersion: number
  /** A transaction whose outcome is not known: the tokens that it moves to this instance. */
  unresolved: number | undefined
  adjusting: boolean
  pausedUntil: number
  /** Unix milliseconds since which a draw has found too few tokens; undefined when it did not. */
  shortSince: number | undefined
}

/** Starts the task. */
export function startTokenTask (options: TokenTaskOptions): TokenTask {
  const { store, log } = options
  const leaseKey = `lease/${options.lifetimeId}`
  const queue = new PQueue({ concurrency: CONCURRENT_TRANSACTIONS })
  const accounts = new Map<string, AccountState>()
  let closed = false

  function stateOf (name: string): AccountState {
    const found = accounts.get(name)
    if (found !== undefined) return found
    const created: AccountState = {
      name, prepaid: undefined, book: createTokenBook(), waiting: [], committed: 0, balanceVersion: 0, held: 0, leaseVersion: 0, unresolved: undefined, adjusting: false, pausedUntil: 0, shortSince: undefined
    }
    accounts.set(name, created)
    return created
  }

  function ungranted (state: AccountState): number {
    return Math.max(0, (state.prepaid ?? 0) - state.committed)
  }

  function needed (state: AccountState): number {
    const wanted = state.waiting.reduce((sum, request) => sum + request.tokens, 0)
    return Math.max(0, wanted - state.book.free)
  }

  /** Learns the rows; a transaction of unknown outcome is settled by this process's own row, which only it writes. */
  function learn (state: AccountState, rows: readonly StoredRow[]): void {
    for (const row of rows) {
      if (row.key === BALANCE_KEY) {
        state.committed = row.version === 0 || row.deleted ? 0 : Number(row.value)
        state.balanceVersion = row.deleted ? 0 : row.version
      }
      if (row.key === leaseKey) {
        const held = row.version === 0 || row.deleted ? 0 : Number(row.value)
        if (state.unresolved !== undefined && held !== state.held) {
          state.book.adjust(Math.max(0, held - state.held))
          state.unresolved = undefined
          log.event('drawResolved', { account: state.name, tokens: held - state.held, leaseVersion: row.version })
        }
        state.held = held
        state.leaseVersion = row.deleted ? 0 : row.version
      }
    }
  }

  /** A later transaction shows that a return of unknown outcome took no effect and can't any more. */
  function restoreReturn (state: AccountState): void {
    if (state.unresolved !== undefined && state.unresolved < 0) state.book.adjust(-state.unresolved)
    state.unresolved = undefined
  }

  /** Moves tokens between the account's row and this instance, negative to return; tells whether it took effect. */
  async function move (state: AccountState, tokens: () => number): Promise<boolean> {
    for (let attempt = 0; attempt < CONFLICT_ATTEMPTS; attempt++) {
      const amount = tokens()
      if (amount === 0) return false
      const expectedHeld = state.held
      const balance = { table: TABLE, part: state.name, key: BALANCE_KEY }
      const lease = { table: TABLE, part: state.name, key: leaseKey }
      // A return is taken out first, so that a late effect can't leave tokens both here and in the account's row.
      if (amount < 0) state.book.adjust(amount)
      const outcome = await store.transact({
        expected: [{ ...balance, version: state.balanceVersion }, { ...lease, version: state.leaseVersion }],
        writes: [{ ...balance, value: String(state.committed + amount) }, { ...lease, value: String(expectedHeld + amount) }],
        removals: []
      }, Date.now() + TRANSACTION_TIME)
      switch (outcome.kind) {
        case 'applied':
          restoreReturn(state)
          state.committed += amount
          state.held = expectedHeld + amount
          state.balanceVersion = outcome.version
          state.leaseVersion = outcome.version
          if (amount > 0) state.book.adjust(amount)
          log.decision('tokensMoved', { account: state.name, tokens: amount, committed: state.committed, prepaid: state.prepaid, free: state.book.free })
          return true
        case 'conflict': {
          // The conflict shows whether an earlier transaction of unknown outcome has taken effect; none is open after it.
          if (amount < 0) state.book.adjust(-amount)
          learn(state, outcome.rows)
          restoreReturn(state)
          continue
        }
        case 'refused':
          if (amount < 0) state.book.adjust(-amount)
          state.pausedUntil = Date.now() + FAILURE_PAUSE
          log.decision('drawRefused', { account: state.name, tokens: amount, reason: outcome.reason })
          return false
        case 'unknown':
          // Tokens of a return stay out of the book: they are lost to this instance if it took effect, and idle if not.
          state.unresolved = amount
          state.pausedUntil = Date.now() + FAILURE_PAUSE
          log.decision('drawUnknown', { account: state.name, tokens: amount, reason: outcome.reason })
          return false
      }
    }
    return false
  }

  function drawAmount (state: AccountState): number {
    const now = Date.now()
    return drawSize({ free: state.book.free, needed: needed(state), rate: state.book.rate(now), ungranted: ungranted(state), instances: options.instances() })
  }

  /** Serves waiting requests in order from what is free. */
  function serveWaiting (state: AccountState): void {
    const now = Date.now()
    state.waiting = state.waiting.filter((request) => {
      if (state.book.reserve(request.tokens)) {
        request.resolve({ kind: 'reserved' })
        return false
      }
      if (now >= request.deadline) {
        request.resolve({ kind: 'unavailable', retryAt: now + FAILURE_PAUSE })
        return false
      }
      return true
    })
  }

  /** Tells requests that can't be covered any more, once other instances had time to return what they hold. */
  function refuseExhausted (state: AccountState): void {
    const now = Date.now()
    if (state.shortSince === undefined || now - state.shortSince < SHORTAGE_WAIT) return
    const available = state.book.free + ungranted(state)
    state.waiting = state.waiting.filter((request) => {
      if (request.tokens <= available || now - request.since < SHORTAGE_WAIT) return true
      log.decision('balanceExhausted', { account: state.name, tokens: request.tokens, prepaid: state.prepaid, committed: state.committed, rowVersion: state.balanceVersion })
      request.resolve({ kind: 'exhausted' })
      return false
    })
  }

  async function adjust (state: AccountState): Promise<void> {
    while (!closed) {
      serveWaiting(state)
      const now = Date.now()
      if (state.pausedUntil > now) {
        if (state.waiting.length === 0) return
        await pause(state.pausedUntil - now)
        continue
      }
      const applied = await queue.add(async () => await move(state, () => drawAmount(state)))
      serveWaiting(state)
      if (state.waiting.length === 0) {
        state.shortSince = undefined
        return
      }
      if (applied === true || state.pausedUntil > Date.now()) continue
      state.shortSince ??= now
      options.noteShortage(state.name)
      refuseExhausted(state)
      await pause(SHORTAGE_PAUSE)
      await refresh(state)
    }
  }

  /** Reads the account's rows, as other instances may have returned tokens. */
  async function refresh (state: AccountState): Promise<void> {
    const outcome = await store.read(TABLE, state.name, Date.now() + TRANSACTION_TIME, { from: BALANCE_KEY, to: `${BALANCE_KEY}~` })
    if (outcome.kind !== 'rows') {
      state.pausedUntil = Date.now() + FAILURE_PAUSE
      log.decision('balanceNotRead', { account: state.name, outcome: outcome.kind })
      return
    }
    learn(state, outcome.rows)
  }

  function pause (milliseconds: number): Promise<void> {
    return new Promise((resolve) => setTimeout(resolve, milliseconds))
  }

  /** Draws in the background unless that is under way. */
  function startAdjusting (state: AccountState): void {
    if (state.adjusting || closed) return
    state.adjusting = true
    adjust(state)
      .catch((error: unknown) => log.warning('drawFailed', { account: state.name, reason: String(error) }))
      .finally(() => { state.adjusting = false })
  }

  async function giveBack (state: AccountState, keep: number): Promise<void> {
    if (state.adjusting) return
    state.adjusting = true
    try {
      await queue.add(async () => await move(state, () => -Math.max(0, Math.floor(state.book.free - keep))))
    } finally {
      state.adjusting = false
    }
  }

  function review (): void {
    const now = Date.now()
    for (const state of accounts.values()) {
      if (state.prepaid === undefined || state.pausedUntil > now) continue
      serveWaiting(state)
      if (drawAmount(state) > 0) {
        startAdjusting(state)
        continue
      }
      const target = targetGrant({ rate: state.book.rate(now), ungranted: ungranted(state), instances: options.instances() })
      if (state.book.free > target * EXCESS + SMALLEST_RETURN) {
        giveBack(state, target).catch((error: unknown) => log.warning('returnFailed', { account: state.name, reason: String(error) }))
      }
    }
  }

  const timer = setInterval(review, REVIEW_INTERVAL)

  function reserve (name: string, tokens: number, deadline: number): Promise<ReservationOutcome> {
    const state = stateOf(name)
    if (state.prepaid === undefined) return Promise.resolve({ kind: 'reserved' })
    if (state.waiting.length === 0 && state.book.reserve(tokens)) return Promise.resolve({ kind: 'reserved' })
    if (tokens > state.prepaid) return Promise.resolve({ kind: 'exhausted' })
    return new Promise((resolve) => {
      const now = Date.now()
      state.waiting.push({ tokens, deadline: Math.min(deadline, now + LONGEST_WAIT), since: now, resolve })
      startAdjusting(state)
    })
  }

  return {
    reserve,
    settle: (name, reserved, used) => {
      const state = stateOf(name)
      if (state.prepaid !== undefined) state.book.settle(reserved, used, Date.now())
    },
    setPrepaid: (name, tokens) => {
      const state = stateOf(name)
      const before = state.prepaid
      state.prepaid = tokens
      if (tokens === undefined || before === undefined || tokens >= before) return
      // Grants of the larger balance may exceed the smaller one; what is free goes back first.
      giveBack(state, 0).catch((error: unknown) => log.warning('returnFailed', { account: name, reason: String(error) }))
    },
    returnFree: (name) => {
      const state = accounts.get(name)
      if (state === undefined || state.waiting.length > 0 || state.book.free <= 0) return
      giveBack(state, 0).catch((error: unknown) => log.warning('returnFailed', { account: name, reason: String(error) }))
    },
    close: async () => {
      clearInterval(timer)
      closed = true
      await Promise.all([...accounts.values()].map(async (state) => {
        state.adjusting = false
        if (state.book.free > 0) await giveBack(state, 0)
      }))
    }
  }
}
