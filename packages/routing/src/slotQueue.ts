import PQueue, { type Queue } from 'p-queue'
import { DispatchOrder, requestCost, type OrderedRequest } from './dispatchOrder.js'
import { updateHoldTimes, type HoldTimes, type QueueLoad } from './drainRate.js'
import type { Priority } from './priority.js'
import { admit, type Admission } from './shedding.js'

/** A request for a slot. */
export interface SlotRequest {
  readonly account: string
  /** Weight of the client account, 1 or more. */
  readonly weight: number
  readonly priority: Priority
  readonly promptBytes: number
  /** Unix milliseconds. */
  readonly deadline: number
}

/** Result of a request for a slot; each request gets exactly one. */
export type SlotResult =
  /** The slot is held until `release` is called; further calls have no effect. Unused slots don't count in the drain rate. */
  | { readonly kind: 'granted', readonly release: (at: number, unused?: boolean) => void }
  /** The queue is full or the expected wait too long; `overShare` when the account exceeds its share of the queue. */
  | { readonly kind: 'shed', readonly overShare: boolean, readonly retryAt: number }
  /** Withdrawn by its caller or by `withdrawAll`. */
  | { readonly kind: 'withdrawn' }

/** Handle of a queued request. */
export interface SlotTicket {
  /** Removes the request from the queue; no effect once it has its result. */
  withdraw (): void
}

/** Limits of a queue. */
export interface SlotQueueOptions {
  /** Maximum number of waiting requests. */
  readonly queueLimit: number
  /** Initial concurrency limit; `setWindow` changes it. */
  readonly window: number
  /** Share of the window that bulk requests may hold, in (0, 1]; they may always hold one slot. */
  readonly bulkShare: number
  /** Unix time in milliseconds. */
  readonly now: () => number
}

interface QueueEntry extends OrderedRequest {
  readonly settle: (result: SlotResult) => void
}

/** Options that p-queue passes to its queue class; used to pass the entry. */
type PQueueOptions = { priority?: number, entry?: QueueEntry }
type RunFunction = () => Promise<unknown>

/** Bounded queue and concurrency limit for one backend server. */
export class SlotQueue {
  readonly #order = new DispatchOrder<QueueEntry>()
  readonly #runFunctions = new Map<string, RunFunction>()
  readonly #queue: PQueue<Queue<RunFunction, PQueueOptions>, PQueueOptions>
  readonly #options: SlotQueueOptions
  #window: number
  #running = 0
  #bulkRunning = 0
  #holdTimes: HoldTimes = {}
  #nextId = 0

  constructor (options: SlotQueueOptions) {
    this.#options = options
    this.#window = options.window
    const order = this.#createPriorityQueue()
    // p-queue instantiates its queue class itself; this class's constructor returns the existing queue object.
    this.#queue = new PQueue({ concurrency: options.window, queueClass: class { constructor () { return order } } as unknown as new () => typeof order })
  }

  /** Concurrency limit. */
  get window (): number {
    return this.#window
  }

  get running (): number {
    return this.#running
  }

  get bulkRunning (): number {
    return this.#bulkRunning
  }

  get queued (): number {
    return this.#order.waiting.length
  }

  /** State from which the expected wait is computed. */
  load (): QueueLoad {
    const waiting = { interactive: this.#order.count('interactive'), standard: this.#order.count('standard'), bulk: this.#order.count('bulk') }
    return { waiting, window: this.#window, bulkWindow: this.#bulkWindow(), running: this.#running, holdTimes: this.#holdTimes }
  }

  /** Changes the concurrency limit; running requests are not affected. */
  setWindow (window: number): void {
    if (window === this.#window) return
    this.#window = window
    this.#queue.concurrency = window
  }

  /** Returns the decision that `request` would make, without queuing the request. */
  preview (request: SlotRequest): Admission<OrderedRequest> {
    return this.#decideAdmission(request)
  }

  /** Requests a slot; `settle` is called exactly once, possibly before this returns. */
  request (request: SlotRequest, settle: (result: SlotResult) => void): SlotTicket {
    const decision = this.#decideAdmission(request)
    if (decision.kind === 'shed') {
      settle(decision)
      return { withdraw: () => {} }
    }
    if (decision.kind === 'displacing') {
      this.#removeWaiting(decision.displaced.id, { kind: 'shed', overShare: decision.displaced.priority === request.priority, retryAt: decision.retryAt })
    }
    const entry = this.#createEntry(request, settle)
    this.#queue.add(() => this.#occupySlot(entry), { entry })
    return { withdraw: () => this.#removeWaiting(entry.id, { kind: 'withdrawn' }) }
  }

  /** Withdraws all waiting requests. */
  withdrawAll (): void {
    for (const entry of [...this.#order.waiting]) this.#removeWaiting(entry.id, { kind: 'withdrawn' })
  }

  #decideAdmission (request: SlotRequest): Admission<QueueEntry> {
    if (this.#startsImmediately(request.priority)) return { kind: 'queued' }
    return admit({ request, waiting: this.#order.waiting, queueLimit: this.#options.queueLimit, load: this.load(), now: this.#options.now() })
  }

  #startsImmediately (priority: Priority): boolean {
    if (this.#queue.pending >= this.#window) return false
    return priority !== 'bulk' || this.#bulkRunning < this.#bulkWindow()
  }

  #bulkWindow (): number {
    return Math.max(1, Math.floor(this.#window * this.#options.bulkShare))
  }

  #createEntry (request: SlotRequest, settle: (result: SlotResult) => void): QueueEntry {
    const { account, priority, weight } = request
    return { id: String(this.#nextId++), account, priority, weight: Math.max(1, weight), cost: requestCost(request.promptBytes), enqueuedAt: this.#options.now(), settle }
  }

  #removeWaiting (id: string, result: SlotResult): void {
    const entry = this.#order.remove(id)
    if (entry === undefined) return
    this.#runFunctions.delete(id)
    entry.settle(result)
  }

  /** Grants the slot; resolves once it is released. */
  #occupySlot (entry: QueueEntry): Promise<void> {
    const startedAt = this.#options.now()
    this.#running++
    if (entry.priority === 'bulk') this.#bulkRunning++
    return new Promise((resolve) => {
      let released = false
      const release = (at: number, unused = false): void => {
        if (released) return
        released = true
        this.#running--
        if (entry.priority === 'bulk') this.#bulkRunning--
        if (!unused) this.#holdTimes = updateHoldTimes(this.#holdTimes, entry.priority, Math.max(0, at - startedAt))
        resolve()
      }
      entry.settle({ kind: 'granted', release })
    })
  }

  /** Adapts the waiting requests to p-queue. `size` counts only requests that may start, so that p-queue starts none when the bulk share is used up. */
  #createPriorityQueue (): Queue<RunFunction, PQueueOptions> {
    const runFunctions = this.#runFunctions
    const order = this.#order
    const bulkAllowed = (): boolean => this.#bulkRunning < this.#bulkWindow()
    const now = this.#options.now
    return {
      get size () {
        return order.waiting.length - (bulkAllowed() ? 0 : order.count('bulk'))
      },
      enqueue: (run, options) => {
        const entry = options!.entry!
        order.enqueue(entry)
        runFunctions.set(entry.id, run)
      },
      dequeue: () => {
        const entry = order.dequeue(now(), bulkAllowed())
        if (entry === undefined) return undefined
        const run = runFunctions.get(entry.id)
        runFunctions.delete(entry.id)
        return run
      },
      filter: () => [...runFunctions.values()],
      setPriority: () => {}
    }
  }
}
