import { FairOrder, type FairRequest } from './fairOrder.js'
import { PRIORITIES, type Priority } from './priority.js'

/** Properties of a waiting request that determine when it is dispatched. */
export interface OrderedRequest extends FairRequest {
  readonly id: string
  readonly priority: Priority
  /** Relative amount of work, from `requestCost`; 1 for an empty prompt. */
  readonly cost: number
  readonly enqueuedAt: number
}

/** Wait after which a request is overdue. */
export const OVERDUE_AFTER_MS = 4000
/** One dispatch in this many goes to a lower priority with overdue requests, which prevents starvation. */
export const OVERDUE_DISPATCH_INTERVAL = 4
/** Prompt bytes that add the cost of one request in fair queuing. */
const COST_UNIT_BYTES = 16_384

/** Relative cost of a request, by the size of its prompt. */
export function requestCost (promptBytes: number): number {
  return 1 + promptBytes / COST_UNIT_BYTES
}

/**
 * Order in which waiting requests get slots: by priority, then by weighted fair queuing among client accounts, then by
 * age. Between two accounts that are both backlogged in a priority, the dispatched cost divided by weight never differs
 * by more than the sum of each account's largest cost divided by its weight.
 */
export class DispatchOrder<Request extends OrderedRequest> {
  #waiting: Request[] = []
  readonly #fairOrders: Readonly<Record<Priority, FairOrder<Request>>> = { interactive: new FairOrder(), standard: new FairOrder(), bulk: new FairOrder() }
  #dispatchesSinceOverdue = 0

  /** Waiting requests, oldest first. */
  get waiting (): readonly Request[] {
    return this.#waiting
  }

  /** Number of waiting requests of a priority. */
  count (priority: Priority): number {
    return this.#waiting.reduce((sum, request) => sum + (request.priority === priority ? 1 : 0), 0)
  }

  enqueue (request: Request): void {
    this.#waiting.push(request)
  }

  /** Removes a request without dispatching it; undefined when it is no longer waiting. */
  remove (id: string): Request | undefined {
    const index = this.#waiting.findIndex((request) => request.id === id)
    return index === -1 ? undefined : this.#waiting.splice(index, 1)[0]
  }

  /** Removes and returns the next request; `bulkAllowed` is false while bulk requests hold all slots that they may use. */
  dequeue (now: number, bulkAllowed: boolean): Request | undefined {
    const dispatchable = PRIORITIES.filter((priority) => (priority !== 'bulk' || bulkAllowed) && this.count(priority) > 0)
    const mostUrgent = dispatchable[0]
    if (mostUrgent === undefined) return undefined
    const overdue = dispatchable.slice(1).findLast((priority) => this.#isOverdue(priority, now))
    const dispatchOverdue = overdue !== undefined && this.#dispatchesSinceOverdue >= OVERDUE_DISPATCH_INTERVAL - 1
    this.#dispatchesSinceOverdue = dispatchOverdue ? 0 : this.#dispatchesSinceOverdue + 1
    return this.#dispatch(dispatchOverdue ? overdue : mostUrgent)
  }

  #isOverdue (priority: Priority, now: number): boolean {
    const oldest = this.#waiting.find((request) => request.priority === priority)
    return oldest !== undefined && now - oldest.enqueuedAt >= OVERDUE_AFTER_MS
  }

  #dispatch (priority: Priority): Request | undefined {
    const next = this.#fairOrders[priority].dispatch(this.#waiting.filter((request) => request.priority === priority))
    return next === undefined ? undefined : this.remove(next.id)
  }
}
