/** Properties of a waiting request that fair queuing uses. */
export interface FairRequest {
  readonly account: string
  /** Weight of the client account, 1 or more. */
  readonly weight: number
  /** Relative amount of work. */
  readonly cost: number
}

/**
 * Start-time fair queuing among client accounts. Between two accounts that are both backlogged, the dispatched cost divided by
 * weight never differs by more than the sum of each account's largest cost divided by its weight.
 */
export class FairOrder<Request extends FairRequest> {
  #virtualTime = 0
  /** Virtual finish time of the last dispatched request, by account. */
  readonly #finishTimes = new Map<string, number>()

  /** Selects the next of the waiting requests, which are given oldest first, and records its dispatch. */
  dispatch (waiting: Iterable<Request>): Request | undefined {
    const oldestByAccount = new Map<string, Request>()
    for (const request of waiting) if (!oldestByAccount.has(request.account)) oldestByAccount.set(request.account, request)
    const [first, ...others] = [...oldestByAccount.values()]
    if (first === undefined) return undefined
    const next = others.reduce((earliest, request) => this.#virtualStart(request) < this.#virtualStart(earliest) ? request : earliest, first)
    this.#virtualTime = this.#virtualStart(next)
    this.#finishTimes.set(next.account, this.#virtualTime + next.cost / next.weight)
    this.#pruneIdleAccounts(oldestByAccount)
    return next
  }

  /** Virtual start time; an account that was idle starts at the current virtual time, so it can't accumulate credit. */
  #virtualStart ({ account }: Request): number {
    return Math.max(this.#virtualTime, this.#finishTimes.get(account) ?? 0)
  }

  /** Finish times in the virtual past have no effect; removing them bounds memory by the number of active accounts. */
  #pruneIdleAccounts (waiting: ReadonlyMap<string, unknown>): void {
    for (const [account, finish] of this.#finishTimes) {
      if (finish <= this.#virtualTime && !waiting.has(account)) this.#finishTimes.delete(account)
    }
  }
}
