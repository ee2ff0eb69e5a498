import type { InstanceEntry } from '@quinceshunt/schemas'
import type { BackendEntry } from './backendEntry.js'
import type { BackendCacheEvents, BackendLoad, BackendReader } from './backendReader.js'
import type { TaskContext } from './taskContracts.js'

/** What polls report to the task. */
export type PollMessage =
  | { readonly kind: 'loadReported', readonly entry: BackendEntry, readonly load: BackendLoad }
  | { readonly kind: 'cacheEventsReported', readonly entry: BackendEntry, readonly events: BackendCacheEvents }
  | { readonly kind: 'pollFailed', readonly entry: BackendEntry, readonly error: unknown }
  | { readonly kind: 'instancesListed', readonly instances: readonly InstanceEntry[], readonly asOf: number }

/** How backend servers are polled. */
export interface PollingOptions {
  readonly context: TaskContext
  readonly reader: BackendReader
  readonly intervalMilliseconds: number
  /** Load reports read per second at most; beyond it the interval grows. */
  readonly pollsPerSecond: number
  /** Whether the cache events of an entry are wanted. */
  readonly wantsCacheEvents: (entry: BackendEntry) => boolean
  /** Entries polled at present. */
  readonly entries: () => readonly BackendEntry[]
  readonly post: (message: PollMessage) => void
  readonly signal: AbortSignal
}

/** Time for one poll, milliseconds; a backend server that needs longer is as good as silent. */
const POLL_TIMEOUT_MILLISECONDS = 1000
/**
 * A backend server to which this instance sends nothing is polled at a quarter of the rate, which keeps control traffic low
 * at night; its leaving still shows within 2 s at the default interval, inside the 3 s allowed.
 */
const IDLE_FACTOR = 4
/** Time without a request after which a backend server counts as idle, milliseconds. */
const IDLE_AFTER_MILLISECONDS = 3000
/** Share by which intervals are spread, so that instances started together don't poll together. */
const POLL_JITTER = 0.1
/** Shortest time between reads of the instance list, milliseconds. */
const INSTANCE_LIST_MILLISECONDS = 2000
/** Added wait for each listed instance, milliseconds; an entry takes about 100 bytes, so the list costs at most 0.7 KB/s. */
const INSTANCE_LIST_MILLISECONDS_PER_ENTRY = 150

/** Time between two polls of one backend server, milliseconds. */
export function pollInterval (intervalMilliseconds: number, entries: number, pollsPerSecond: number): number {
  return Math.max(intervalMilliseconds, entries * 1000 / pollsPerSecond)
}

/** Polls one backend server until it is no longer in use. */
export async function pollEntry (options: PollingOptions, entry: BackendEntry): Promise<void> {
  const { clock } = options.context
  const inUse = (): boolean => !options.signal.aborted && options.entries().includes(entry)
  while (inUse()) {
    const interval = pollInterval(options.intervalMilliseconds, options.entries().length, options.pollsPerSecond)
    const nextAt = clock.now() + interval * (1 + POLL_JITTER * (Math.random() - 0.5))
    const idleNextAt = nextAt + (IDLE_FACTOR - 1) * interval
    await pollOnce(options, entry)
    await clock.waitUntil(nextAt, options.signal)
    // Looked at again in each interval, so that a backend server that comes into use is not known by an old report for long.
    while (inUse() && isIdle(entry, clock.now()) && clock.now() < idleNextAt) await clock.waitUntil(Math.min(idleNextAt, clock.now() + interval), options.signal)
  }
}

/** Whether this instance neither uses the backend server nor waits for its recovery. */
function isIdle (entry: BackendEntry, now: number): boolean {
  return entry.health.kind === 'healthy' && entry.history.outstanding === 0 && entry.history.changedAt + IDLE_AFTER_MILLISECONDS < now
}

async function pollOnce (options: PollingOptions, entry: BackendEntry): Promise<void> {
  const { reader, signal, post } = options
  const { address } = entry.server
  try {
    const load = await reader.load(address, POLL_TIMEOUT_MILLISECONDS)
    if (signal.aborted) return
    post({ kind: 'loadReported', entry, load })
    if (!options.wantsCacheEvents(entry)) return
    const events = await reader.cacheEvents(address, entry.cache.lastSequence, POLL_TIMEOUT_MILLISECONDS)
    post({ kind: 'cacheEventsReported', entry, events })
  } catch (error) {
    if (!signal.aborted) post({ kind: 'pollFailed', entry, error })
  }
}

/** Reads the instance list until stopped; while it can't be read, the other sources go on. */
export async function pollInstanceList (options: PollingOptions): Promise<void> {
  const { context, signal, post } = options
  let listed = 0
  while (!signal.aborted) {
    try {
      const { instances, asOf } = await context.platform.instances.list()
      listed = instances.length
      post({ kind: 'instancesListed', instances, asOf })
    } catch (error) {
      context.metrics.count('instance_list_failures')
      context.logger.debug({ err: error, step: 'read instance list' }, 'instance list not read')
    }
    const wait = Math.max(INSTANCE_LIST_MILLISECONDS, listed * INSTANCE_LIST_MILLISECONDS_PER_ENTRY)
    await context.clock.waitUntil(context.clock.now() + wait, signal)
  }
}
