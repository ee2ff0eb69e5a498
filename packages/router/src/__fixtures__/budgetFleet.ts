import { create, type MessageInitShape } from '@bufbuild/protobuf'
import { billBatchCodec, billCodec, summariseBudget, topUpBudget, type BudgetSummary } from '@quinceshunt/budget'
import { MemoryTable, type Platform, runTableDecision, type TableStore } from '@quinceshunt/table-store'
import { BillRecordSchema, BudgetSettingsSchema, PeerIdentitySchema, RefusalPreference, TransferPath, type BillRecord } from '@quinceshunt/schemas'
import { createLogger, createMetrics, PlatformOutcomeUnknownError, PlatformUnavailableError } from '@quinceshunt/telemetry'
import { createBudgetTask } from '../budgetTask.js'
import type { BudgetPeerHandlers, PeerDirectory } from '../taskContracts.js'
import type { BudgetService, Reservation } from '../services.js'
import { gatedClock, ProcessGate, VirtualTime } from './virtualTime.js'

const CALL_MS = 2
const SLOW_CALL_MS = 400
const LATE_DELIVERY_MS = 700
const MAX_REQUEST_MS = 15_000

type SettingsChanges = Exclude<MessageInitShape<typeof BudgetSettingsSchema>, { $typeName: string }>

/** Fault of the simulated table service. */
export type TableFault = 'none' | 'down' | 'loseReplies' | 'lateWrites' | 'slow'
/** Fault of the simulated network between instances. */
export type PeerFault = 'none' | 'cut' | 'loseReplies' | 'duplicate'

/** Budget task of a simulated router instance. */
export interface SimulatedInstance {
  readonly id: string
  readonly gate: ProcessGate
  readonly task: BudgetService & BudgetPeerHandlers
  readonly counterValue: (name: string) => number
  /** Number of unfinished requests. */
  activeRequests: number
  draining: boolean
  stopped: boolean
  lostBills: number
}

/** A request that was run and charged. */
export interface RunRecord { readonly requestId: string, readonly tokens: bigint, readonly instance: SimulatedInstance, outcome: 'written' | 'deferred' | 'open' }

/** Several budget tasks that share an in-memory table, in virtual time. */
export class BudgetFleet {
  readonly time = new VirtualTime()
  readonly memory = new MemoryTable()
  readonly instances: SimulatedInstance[]
  readonly runs: RunRecord[] = []
  readonly refusals: Array<{ readonly code: string, readonly tokens: bigint }> = []
  tableFault: TableFault = 'none'
  peerFault: PeerFault = 'none'
  #callCount = 0

