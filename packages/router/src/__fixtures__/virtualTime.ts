import type { Clock } from '@quinceshunt/effects'

/** Event loop turns after which pending promise chains have settled. */
const EVENT_LOOP_TURNS = 3

/** Virtual clock shared by a simulated fleet. */
export class VirtualTime {
  #now = 1_000_000
  #timers: Array<{ readonly at: number, readonly run: () => void }> = []

  now (): number { return this.#now }

  schedule (at: number, run: () => void): void {
    this.#timers.push({ at, run })
  }

  /** Advances the time and runs due timers in order. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.#now + milliseconds
    for (;;) {
      await flushPromises()
      const next = this.#timers.reduce<{ at: number, run: () => void } | undefined>((first, timer) => first === undefined || timer.at < first.at ? timer : first, undefined)
      if (next === undefined || next.at > end) break
      this.#now = Math.max(this.#now, next.at)
      this.#timers = this.#timers.filter((timer) => timer !== next)
      next.run()
    }
    this.#now = end
  }
}

async function flushPromises (): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
}

/** Controls the execution of a simulated process: a paused process defers callbacks until it resumes, a dead one drops them. */
export class ProcessGate {
  paused = false
  dead = false
  #deferred: Array<() => void> = []

  execute (run: () => void): void {
    if (this.dead) return
    if (this.paused) this.#deferred.push(run)
    else run()
  }

  resume (): void {
    this.paused = false
    for (const run of this.#deferred.splice(0)) this.execute(run)
  }
}

/** Creates the clock of a simulated process. */
export function gatedClock (time: VirtualTime, gate: ProcessGate): Clock {
  return {
    now: () => time.now(),
    waitUntil: (deadline, signal) => new Promise((resolve) => {
      if (signal?.aborted === true) return resolve()
      signal?.addEventListener('abort', () => resolve(), { once: true })
      time.schedule(Math.max(time.now(), deadline), () => gate.execute(resolve))
    })
  }
}
