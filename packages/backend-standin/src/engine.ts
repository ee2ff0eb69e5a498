import { CACHE_BLOCK_BYTES } from './prompt.js'
import type { PrefixCache } from './prefixCache.js'
import type { Run } from './runRecord.js'

/** Time after the last reader disconnects until the engine pauses the sequence. */
export const ABANDON_TIMEOUT_MILLISECONDS = 5000
/** Time after the last reader disconnects during which a stream can be resumed. */
export const RETENTION_MILLISECONDS = 45_000
/** Time per token with all slots in use, relative to the time with one slot in use. */
const FULL_BATCH_SLOWDOWN = 1.5
const BYTES_PER_TOKEN = 4
const SWEEP_INTERVAL_MILLISECONDS = 1000

export type Priority = 'interactive' | 'standard' | 'bulk'
const PRIORITY_ORDER: readonly Priority[] = ['interactive', 'standard', 'bulk']

/** One generation; retained for `RETENTION_MILLISECONDS` after its last reader disconnects. */
export interface Sequence {
  readonly requestId: string
  readonly promptDigest: string
  readonly priority: Priority
  readonly blockHashes: readonly string[]
  readonly promptBytes: number
  /** Number of generated tokens at which the sequence is complete. */
  readonly targetTokens: number
  readonly finishReason: 'stop' | 'length'
  readonly run: Run
  state: 'queued' | 'running' | 'paused' | 'complete' | 'cancelled'
  generatedTokens: number
  /** Undefined before the first start. */
  remainingPrefillTokens?: number
  /** Callbacks, called after each generated token and on cancellation. */
  readonly readers: Set<() => void>
  /** Unix milliseconds since when it has had no reader; undefined while it has one. */
  unreadSince?: number
}

/** Settings and dependencies of the simulated engine. */
export interface EngineOptions {
  readonly slots: number
  readonly tokenMilliseconds: number
  /** Time to compute 1000 prompt tokens. */
  readonly prefillMilliseconds: number
  readonly cache: PrefixCache
  readonly now: () => number
  readonly onLoad: (running: number, queued: number) => void
}

/** Simulated engine with continuous batching. */
export interface Engine {
  /** Queues a sequence; cancels an incomplete one with the same request ID. */
  submit (fields: Pick<Sequence, 'requestId' | 'promptDigest' | 'priority' | 'blockHashes' | 'promptBytes' | 'targetTokens' | 'finishReason' | 'run'>): Sequence
  /** Returns a sequence that is still retained. */
  find (requestId: string): Sequence | undefined
  /** Adds a reader and resumes a paused sequence. Returns a function that removes the reader. */
  addReader (sequence: Sequence, reader: () => void): () => void
  cancel (sequence: Sequence): void
  stop (): void
}

/** Starts an engine. One timer loop advances all running sequences together, one step at a time. */
export function startEngine (options: EngineOptions): Engine {
  const retained = new Map<string, Sequence>()
  const running = new Set<Sequence>()
  let queue: Sequence[] = []
  let nextStepAt = 0
  let stepTimer: NodeJS.Timeout | undefined
  let stepping = false
  const sweepTimer = setInterval(sweep, SWEEP_INTERVAL_MILLISECONDS)

  function reportLoad (): void {
    options.onLoad(running.size, queue.length)
  }

  function enqueue (sequence: Sequence): void {
    sequence.state = 'queued'
    const rank = PRIORITY_ORDER.indexOf(sequence.priority)
    const index = queue.findIndex((other) => PRIORITY_ORDER.indexOf(other.priority) > rank)
    queue.splice(index === -1 ? queue.length : index, 0, sequence)
    fillSlots()
    reportLoad()
  }

  function fillSlots (): void {
    while (running.size < options.slots) {
      const sequence = queue.shift()
      if (sequence === undefined) break
      start(sequence)
    }
    if (running.size > 0 && stepTimer === undefined && !stepping) {
      nextStepAt = options.now() + stepMilliseconds()
      scheduleStep()
    }
  }

  function start (sequence: Sequence): void {
    sequence.state = 'running'
    sequence.run.startedAt ??= options.now()
    if (sequence.remainingPrefillTokens === undefined) {
      const cachedBlocks = options.cache.countCachedBlocks(sequence.blockHashes)
      sequence.remainingPrefillTokens = Math.ceil((sequence.promptBytes - cachedBlocks * CACHE_BLOCK_BYTES) / BYTES_PER_TOKEN)
    }
    running.add(sequence)
  }

  function stepMilliseconds (): number {
    const batchFill = options.slots === 1 ? 0 : (running.size - 1) / (options.slots - 1)
    return options.tokenMilliseconds * (1 + (FULL_BATCH_SLOWDOWN - 1) * batchFill)
  }

  function scheduleStep (): void {
    stepTimer = setTimeout(runSteps, Math.max(0, nextStepAt - options.now()))
  }

  /** Runs all overdue steps, so that late timers don't slow the simulated engine down. */
  function runSteps (): void {
    stepTimer = undefined
    stepping = true
    const now = options.now()
    while (running.size > 0 && nextStepAt <= now) {
      const duration = stepMilliseconds()
      runStep(duration)
      nextStepAt += duration
    }
    stepping = false
    if (running.size > 0) scheduleStep()
  }

  function runStep (duration: number): void {
    const prefilling = [...running].filter((sequence) => sequence.remainingPrefillTokens! > 0)
    const prefillTokensPerSequence = options.prefillMilliseconds === 0 ? Infinity : duration / options.prefillMilliseconds * 1000 / Math.max(1, prefilling.length)
    for (const sequence of [...running]) {
      if (sequence.remainingPrefillTokens! > 0) prefill(sequence, prefillTokensPerSequence)
      else generate(sequence)
    }
  }

  function prefill (sequence: Sequence, tokens: number): void {
    sequence.remainingPrefillTokens = Math.max(0, sequence.remainingPrefillTokens! - tokens)
    if (sequence.remainingPrefillTokens === 0) options.cache.store(sequence.blockHashes)
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
    reportLoad()
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
    for (const sequence of retained.values()) {
      if (sequence.unreadSince === undefined) continue
      const active = sequence.state === 'queued' || sequence.state === 'running'
      if (active && now - sequence.unreadSince >= ABANDON_TIMEOUT_MILLISECONDS) pause(sequence)
      if (now - sequence.unreadSince >= RETENTION_MILLISECONDS && retained.get(sequence.requestId) === sequence) retained.delete(sequence.requestId)
    }
  }

  return {
    submit: (fields) => {
      const sequence: Sequence = { ...fields, state: 'queued', generatedTokens: 0, readers: new Set(), unreadSince: options.now() }
      const previous = retained.get(fields.requestId)
      if (previous !== undefined && previous.state !== 'complete') cancel(previous)
      retained.set(fields.requestId, sequence)
      enqueue(sequence)
      return sequence
    },
    find: (requestId) => retained.get(requestId),
    addReader: (sequence, reader) => {
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