  constructor (count: number, settings: SettingsChanges = {}) {
    this.instances = Array.from({ length: count }, (_, index) => this.#startInstance(`instance-${index + 1}`, settings))
  }

  #startInstance (id: string, changes: SettingsChanges): SimulatedInstance {
    const gate = new ProcessGate()
    const metrics = createMetrics()
    const counts = new Map<string, number>()
    const count: typeof metrics.count = (name, labels, by) => {
      counts.set(name, (counts.get(name) ?? 0) + (by ?? 1))
      metrics.count(name, labels, by)
    }
    const settings = create(BudgetSettingsSchema, {
      refusalPreference: RefusalPreference.AVOID_FALSE_REFUSALS, transferPath: TransferPath.DIRECT, smallestAllowanceTokens: 200, refusalWaitMilliseconds: 1000, ...changes
    })
    const context = {
      identity: create(PeerIdentitySchema, { instanceId: id, incarnation: `${id}-a`, address: id }),
      platform: { table: this.#createTable(gate) } as Platform,
      clock: gatedClock(this.time, gate),
      logger: createLogger({ name: 'test', instanceId: id, level: 'silent' }),
      metrics: { ...metrics, count }
    }
    const task = createBudgetTask(context, settings, this.#createPeers(id, gate), { current: () => undefined, onChange: () => {} })
    return { id, gate, task, counterValue: (name) => counts.get(name) ?? 0, activeRequests: 0, draining: false, stopped: false, lostBills: 0 }
  }

  #createTable (gate: ProcessGate): TableStore {
    const call = <Result>(perform: () => Result, isWrite: boolean): Promise<Result> => new Promise((resolve, reject) => {
      if (gate.dead) return
      const fault = this.tableFault
      const schedule = (milliseconds: number, run: () => void): void => this.time.schedule(this.time.now() + milliseconds, run)
      const rejectAsUnknown = (): void => gate.execute(() => reject(new PlatformOutcomeUnknownError('no reply')))
      if (fault === 'down') return schedule(CALL_MS, () => gate.execute(() => reject(new PlatformUnavailableError('down'))))
      if (isWrite && fault === 'lateWrites') {
        schedule(LATE_DELIVERY_MS, perform)
        return schedule(CALL_MS, rejectAsUnknown)
      }
      schedule(fault === 'slow' ? SLOW_CALL_MS : CALL_MS, () => {
        const result = perform()
        if (isWrite && fault === 'loseReplies' && this.#callCount++ % 3 !== 2) return rejectAsUnknown()
        schedule(CALL_MS, () => gate.execute(() => resolve(result)))
      })
    })
    return {
      read: (keys) => call(() => this.memory.read(keys), false),
      scan: (prefix, startAfter, limit) => call(() => this.memory.scan(prefix, startAfter, limit), false),
      transact: (checks, writes) => call(() => this.memory.transact(checks, writes), true)
    }
  }

  #createPeers (ownId: string, ownGate: ProcessGate): PeerDirectory {
    const others = (): SimulatedInstance[] => this.instances.filter(({ id, stopped, gate }) => id !== ownId && !stopped && !gate.dead)
    const call = <Result>(address: string, perform: (handlers: BudgetPeerHandlers) => Result): Promise<Result> => new Promise((resolve, reject) => {
      const fail = (): void => ownGate.execute(() => reject(new Error('no answer')))
      const peer = this.instances.find(({ id }) => id === address)
      const fault = this.peerFault
      const schedule = (milliseconds: number, run: () => void): void => this.time.schedule(this.time.now() + milliseconds, run)
      if (peer === undefined || fault === 'cut' || peer.gate.dead || peer.stopped) return schedule(CALL_MS, fail)
      let answered = false
      if (peer.gate.paused) schedule(300, () => { if (!answered) fail() })
      const deliverDuplicate = (): void => {
        try {
          if (!peer.stopped) perform(peer.task)
        } catch {} // A stopping peer refuses; the duplicate has no caller to report to.
      }
      schedule(CALL_MS, () => peer.gate.execute(() => {
        try {
          if (peer.stopped) return fail()
          const result = perform(peer.task)
          answered = true
          if (fault === 'duplicate') schedule(LATE_DELIVERY_MS, () => peer.gate.execute(deliverDuplicate))
          if (fault === 'loseReplies' && this.#callCount++ % 2 === 0) return fail()
          schedule(CALL_MS, () => ownGate.execute(() => resolve(result)))
        } catch {
          fail()
        }
      }))
    })
    return {
      peers: () => others().map(({ id }) => create(PeerIdentitySchema, { instanceId: id, incarnation: `${id}-a`, address: id })),
      client: (address) => ({
        transferAllowance: async (request: never) => ({ transfer: await call(address, (handlers) => handlers.transferAllowance(request)) }),
        adoptLeases: (request: never) => call(address, (handlers) => handlers.adoptLeases(request))
      }) as unknown as ReturnType<PeerDirectory['client']>,
      otherAddresses: () => [],
      hasLostPeers: () => false
    }
  }

  /** Adds a top-up directly to the table, like the administration API. */
  async topUp (budgetId: string, topUpId: string, tokens: number): Promise<void> {
    const table = { read: async (keys: readonly string[]) => this.memory.read(keys), transact: async (checks: never, writes: never) => this.memory.transact(checks, writes) } as unknown as TableStore
    await runTableDecision(topUpBudget({ budgetId, topUpId, tokens: BigInt(tokens), operator: 'test', addedAt: 0n }), table)
  }

  /** Runs a request at an instance that holds its reservation for `milliseconds`. A charge of 0 means that the request was not run. */
  run (instance: SimulatedInstance, request: { readonly requestId: string, readonly budgetId: string, readonly ceiling: number, readonly charge: number, readonly keyed: boolean, readonly milliseconds: number }): void {
    if (instance.draining) return
    const { requestId, budgetId, ceiling } = request
    instance.activeRequests++
    const deadline = this.time.now() + 10_000
    instance.task.reserve({ requestId, budgetId, clientAccount: 'account', ceilingTokens: ceiling, deadline })
      .then((outcome) => {
        if (outcome.kind === 'refused') {
          instance.activeRequests--
          return this.refusals.push({ code: outcome.code, tokens: BigInt(ceiling) })
        }
        this.time.schedule(this.time.now() + request.milliseconds, () => instance.gate.execute(() => this.#finishRequest(instance, outcome.reservation, request)))
      }, () => {})
  }

  #finishRequest (instance: SimulatedInstance, reservation: Reservation, { requestId, budgetId, charge, keyed }: { readonly requestId: string, readonly budgetId: string, readonly charge: number, readonly keyed: boolean }): void {
    instance.activeRequests--
    if (charge === 0) return instance.task.release(reservation)
    const record: RunRecord = { requestId, tokens: BigInt(charge), instance, outcome: 'open' }
    this.runs.push(record)
    const bill = create(BillRecordSchema, { requestId, budgetId, clientAccount: 'account', incarnation: instance.id, chargedTokens: BigInt(charge) })
    instance.task.settle(reservation, bill, keyed, this.time.now() + 500).then((outcome) => { record.outcome = outcome }, () => {})
  }

  /** Stops an instance gracefully, after its requests have finished. */
  async stop (instance: SimulatedInstance, milliseconds: number): Promise<void> {
    if (instance.draining || instance.gate.dead) return
    instance.draining = true
    for (let waited = 0; instance.activeRequests > 0 && waited < MAX_REQUEST_MS; waited += 50) await this.time.advance(50)
    instance.task.stop(this.time.now() + milliseconds).then(({ lostBills }) => {
      instance.lostBills = lostBills
      instance.stopped = true
    }, () => {})
    for (let waited = 0; !instance.stopped && waited <= milliseconds + 1_000; waited += 50) await this.time.advance(50)
    // The platform kills a process that has not stopped by its deadline, for example a paused one.
    if (!instance.stopped) instance.gate.dead = true
  }

  /** Returns the sum of a counter over all instances. */
  totalCount (name: string): number {
    return this.instances.reduce((sum, instance) => sum + instance.counterValue(name), 0)
  }

  /** Returns all bills in the table. */
  bills (): BillRecord[] {
    const rows = (prefix: string) => this.memory.scan(prefix, '', 100_000).rows
    return [...rows('bill/').map(billCodec.decode), ...rows('billbatch/').flatMap((row) => billBatchCodec.decode(row).bills)]
  }

  async summary (budgetId: string): Promise<BudgetSummary> {
    const table = { read: async (keys: readonly string[]) => this.memory.read(keys), scan: async (prefix: string, after: string, limit: number) => this.memory.scan(prefix, after, limit) } as unknown as TableStore
    return (await runTableDecision(summariseBudget(budgetId, BigInt(this.time.now())), table))!
  }
}
