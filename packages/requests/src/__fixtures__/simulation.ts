import { assertNever, type Decision } from '@quinceshunt/effects'
import { MemoryTable, type Row, type RowCheck, type RowWrite } from '@quinceshunt/table-store'
import type { StoreCommand } from '../storeCommands.js'

/** What happens to one store call: answered, applied with a lost reply, applied later or never, refused, or its process dies. */
export type Fate = 'answered' | 'replyLost' | 'late' | 'refused' | 'dies'

/** One decision that runs in the simulation. */
interface Process {
  readonly instance: string
  readonly decision: Decision<StoreCommand, unknown>
  readonly finished: (result: never) => void
  next: IteratorResult<StoreCommand, unknown>
}

/** Runs decisions of several instances against one table, one command at a time, in an order given from outside. */
export class Simulation {
  readonly table = new MemoryTable()
  readonly objects = new Map<string, Uint8Array>()
  readonly dead = new Set<string>()
  now = 1000
  #processes: Process[] = []
  #late: Array<() => void> = []

  constructor (readonly onWrite: (before: Row, write: RowWrite) => void) {}

  start<Result> (instance: string, decision: Decision<StoreCommand, Result>, finished: (result: Result) => void): void {
    const process = { instance, decision, finished, next: decision.next() }
    this.#processes.push(process)
    this.#settle(process)
  }

  /** Runs one command of the process picked; a process that waits moves the time on. */
  step (pick: number, fate: Fate): void {
    const process = this.#processes[pick % this.#processes.length]
    if (process === undefined) return
    if (fate === 'dies') return this.kill(process.instance)
    process.next = process.decision.next(this.#answer(process.next.value as StoreCommand, fate))
    this.#settle(process)
  }

  /** Lets one delayed write take effect. */
  landLate (pick: number): void {
    this.#late.splice(pick % Math.max(1, this.#late.length), 1).forEach((write) => write())
  }

  kill (instance: string): void {
    this.dead.add(instance)
    this.#processes = this.#processes.filter((process) => process.instance !== instance)
  }

  /** Ends all faults and runs what is left, in turns; background work must end within the rounds. */
  finish (rounds: number): void {
    while (this.#late.length > 0) this.landLate(0)
    for (let round = 0; round < rounds && this.#processes.length > 0; round++) this.step(round, 'answered')
    if (this.#processes.length > 0) throw new Error(`${this.#processes.length} processes did not end`)
  }

  #settle (process: Process): void {
    if (process.next.done !== true) return
    this.#processes = this.#processes.filter((other) => other !== process)
    process.finished(process.next.value as never)
  }

  #answer (command: StoreCommand, fate: Fate): unknown {
    switch (command.kind) {
      case 'readTime': return this.now
      case 'waitUntil':
        this.now = Math.max(this.now, command.at)
        return undefined
      case 'readRows': return fate === 'answered' ? { kind: 'rows', rows: this.table.read(command.keys) } : { kind: 'unavailable' }
      case 'getObject': {
        const content = this.objects.get(command.name)
        if (fate !== 'answered') return { kind: 'unavailable' }
        return content === undefined ? { kind: 'absent' } : { kind: 'found', content }
      }
      case 'putObject':
        if (fate !== 'answered') return { kind: 'unavailable' }
        this.objects.set(command.name, command.content)
        return { kind: 'stored' }
      case 'transactRows': return this.#transact(command.checks, command.writes, fate)
      default: return assertNever(command)
    }
  }

  #transact (checks: readonly RowCheck[], writes: readonly RowWrite[], fate: Fate): unknown {
    const apply = (): unknown => {
      const before = this.table.read(writes.map((write) => write.key))
      const outcome = this.table.transact(checks, writes)
      if (outcome.kind === 'applied') writes.forEach((write, index) => this.onWrite(before[index]!, write))
      return outcome
    }
    switch (fate) {
      case 'answered': return apply()
      case 'replyLost':
        apply()
        return { kind: 'outcomeUnknown' }
      case 'late':
        this.#late.push(apply)
        return { kind: 'outcomeUnknown' }
      default: return { kind: 'unavailable' }
    }
  }
}
