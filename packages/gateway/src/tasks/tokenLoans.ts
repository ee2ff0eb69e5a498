import { steadyNow } from '../clock.js'
import type { ReportedUse } from '../decisions/knownUse.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { parseLoanReply, PEER_PATH, postToPeer, type DeliveryOutcome, type LoanKind, type LoanReply } from './peerMessages.js'

/** Timeout of the first try of a message; doubles with each further one. */
const FIRST_TRY_TIMEOUT_MS = 250
const MAX_TRY_TIMEOUT_MS = 2000
/** Pause before a message is repeated. */
const REPEAT_PAUSE_MS = 100
/** A message is repeated for this time: longer than most cuts, shorter than the memory of its receiver. */
const REPEAT_FOR_MS = 40_000
/** A home that hasn't replied by then is slow or cut off, and the next one is asked too. */
const HEDGE_DELAY_MS = 80
/** The last home may have to draw from the store first. */
const LAST_REPLY_DELAY_MS = 220
/** A home that did not reply in time is asked last for this time. */
const AVOIDANCE_MS = 2000

/** Delivers one message; replaced by tests. */
export type Post = (address: string, path: string, message: unknown, timeoutMilliseconds: number) => Promise<DeliveryOutcome>

/** Borrows tokens of client accounts from their homes and gives them back. */
export interface TokenLoans {
  /** Resolves once enough tokens are borrowed, or all homes have replied or are late. Tokens that come later go to `onLateTokens`. */
  borrow (account: string, tokens: number, kind: LoanKind, use: ReportedUse): Promise<LoanReply>
  /** Gives tokens back to the first reachable home; the caller has removed them from its ledger. Resolves once their place is known. */
  giveBack (account: string, tokens: number, use: ReportedUse): Promise<void>
  /** Tokens in messages whose outcome is not known yet. */
  readonly tokensInTransit: number
}

/** Dependencies of the loans. */
export interface TokenLoansOptions {
  /** ID of this run of the process, unique in the fleet. */
  readonly incarnationId: string
  /** Homes of an account other than this instance, in order of preference. */
  readonly homes: (account: string) => readonly Peer[]
  /** The running process of an instance as last registered. */
  readonly currentIncarnation: (instanceId: string) => string | undefined
  readonly log: DecisionLog
  /** Receives tokens that a home lent after the request stopped waiting, and those that could not be given back. */
  readonly onLateTokens: (account: string, tokens: number) => void
  /** Receives what a home knows of the use of an account. */
  readonly onUse: (account: string, use: ReportedUse) => void
  readonly post?: Post
}

