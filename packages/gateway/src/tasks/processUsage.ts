import { processorTime } from '@quinceshunt/caller-connections'
import { performance, PerformanceObserver } from 'node:perf_hooks'
import { getHeapStatistics } from 'node:v8'
import { steadyNow } from '../clock.js'

/** What the process did since the sample before. */
export interface UsageSample {
  /** Length of the sample. */
  readonly sampledMilliseconds: number
  /** Passes of the event loop; all events that have arrived are handled in one, and one new connection of each listener is accepted. */
  readonly passes: number
  /** Events of connections and timers that were handled. */
  readonly events: number
  readonly processorMilliseconds: number
  /** Pauses of the garbage collector. */
  readonly collectorMilliseconds: number
  readonly heapBytes: number
  /** Open sockets, those of listeners too. */
  readonly sockets: number
}

/** Counts what the process uses, for the lines that say that it is behind. */
export interface ProcessUsage {
  /** Returns what was used since the last call. Lists all resources of the process, so that it is meant for rare log lines. */
  sample (): UsageSample
}

/** Starts to count. */
export function startProcessUsage (): ProcessUsage {
  let collectorMilliseconds = 0
  let last = readTotals()
  new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) collectorMilliseconds += entry.duration
  }).observe({ entryTypes: ['gc'] })

  return {
    sample: () => {
      const before = last
      last = readTotals()
      const paused = collectorMilliseconds
      collectorMilliseconds = 0
      return {
        sampledMilliseconds: last.at - before.at,
        passes: last.passes - before.passes,
        events: last.events - before.events,
        processorMilliseconds: Math.round(last.processorMilliseconds - before.processorMilliseconds),
        collectorMilliseconds: Math.round(paused),
        heapBytes: getHeapStatistics().used_heap_size,
        sockets: process.getActiveResourcesInfo().filter((resource) => resource.startsWith('TCP')).length
      }
    }
  }
}

interface UsageTotals {
  readonly at: number
  readonly passes: number
  readonly events: number
  readonly processorMilliseconds: number
}

function readTotals (): UsageTotals {
  const { loopCount, events } = performance.nodeTiming.uvMetricsInfo
  return { at: steadyNow(), passes: loopCount, events, processorMilliseconds: processorTime() }
}
