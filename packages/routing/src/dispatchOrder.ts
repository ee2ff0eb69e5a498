import { PRIORITIES, type Priority } from './priority.js'

/** A request that waits for a slot, as far as its order is concerned. */
export interface OrderedRequest {
  readonly id: string
  readonly account: string
  /** Relative share of the client account, 1 or more. */
  readonly weight: number
  readonly priority: Priority
  /** Work that it asks for; 1 for a request with a short prompt. */
  readonly cost: number
  readonly enqueuedAt: number
}

/** After this wait a request is overdue, milliseconds. */
export const OVERDUE_MILLISECONDS = 4000
/** One dispatch in this many goes to a lower priority whose requests are overdue, so that none is starved. */
export const OVERDUE_DISPATCH_INTERVAL = 4
/** Prompt bytes that count as much as one further request in the fairness among client accounts. */
const COST_UNIT_BYTES = 16_384

/** Work that a request asks for, by the size of its prompt. */
export function requestCost (promptBytes: number): number {
  return 1 + promptBytes / COST_UNIT_BYTES
}

/** Virtual time of one priority: start-time fair queuing among client accounts. */
interface FairClock {
  virtualTime: number
  /** Virtual finish of each account's last dispatched request. */
  readonly finishes: Map<string, number>
}

/**
 * Order in which waiting requests get slots: by priority, then fairly among client accounts by weight, then by age.
 * Between two accounts that both keep waiting requests of a priority, the dispatched cost divided by weight never
 * differs by more than the sum of each one's largest cost divided by its weight.
 */
export class DispatchOrder<Request extends OrderedRequest> {
  #waiting: Request[] = []
  readonly #clocks: Readonly<Record<Priority, FairClock>> = { interactive: createClock(), standard: createClock(), bulk: createClock() }
  #sinceOverdue = 0

  /** Waiting requests, oldest first. */
  get waiting (): readonly Request[] {
    return this.#waiting
  }

  /** Waiting requests of one priority. */
  count (priority: Priority): number {
    return this.#waiting.reduce((sum, request) => sum + (request.priority === priority ? 1 : 0), 0)
  }

  add (request: Request): void {
    this.#waiting.push(request)
  }

  /** Takes a request out without dispatching it; undefined when it no longer waits. */
  remove (id: string): Request | undefined {
    const index = this.#waiting.findIndex((request) => request.id === id)
    return index === -1 ? undefined : this.#waiting.splice(index, 1)[0]
  }

  /** Takes out the next request; `bulkAllowed` is false while bulk requests hold all slots that they may use. */
  next (now: number, bulkAllowed: boolean): Request | undefined {
    const startable = PRIORITIES.filter((priority) => (priority !== 'bulk' || bulkAllowed) && this.count(priority) > 0)
    const first = startable[0]
    if (first === undefined) return undefined
    const overdue = startable.slice(1).findLast((priority) => this.#isOverdue(priority, now))
    const takeOverdue = overdue !== undefined && this.#sinceOverdue >= OVERDUE_DISPATCH_INTERVAL - 1
    this.#sinceOverdue = takeOverdue ? 0 : this.#sinceOverdue + 1
    return this.#dispatch(takeOverdue ? overdue : first)
  }

  #isOverdue (priority: Priority, now: number): boolean {
    const oldest = this.#waiting.find((request) => request.priority === priority)
    return oldest !== undefined && now - oldest.enqueuedAt >= OVERDUE_MILLISECONDS
  }

  #dispatch (priority: Priority): Request {
    const clock = this.#clocks[priority]
    const heads = new Map<string, Request>()
    for (const request of this.#waiting) {
      if (request.priority === priority && !heads.has(request.account)) heads.set(request.account, request)
    }
    const [chosen, ...others] = [...heads.values()]
    const best = others.reduce((least, request) => startOf(clock, request) < startOf(clock, least) ? request : least, chosen!)
    clock.virtualTime = startOf(clock, best)
    clock.finishes.set(best.account, clock.virtualTime + best.cost / best.weight)
    forgetIdleAccounts(clock, heads)
    this.remove(best.id)
    return best
  }
}

function createClock (): FairClock {
  return { virtualTime: 0, finishes: new Map() }
}

/** An account that was idle starts at the present virtual time and can't save up a claim. */
function startOf (clock: FairClock, request: OrderedRequest): number {
  return Math.max(clock.virtualTime, clock.finishes.get(request.account) ?? 0)
}

/** Finishes in the virtual past have no effect; dropping them bounds memory by the accounts in use. */
function forgetIdleAccounts (clock: FairClock, waiting: ReadonlyMap<string, unknown>): void {
  for (const [account, finish] of clock.finishes) {
    if (finish <= clock.virtualTime && !waiting.has(account)) clock.finishes.delete(account)
  }
}
