import PQueue, { type Queue } from 'p-queue'
import { DispatchOrder, requestCost, type OrderedRequest } from './dispatchOrder.js'
import { observeHold, type HoldTimes, type QueueLoad } from './drainRate.js'
import type { Priority } from './priority.js'
import { admit, type Admission } from './shedding.js'

/** A request for a slot. */
export interface SlotRequest {
  readonly account: string
  /** Relative share of the client account, 1 or more. */
  readonly weight: number
  readonly priority: Priority
  readonly promptBytes: number
  /** Unix milliseconds. */
  readonly deadline: number
}

/** How a request for a slot ended; each request ends exactly once. */
export type SlotResult =
  /** The slot is held until `release` is called; further calls have no effect. An unused slot doesn't count in the drain rate. */
  | { readonly kind: 'granted', readonly release: (at: number, unused?: boolean) => void }
  /** The queue is full or its wait too long; `overShare` when the account holds more than its share of it. */
  | { readonly kind: 'shed', readonly overShare: boolean, readonly retryAt: number }
  /** Taken out by its caller. */
  | { readonly kind: 'withdrawn' }

/** A request that was taken in. */
export interface SlotTicket {
  /** Takes the request out while it waits; no effect once it has ended. */
  withdraw (): void
}

/** Limits of a queue. */
export interface SlotQueueOptions {
  /** Requests waiting at most. */
  readonly queueLimit: number
  /** Requests running at most; `setWindow` changes it. */
  readonly window: number
  /** Share of the window that bulk requests may hold, above 0 to 1; at least one slot. */
  readonly bulkShare: number
  /** Unix time in milliseconds. */
  readonly now: () => number
}

interface Entry extends OrderedRequest {
  readonly settle: (result: SlotResult) => void
}

/** Options that p-queue passes to its queue class; they carry the request. */
type EntryOptions = { priority?: number, entry?: Entry }
type RunFunction = () => Promise<unknown>

/** Bounded queue and slots of one backend server. */
export class SlotQueue {
  readonly #order = new DispatchOrder<Entry>()
  readonly #runs = new Map<string, RunFunction>()
  readonly #queue: PQueue<Queue<RunFunction, EntryOptions>, EntryOptions>
  readonly #options: SlotQueueOptions
  #window: number
  #running = 0
  #bulkRunning = 0
  #holds: HoldTimes = {}
  #nextId = 0

  constructor (options: SlotQueueOptions) {
    this.#options = options
    this.#window = options.window
    const order = this.#createPriorityQueue()
    // p-queue instantiates its queue class itself; the constructor hands it the one that this object works with.
    this.#queue = new PQueue({ concurrency: options.window, queueClass: class { constructor () { return order } } as unknown as new () => typeof order })
  }

  /** Requests that may run at once. */
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

  /** State that the expected wait is computed from. */
  load (): QueueLoad {
    const waiting = { interactive: this.#order.count('interactive'), standard: this.#order.count('standard'), bulk: this.#order.count('bulk') }
    return { waiting, window: this.#window, bulkWindow: this.#bulkWindow(), running: this.#running, holds: this.#holds }
  }

  /** Changes how many requests may run at once; running ones are not affected. */
  setWindow (window: number): void {
    if (window === this.#window) return
    this.#window = window
    this.#queue.concurrency = window
  }

  /** What `request` would answer, without doing it. */
  preview (request: SlotRequest): Admission<OrderedRequest> {
    return this.#decide(request)
  }

  /** Asks for a slot; `settle` is called exactly once, possibly before this returns. */
  request (request: SlotRequest, settle: (result: SlotResult) => void): SlotTicket {
    const decision = this.#decide(request)
    if (decision.kind === 'shed') {
      settle(decision)
      return { withdraw: () => {} }
    }
    if (decision.kind === 'displacing') {
      this.#takeOut(decision.displaced.id, { kind: 'shed', overShare: decision.displaced.priority === request.priority, retryAt: decision.retryAt })
    }
    const entry = this.#createEntry(request, settle)
    this.#queue.add(() => this.#hold(entry), { entry })
    return { withdraw: () => this.#takeOut(entry.id, { kind: 'withdrawn' }) }
  }

  /** Takes out all waiting requests, which end as withdrawn. */
  withdrawAll (): void {
    for (const entry of [...this.#order.waiting]) this.#takeOut(entry.id, { kind: 'withdrawn' })
  }

  #decide (request: SlotRequest): Admission<Entry> {
    if (this.#startsAtOnce(request.priority)) return { kind: 'queued' }
    return admit({ request, waiting: this.#order.waiting, queueLimit: this.#options.queueLimit, load: this.load(), now: this.#options.now() })
  }

  #startsAtOnce (priority: Priority): boolean {
    if (this.#queue.pending >= this.#window) return false
    return priority !== 'bulk' || this.#bulkRunning < this.#bulkWindow()
  }

  #bulkWindow (): number {
    return Math.max(1, Math.floor(this.#window * this.#options.bulkShare))
  }

  #createEntry (request: SlotRequest, settle: (result: SlotResult) => void): Entry {
    const { account, priority, weight } = request
    return { id: String(this.#nextId++), account, priority, weight: Math.max(1, weight), cost: requestCost(request.promptBytes), enqueuedAt: this.#options.now(), settle }
  }

  #takeOut (id: string, result: SlotResult): void {
    const entry = this.#order.remove(id)
    if (entry === undefined) return
    this.#runs.delete(id)
    entry.settle(result)
  }

  /** Occupies a slot until it is released. */
  #hold (entry: Entry): Promise<void> {
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
        if (!unused) this.#holds = observeHold(this.#holds, entry.priority, Math.max(0, at - startedAt))
        resolve()
      }
      entry.settle({ kind: 'granted', release })
    })
  }

  /** p-queue's view of the waiting requests. Its size counts only those that may start, so that a full bulk share doesn't start anything. */
  #createPriorityQueue (): Queue<RunFunction, EntryOptions> {
    const runs = this.#runs
    const order = this.#order
    const bulkAllowed = (): boolean => this.#bulkRunning < this.#bulkWindow()
    const now = this.#options.now
    return {
      get size () {
        return order.waiting.length - (bulkAllowed() ? 0 : order.count('bulk'))
      },
      enqueue: (run, options) => {
        const entry = options!.entry!
        order.add(entry)
        runs.set(entry.id, run)
      },
      dequeue: () => {
        const entry = order.next(now(), bulkAllowed())
        if (entry === undefined) return undefined
        const run = runs.get(entry.id)
        runs.delete(entry.id)
        return run
      },
      filter: () => [...runs.values()],
      setPriority: () => {}
    }
  }
}
