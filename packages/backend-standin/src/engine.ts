import { CACHE_BLOCK_BYTES } from './prompt.js'
import type { PrefixCache } from './prefixCache.js'
import type { Run } from './runRecord.js'

/** The engine stops generating this long after the last reader of a stream has gone. */
export const ABANDONED_MILLISECONDS = 5000
/** A stream can be resumed this long after its last reader has gone. */
export const HELD_MILLISECONDS = 45_000
/** Time per token with all slots in use, as a multiple of the time with one in use. */
const FULL_BATCH_SLOWDOWN = 1.5
const BYTES_PER_TOKEN = 4
const SWEEP_MILLISECONDS = 1000

export type Priority = 'interactive' | 'standard' | 'bulk'
const PRIORITY_ORDER: readonly Priority[] = ['interactive', 'standard', 'bulk']

/** One generation, held until some time after its last reader has gone. */
export interface Sequence {
  readonly requestId: string
  readonly digest: string
  readonly priority: Priority
  readonly blockHashes: readonly string[]
  readonly promptBytes: number
  /** Tokens after which it is complete. */
  readonly targetTokens: number
  readonly finishReason: 'stop' | 'length'
  readonly run: Run
  state: 'queued' | 'running' | 'paused' | 'complete' | 'cancelled'
  generatedTokens: number
  /** Prompt tokens still to be computed; undefined before it first starts. */
  prefillTokens?: number
  /** Called after each change. */
  readonly readers: Set<() => void>
  /** Unix milliseconds since when nobody reads it; undefined while somebody does. */
  unreadSince?: number
}

/** Settings of the batching model. */
export interface EngineOptions {
  readonly slots: number
  readonly tokenMilliseconds: number
  readonly prefillMilliseconds: number
  readonly cache: PrefixCache
  readonly now: () => number
  readonly onLoad: (running: number, queued: number) => void
}

/** Simulated engine with continuous batching. */
export interface Engine {
  submit (fields: Pick<Sequence, 'requestId' | 'digest' | 'priority' | 'blockHashes' | 'promptBytes' | 'targetTokens' | 'finishReason' | 'run'>): Sequence
  /** A sequence that is still held. */
  find (requestId: string): Sequence | undefined
  /** Adds a reader; a paused sequence goes on. Returns a function that removes the reader. */
  read (sequence: Sequence, reader: () => void): () => void
  cancel (sequence: Sequence): void
  stop (): void
}

