import { assertNever, type Decision } from '@quinceshunt/effects'
import { MemoryTable, type Row, type RowCheck, type RowWrite } from '@quinceshunt/table-store'
import type { StoreCommand } from '../storeCommands.js'

/** Outcome of a store call: answered, applied with a lost reply, applied later or never, refused, or the calling instance dies. */
export type CallOutcome = 'answered' | 'replyLost' | 'late' | 'refused' | 'dies'

/** A running decision of an instance. */
interface Process {
  readonly instance: string
  readonly decision: Decision<StoreCommand, unknown>
  readonly onResult: (result: never) => void
  next: IteratorResult<StoreCommand, unknown>
}

/** Runs decisions of several instances against one table, one command at a time, in the order chosen by the test. */
export class Simulation {
  readonly table = new MemoryTable()
  readonly objects = new Map<string, Uint8Array>()
  readonly dead = new Set<string>()
  now = 1000
  #processes: Process[] = []
  #delayedWrites: Array<() => void> = []

  constructor (readonly onWrite: (before: Row, write: RowWrite) => void) {}

  start<Result> (instance: string, decision: Decision<StoreCommand, Result>, onResult: (result: Result) => void): void {
    const process = { instance, decision, onResult, next: decision.next() }
    this.#processes.push(process)
    this.#removeIfDone(process)
  }

  /** Runs one command of the selected process; a wait advances the time. */
  step (pick: number, callOutcome: CallOutcome): void {
    const process = this.#processes[pick % this.#processes.length]
    if (process === undefined) return
    if (callOutcome === 'dies') return this.kill(process.instance)
    process.next = process.decision.next(this.#answer(process.next.value as StoreCommand, callOutcome))
    this.#removeIfDone(process)
  }

  /** Applies one delayed write. */
  applyDelayedWrite (pick: number): void {
    this.#delayedWrites.splice(pick % Math.max(1, this.#delayedWrites.length), 1).forEach((write) => write())
  }

  kill (instance: string): void {
    this.dead.add(instance)
    this.#processes = this.#processes.filter((process) => process.instance !== instance)
  }

  /** Applies all delayed writes and runs the remaining processes in turn without faults; all must end within the given number of commands. */
  finish (maximumCommands: number): void {
    while (this.#delayedWrites.length > 0) this.applyDelayedWrite(0)
    for (let index = 0; index < maximumCommands && this.#processes.length > 0; index++) this.step(index, 'answered')
    if (this.#processes.length > 0) throw new Error(`${this.#processes.length} processes did not end`)
  }

  #removeIfDone (process: Process): void {
    if (process.next.done !== true) return
    this.#processes = this.#processes.filter((other) => other !== process)
    process.onResult(process.next.value as never)
  }

  #answer (command: StoreCommand, callOutcome: CallOutcome): unknown {
    switch (command.kind) {
      case 'readTime': return this.now
      case 'waitUntil':
        this.now = Math.max(this.now, command.at)
        return undefined
      case 'readRows': return callOutcome === 'answered' ? { kind: 'rows', rows: this.table.read(command.keys) } : { kind: 'unavailable' }
      case 'getObject': {
        const content = this.objects.get(command.name)
        if (callOutcome !== 'answered') return { kind: 'unavailable' }
        return content === undefined ? { kind: 'absent' } : { kind: 'found', content }
      }
      case 'putObject':
        if (callOutcome !== 'answered') return { kind: 'unavailable' }
        this.objects.set(command.name, command.content)
        return { kind: 'stored' }
      case 'transactRows': return this.#transact(command.checks, command.writes, callOutcome)
      default: return assertNever(command)
    }
  }

  #transact (checks: readonly RowCheck[], writes: readonly RowWrite[], callOutcome: CallOutcome): unknown {
    const apply = (): unknown => {
      const before = this.table.read(writes.map((write) => write.key))
      const outcome = this.table.transact(checks, writes)
      if (outcome.kind === 'applied') writes.forEach((write, index) => this.onWrite(before[index]!, write))
      return outcome
    }
    switch (callOutcome) {
      case 'answered': return apply()
      case 'replyLost':
        apply()
        return { kind: 'outcomeUnknown' }
      case 'late':
        this.#delayedWrites.push(apply)
        return { kind: 'outcomeUnknown' }
      default: return { kind: 'unavailable' }
    }
  }
}
