import type { InstanceEntry } from '@quinceshunt/schemas'
import type { BackendEntry } from './backendEntry.js'
import type { BackendCacheEvents, BackendLoad, BackendReader } from './backendReader.js'
import type { TaskContext } from './taskContracts.js'

/** Poll results posted to the task. */
export type PollMessage =
  | { readonly kind: 'loadReported', readonly entry: BackendEntry, readonly load: BackendLoad }
  | { readonly kind: 'cacheEventsReported', readonly entry: BackendEntry, readonly events: BackendCacheEvents }
  | { readonly kind: 'pollFailed', readonly entry: BackendEntry, readonly error: unknown }
  | { readonly kind: 'instancesListed', readonly instances: readonly InstanceEntry[], readonly asOf: number }

export interface PollingOptions {
  readonly context: TaskContext
  readonly reader: BackendReader
  readonly intervalMilliseconds: number
  /** Maximum rate of load polls; the interval is increased to stay within it. */
  readonly pollsPerSecond: number
  /** Whether routing uses the cache events of an entry. */
  readonly needsCacheEvents: (entry: BackendEntry) => boolean
  /** Entries that are currently polled. */
  readonly entries: () => readonly BackendEntry[]
  readonly post: (message: PollMessage) => void
  readonly signal: AbortSignal
}

/** A backend server that takes longer counts as unresponsive. */
export const POLL_TIMEOUT_MS = 1000
/**
 * A backend server to which this instance sends no requests is polled at a quarter of the rate, which keeps control
 * traffic low at night; at the default interval its leaving is still detected within 2 s, inside the 3 s allowed.
 */
const IDLE_INTERVAL_FACTOR = 4
/** Time without a request after which a backend server counts as idle. */
const IDLE_AFTER_MS = 3000
/** Random spread of intervals, as a fraction, so that instances started together don't poll in step. */
const POLL_JITTER = 0.1
const MIN_INSTANCE_LIST_INTERVAL_MS = 2000
/** The interval scales with the list: at about 100 bytes per entry, reading it costs at most 0.7 KB/s. */
const INSTANCE_LIST_INTERVAL_PER_ENTRY_MS = 150

/** Interval in milliseconds between polls of one backend server. */
export function pollInterval (intervalMilliseconds: number, entries: number, pollsPerSecond: number): number {
  return Math.max(intervalMilliseconds, entries * 1000 / pollsPerSecond)
}

/** Polls one backend server until its entry is removed or the task stops. */
export async function pollEntry (options: PollingOptions, entry: BackendEntry): Promise<void> {
  const { clock } = options.context
  const inUse = (): boolean => !options.signal.aborted && options.entries().includes(entry)
  while (inUse()) {
    const interval = pollInterval(options.intervalMilliseconds, options.entries().length, options.pollsPerSecond)
    const nextAt = clock.now() + interval * (1 + POLL_JITTER * (Math.random() - 0.5))
    const idleNextAt = nextAt + (IDLE_INTERVAL_FACTOR - 1) * interval
    await pollOnce(options, entry)
    await clock.waitUntil(nextAt, options.signal)
    // Idleness is checked again at each interval, so that routing doesn't use an old report for long once requests are sent there.
    while (inUse() && isIdle(entry, clock.now()) && clock.now() < idleNextAt) await clock.waitUntil(Math.min(idleNextAt, clock.now() + interval), options.signal)
  }
}

/** Whether this instance neither uses the backend server nor is waiting for it to recover. */
function isIdle (entry: BackendEntry, now: number): boolean {
  return entry.health.kind === 'healthy' && entry.history.outstanding === 0 && entry.history.changedAt + IDLE_AFTER_MS < now
}

async function pollOnce (options: PollingOptions, entry: BackendEntry): Promise<void> {
  const { reader, signal, post } = options
  const { address } = entry.server
  try {
    const load = await reader.load(address, POLL_TIMEOUT_MS)
    if (signal.aborted) return
    post({ kind: 'loadReported', entry, load })
    if (!options.needsCacheEvents(entry)) return
    const events = await reader.cacheEvents(address, entry.cache.lastSequence, POLL_TIMEOUT_MS)
    post({ kind: 'cacheEventsReported', entry, events })
  } catch (error) {
    if (!signal.aborted) post({ kind: 'pollFailed', entry, error })
  }
}

/** Polls the instance list until stopped; while it can't be read, membership relies on the other sources. */
export async function pollInstanceList (options: PollingOptions): Promise<void> {
  const { context, signal, post } = options
  let instanceCount = 0
  while (!signal.aborted) {
    try {
      const { instances, asOf } = await context.platform.instances.list()
      instanceCount = instances.length
      post({ kind: 'instancesListed', instances, asOf })
    } catch (error) {
      context.metrics.count('instance_list_failures')
      context.logger.debug({ err: error, step: 'read instance list' }, 'failed to read the instance list')
    }
    const wait = Math.max(MIN_INSTANCE_LIST_INTERVAL_MS, instanceCount * INSTANCE_LIST_INTERVAL_PER_ENTRY_MS)
    await context.clock.waitUntil(context.clock.now() + wait, signal)
  }
}