/** Starts an engine. One loop advances all running sequences step by step, as a batch. */
export function startEngine (options: EngineOptions): Engine {
  const held = new Map<string, Sequence>()
  const running = new Set<Sequence>()
  let queue: Sequence[] = []
  let stepAt = 0
  let stepTimer: NodeJS.Timeout | undefined
  let stepping = false
  const sweepTimer = setInterval(sweep, SWEEP_MILLISECONDS)

  function noteLoad (): void {
    options.onLoad(running.size, queue.length)
  }

  function enqueue (sequence: Sequence): void {
    sequence.state = 'queued'
    const rank = PRIORITY_ORDER.indexOf(sequence.priority)
    const place = queue.findIndex((other) => PRIORITY_ORDER.indexOf(other.priority) > rank)
    queue.splice(place === -1 ? queue.length : place, 0, sequence)
    fillSlots()
    noteLoad()
  }

  function fillSlots (): void {
    while (running.size < options.slots) {
      const sequence = queue.shift()
      if (sequence === undefined) break
      start(sequence)
    }
    if (running.size > 0 && stepTimer === undefined && !stepping) {
      stepAt = options.now() + stepMilliseconds()
      scheduleStep()
    }
  }

  function start (sequence: Sequence): void {
    sequence.state = 'running'
    sequence.run.startedAt ??= options.now()
    if (sequence.prefillTokens === undefined) {
      const covered = options.cache.countCovered(sequence.blockHashes)
      sequence.prefillTokens = Math.ceil((sequence.promptBytes - covered * CACHE_BLOCK_BYTES) / BYTES_PER_TOKEN)
    }
    running.add(sequence)
  }

  function stepMilliseconds (): number {
    const fill = options.slots === 1 ? 0 : (running.size - 1) / (options.slots - 1)
    return options.tokenMilliseconds * (1 + (FULL_BATCH_SLOWDOWN - 1) * fill)
  }

  function scheduleStep (): void {
    stepTimer = setTimeout(runSteps, Math.max(0, stepAt - options.now()))
  }

  /** Runs all steps that are due, so that late timers don't slow the model down. */
  function runSteps (): void {
    stepTimer = undefined
    stepping = true
    const now = options.now()
    while (running.size > 0 && stepAt <= now) {
      const duration = stepMilliseconds()
      runStep(duration)
      stepAt += duration
    }
    stepping = false
    if (running.size > 0) scheduleStep()
  }

  function runStep (duration: number): void {
    const prefilling = [...running].filter((sequence) => sequence.prefillTokens! > 0)
    const prefillShare = options.prefillMilliseconds === 0 ? Infinity : duration / options.prefillMilliseconds * 1000 / Math.max(1, prefilling.length)
    for (const sequence of [...running]) {
      if (sequence.prefillTokens! > 0) prefill(sequence, prefillShare)
      else generate(sequence)
    }
  }

  function prefill (sequence: Sequence, tokens: number): void {
    sequence.prefillTokens = Math.max(0, sequence.prefillTokens! - tokens)
    if (sequence.prefillTokens === 0) options.cache.store(sequence.blockHashes)
  }

  function generate (sequence: Sequence): void {
    sequence.generatedTokens++
    sequence.run.completionTokens = sequence.generatedTokens
    if (sequence.generatedTokens >= sequence.targetTokens) finish(sequence, 'complete')
    notifyReaders(sequence)
  }

  function finish (sequence: Sequence, state: 'complete' | 'cancelled'): void {
    sequence.state = state
    sequence.run.outcome = state === 'complete' ? 'complete' : 'aborted'
    sequence.run.endedAt = options.now()
    remove(sequence)
  }

  function remove (sequence: Sequence): void {
    running.delete(sequence)
    queue = queue.filter((other) => other !== sequence)
    fillSlots()
    noteLoad()
  }

  function notifyReaders (sequence: Sequence): void {
    for (const reader of [...sequence.readers]) reader()
  }

  function pause (sequence: Sequence): void {
    sequence.state = 'paused'
    sequence.run.outcome = 'aborted'
    sequence.run.endedAt = options.now()
    remove(sequence)
  }

  function sweep (): void {
    const now = options.now()
    for (const sequence of held.values()) {
      if (sequence.unreadSince === undefined) continue
      const active = sequence.state === 'queued' || sequence.state === 'running'
      if (active && now - sequence.unreadSince >= ABANDONED_MILLISECONDS) pause(sequence)
      if (now - sequence.unreadSince >= HELD_MILLISECONDS && held.get(sequence.requestId) === sequence) held.delete(sequence.requestId)
    }
  }

  return {
    submit: (fields) => {
      const sequence: Sequence = { ...fields, state: 'queued', generatedTokens: 0, readers: new Set(), unreadSince: options.now() }
      const earlier = held.get(fields.requestId)
      if (earlier !== undefined && earlier.state !== 'complete') cancel(earlier)
      held.set(fields.requestId, sequence)
      enqueue(sequence)
      return sequence
    },
    find: (requestId) => held.get(requestId),
    read: (sequence, reader) => {
      sequence.readers.add(reader)
      sequence.unreadSince = undefined
      if (sequence.state === 'paused') {
        sequence.run.outcome = 'running'
        sequence.run.endedAt = undefined
        enqueue(sequence)
      }
      return () => {
        sequence.readers.delete(reader)
        if (sequence.readers.size === 0) sequence.unreadSince = options.now()
      }
    },
    cancel,
    stop: () => {
      clearInterval(sweepTimer)
      clearTimeout(stepTimer)
      running.clear()
    }
  }

  function cancel (sequence: Sequence): void {
    if (sequence.state === 'complete' || sequence.state === 'cancelled') return
    finish(sequence, 'cancelled')
    notifyReaders(sequence)
  }
}