/** Creates the loans of one process. */
export function createTokenLoans (options: TokenLoansOptions): TokenLoans {
  const { log, incarnationId, onLateTokens } = options
  const post = options.post ?? postToPeer
  const avoidedUntil = new Map<string, number>()
  let sequence = 0
  let tokensInTransit = 0

  const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

  function homesInOrder (account: string): readonly Peer[] {
    const now = steadyNow()
    const isAvoided = (home: Peer): boolean => (avoidedUntil.get(home.incarnationId) ?? 0) > now
    const homes = options.homes(account)
    return [...homes.filter((home) => !isAvoided(home)), ...homes.filter(isAvoided)]
  }

  /**
   * Repeats a message to one process until it replies or can't any more. `mayHaveArrived` tells whether the process may
   * have handled it without this instance learning the reply.
   */
  async function deliver (home: Peer, path: string, message: object): Promise<{ readonly reply: unknown, readonly mayHaveArrived: boolean }> {
    const giveUpAt = steadyNow() + REPEAT_FOR_MS
    const identified = { id: `${incarnationId}/${++sequence}`, to: home.incarnationId, ...message }
    let timeout = FIRST_TRY_TIMEOUT_MS
    let mayHaveArrived = false
    for (;;) {
      const outcome = await post(home.address, path, identified, timeout)
      if (outcome.kind === 'answered') return { reply: outcome.reply, mayHaveArrived: true }
      if (outcome.kind === 'otherIncarnation') return { reply: undefined, mayHaveArrived }
      avoidedUntil.set(home.incarnationId, steadyNow() + AVOIDANCE_MS)
      mayHaveArrived ||= outcome.mayHaveArrived
      log.decision('peerDidNotAnswer', { peer: home.address, path, reason: outcome.reason })
      // A message that was certainly not handled is better sent to another home. A refusal says so of its own copy only: an
      // earlier one whose reply is missing may have been handled, or may still arrive.
      if (!mayHaveArrived || options.currentIncarnation(home.instanceId) !== home.incarnationId || steadyNow() >= giveUpAt) return { reply: undefined, mayHaveArrived }
      await pause(REPEAT_PAUSE_MS)
      timeout = Math.min(MAX_TRY_TIMEOUT_MS, timeout * 2)
    }
  }

  async function requestLoan (home: Peer, account: string, tokens: number, kind: LoanKind, use: ReportedUse): Promise<LoanReply | undefined> {
    tokensInTransit += tokens
    const { reply, mayHaveArrived } = await deliver(home, PEER_PATH.loans, { account, tokens, kind, use })
    tokensInTransit -= tokens
    const loan = parseLoanReply(reply)
    if (loan?.use !== undefined) options.onUse(account, loan.use)
    if (loan === undefined && mayHaveArrived) log.event('tokensGivenUp', { account, tokens, reason: 'loan in doubt', peer: home.instanceId })
    return loan
  }

  function borrow (account: string, tokens: number, kind: LoanKind, use: ReportedUse): Promise<LoanReply> {
    const homes = homesInOrder(account)
    if (homes.length === 0) return Promise.resolve({ tokens: 0, isShort: false })
    return new Promise((resolve) => {
      let received = 0
      let isShort = false
      let next = 0
      let pending = 0
      let isSettled = false
      let timer: NodeJS.Timeout | undefined

      function settle (): void {
        if (isSettled) return
        isSettled = true
        clearTimeout(timer)
        resolve({ tokens: received, isShort })
      }

      function askNext (): void {
        clearTimeout(timer)
        const home = homes[next++]
        if (isSettled || home === undefined) return settle()
        const asked = Math.ceil(tokens - received)
        pending++
        requestLoan(home, account, asked, kind, use).then((loan) => {
          pending--
          if (isSettled) {
            if (loan !== undefined && loan.tokens > 0) onLateTokens(account, loan.tokens)
            return
          }
          received += loan?.tokens ?? 0
          isShort ||= loan?.isShort === true
          // A home that knows the account to be short speaks for the others: they would draw on the same balance.
          if (received >= tokens || loan?.isShort === true || (pending === 0 && next >= homes.length)) settle()
          else if (pending === 0) askNext()
        }, (error: unknown) => {
          pending--
          log.warning('loanFailed', { account, reason: String(error) })
          if (pending === 0) askNext()
        })
        timer = setTimeout(askNext, next < homes.length ? HEDGE_DELAY_MS : LAST_REPLY_DELAY_MS)
      }
      askNext()
    })
  }

  async function giveBack (account: string, tokens: number, use: ReportedUse): Promise<void> {
    tokensInTransit += tokens
    try {
      for (const home of homesInOrder(account)) {
        const { reply, mayHaveArrived } = await deliver(home, PEER_PATH.returns, { accounts: { [account]: tokens }, use: { [account]: use } })
        if (reply !== undefined) return
        if (!mayHaveArrived) continue
        log.event('tokensGivenUp', { account, tokens, reason: 'return in doubt', peer: home.instanceId })
        return
      }
      onLateTokens(account, tokens)
    } finally {
      tokensInTransit -= tokens
    }
  }

  return { borrow, giveBack, get tokensInTransit () { return tokensInTransit } }
}
