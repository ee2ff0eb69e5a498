import { build, type Histogram } from 'hdr-histogram-js'

/**
 * Times from sending a request to the first byte of its response, of first attempts, by service and size class.
 *
 * Load: short prompts beside long ones, and single backend servers that are several times slower than the others. From these times
 * follow when a request counts as slow, and whether all backend servers are.
 */

/** Requests that need longer are given up, and are counted as this long. */
const MAX_MILLISECONDS = 60_000
/** Steps of a tenth of a millisecond. */
const STEPS_PER_MILLISECOND = 10
const SIGNIFICANT_DIGITS = 2
/** A histogram covers the last 15 to 30 s: it is filled for 15 s before it is looked at, and for 15 s after. */
const ROTATION_MS = 15_000
/** Fewer responses give no percentile. */
const MIN_RESPONSES = 50
const SLOW_PERCENTILE = 95
/** Below this, a second send costs more than it wins. */
const MIN_DELAY_MS = 20
/** Time over which the median is taken that tells whether all backend servers are slow. */
const RECENT_MS = 2000

/** A first attempt in progress. */
export interface FirstAttempt {
  /** The first byte has arrived. */
  answer (now: number): void
  /** It was ended because another one was faster, or because it failed. Without the time that it took, only fast ones would be counted. */
  end (now: number, isOutrun: boolean): void
}

/** Times to the first byte of one instance. Times by `steadyNow`. */
export interface FirstByteTimes {
  /** Time after which a request without a response is slow; undefined while too few responses were seen. */
  slowAfter (service: string, prefillTokens: number, now: number): number | undefined
  /** True when more than half of the service's other requests of the last 2 s are slow too. */
  areAllSlow (service: string, now: number, own: FirstAttempt): boolean
  begin (service: string, prefillTokens: number, now: number): FirstAttempt
}

interface SizeClass {
  current: Histogram
  next: Histogram
  rotateAt: number
}

interface OpenAttempt extends FirstAttempt {
  readonly sentAt: number
  readonly prefillTokens: number
}

interface ServiceTimes {
  readonly classes: Map<number, SizeClass>
  readonly open: Set<OpenAttempt>
  recent: Array<{ readonly at: number, readonly isSlow: boolean }>
}

/** Classes by powers of four of the expected prefill tokens. */
export function sizeClassOf (prefillTokens: number): number {
  return Math.floor(Math.log2(Math.max(1, prefillTokens)) / 2)
}

function createTimes (): Histogram {
  return build({ highestTrackableValue: MAX_MILLISECONDS * STEPS_PER_MILLISECOND, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, useWebAssembly: false })
}

function rotate (sizeClass: SizeClass, now: number): void {
  if (now < sizeClass.rotateAt) return
  const isOutdated = now >= sizeClass.rotateAt + ROTATION_MS
  sizeClass.current = isOutdated ? createTimes() : sizeClass.next
  sizeClass.next = createTimes()
  sizeClass.rotateAt = now + ROTATION_MS
}

/** Creates an instance's view without any times. */
export function createFirstByteTimes (): FirstByteTimes {
  const services = new Map<string, ServiceTimes>()

  function timesOf (service: string): ServiceTimes {
    const found = services.get(service)
    if (found !== undefined) return found
    const created: ServiceTimes = { classes: new Map(), open: new Set(), recent: [] }
    services.set(service, created)
    return created
  }

  function classOf ({ classes }: ServiceTimes, prefillTokens: number, now: number): SizeClass {
    const key = sizeClassOf(prefillTokens)
    const found = classes.get(key) ?? { current: createTimes(), next: createTimes(), rotateAt: now + ROTATION_MS }
    classes.set(key, found)
    rotate(found, now)
    return found
  }

  function slowAfterIn (times: ServiceTimes, prefillTokens: number, now: number): number | undefined {
    const { current } = classOf(times, prefillTokens, now)
    if (current.totalCount < MIN_RESPONSES) return undefined
    return Math.max(MIN_DELAY_MS, current.getValueAtPercentile(SLOW_PERCENTILE) / STEPS_PER_MILLISECOND)
  }

  function record (times: ServiceTimes, prefillTokens: number, milliseconds: number, now: number): void {
    const slowAfter = slowAfterIn(times, prefillTokens, now)
    if (slowAfter !== undefined) times.recent = [...times.recent.filter(({ at }) => at > now - RECENT_MS), { at: now, isSlow: milliseconds > slowAfter }]
    const { current, next } = classOf(times, prefillTokens, now)
    const steps = Math.min(MAX_MILLISECONDS, Math.max(0, milliseconds)) * STEPS_PER_MILLISECOND
    for (const histogram of [current, next]) histogram.recordValue(Math.max(1, Math.round(steps)))
  }

  return {
    slowAfter: (service, prefillTokens, now) => slowAfterIn(timesOf(service), prefillTokens, now),
    areAllSlow: (service, now, own) => {
      const times = timesOf(service)
      const recent = times.recent.filter(({ at }) => at > now - RECENT_MS)
      let slow = recent.filter(({ isSlow }) => isSlow).length
      let all = recent.length
      for (const open of times.open) {
        const slowAfter = slowAfterIn(times, open.prefillTokens, now)
        // Of one that is not slow yet, nothing is known.
        if (open === own || slowAfter === undefined || now - open.sentAt <= slowAfter) continue
        slow++
        all++
      }
      return slow * 2 > all
    },
    begin: (service, prefillTokens, now) => {
      const times = timesOf(service)
      const sentAt = now
      const attempt: OpenAttempt = {
        sentAt,
        prefillTokens,
        answer: (at) => { if (times.open.delete(attempt)) record(times, prefillTokens, at - sentAt, at) },
        end: (at, isOutrun) => { if (times.open.delete(attempt) && isOutrun) record(times, prefillTokens, at - sentAt, at) }
      }
      times.open.add(attempt)
      return attempt
    }
  }
}
