/**
 * Learns how long the backend servers of a service take, from the responses that this instance gets.
 *
 * Load: engines of different customers read between 36 and 94 prompt tokens a millisecond; with one constant for all of them the time of
 * a long prompt was underestimated by up to 2.5 times. Waiting times are part of most responses, so that the fast quarter of each size
 * of prompt counts.
 */

/** Prefill rate before enough responses were seen, tokens a millisecond. */
const PRIOR_TOKENS_PER_MILLISECOND = 90
/** Time to the first byte without any prefill, before enough responses were seen. */
const PRIOR_BASE_MS = 30
/** Duration of a response before one was seen. */
const PRIOR_DURATION_MS = 500
/** Limits to the learned rate: the times of few responses can name any. */
const TOKENS_PER_MILLISECOND = { least: 5, most: 500 } as const
/** Sizes of prompts, by the largest number of prefill tokens of each class. */
const SIZE_CLASSES = [0, 1000, 3000, 8000, Infinity] as const
/** Newest responses of a class that count. */
const MAX_SAMPLES = 48
/** A class with fewer responses is ignored. */
const MIN_SAMPLES = 8
/** Quantile of a class that waits for no other request. */
const UNDELAYED_QUANTILE = 0.25
/** Difference of two classes' tokens that is needed to estimate a rate. */
const MIN_TOKENS_BETWEEN_CLASSES = 500
const DURATION_SMOOTHING = 0.05
/** A prompt that is read faster than this multiple of the learned rate was cached. */
const MAX_RATE_FACTOR = 3

/** Learned times of one service's backend servers. */
export interface ServiceTiming {
  readonly tokensPerMillisecond: number
  /** Mean time from sending a request to the end of its response, milliseconds. */
  readonly durationMilliseconds: number
  /** Time to the first byte at a usual backend server without other requests, milliseconds. */
  expectedFirstByte (prefillTokens: number): number
  recordFirstByte (prefillTokens: number, milliseconds: number): void
  recordDuration (milliseconds: number): void
}

interface Sample {
  readonly tokens: number
  readonly milliseconds: number
}

interface Line {
  readonly baseMilliseconds: number
  readonly tokensPerMillisecond: number
}

/** The undelayed response of a class; undefined with too few of them. */
function undelayedOf (samples: readonly Sample[]): Sample | undefined {
  if (samples.length < MIN_SAMPLES) return undefined
  const sorted = [...samples].sort((left, right) => left.milliseconds - right.milliseconds)
  const fast = sorted.slice(0, Math.ceil(sorted.length * UNDELAYED_QUANTILE))
  const mean = (select: (sample: Sample) => number): number => fast.reduce((sum, sample) => sum + select(sample), 0) / fast.length
  return { tokens: mean(({ tokens }) => tokens), milliseconds: mean(({ milliseconds }) => milliseconds) }
}

/** Fits a line through the smallest and the largest class that have enough responses. */
function fitLine (classes: readonly (readonly Sample[])[]): Line {
  const points = classes.map(undelayedOf).filter((point) => point !== undefined)
  const first = points[0]
  const last = points.at(-1)
  if (first === undefined || last === undefined) return { baseMilliseconds: PRIOR_BASE_MS, tokensPerMillisecond: PRIOR_TOKENS_PER_MILLISECOND }
  const tokens = last.tokens - first.tokens
  const measured = tokens / Math.max(0.001, last.milliseconds - first.milliseconds)
  const tokensPerMillisecond = tokens < MIN_TOKENS_BETWEEN_CLASSES
    ? PRIOR_TOKENS_PER_MILLISECOND
    : Math.min(TOKENS_PER_MILLISECOND.most, Math.max(TOKENS_PER_MILLISECOND.least, measured))
  return { baseMilliseconds: Math.max(1, first.milliseconds - first.tokens / tokensPerMillisecond), tokensPerMillisecond }
}

/** Creates the timing of a service of which no response was seen. */
export function createServiceTiming (): ServiceTiming {
  const classes: Sample[][] = SIZE_CLASSES.map(() => [])
  let line: Line | undefined
  let durationMilliseconds: number | undefined

  function currentLine (): Line {
    line ??= fitLine(classes)
    return line
  }

  return {
    get tokensPerMillisecond () { return currentLine().tokensPerMillisecond },
    get durationMilliseconds () { return durationMilliseconds ?? PRIOR_DURATION_MS },
    expectedFirstByte: (prefillTokens) => currentLine().baseMilliseconds + prefillTokens / currentLine().tokensPerMillisecond,
    recordFirstByte: (prefillTokens, milliseconds) => {
      const samples = classes[SIZE_CLASSES.findIndex((most) => prefillTokens <= most)]
      if (samples === undefined || !Number.isFinite(milliseconds)) return
      // Another instance has sent the prompt's parts there, so that most of it was cached.
      if (milliseconds < prefillTokens / (currentLine().tokensPerMillisecond * MAX_RATE_FACTOR)) return
      samples.push({ tokens: prefillTokens, milliseconds })
      if (samples.length > MAX_SAMPLES) samples.shift()
      line = undefined
    },
    recordDuration: (milliseconds) => {
      durationMilliseconds = durationMilliseconds === undefined ? milliseconds : durationMilliseconds + (milliseconds - durationMilliseconds) * DURATION_SMOOTHING
    }
  }
}

/** Timings by service. */
export interface ServiceTimings {
  of (service: string): ServiceTiming
}

/** Creates timings for services as they are asked for; those that no configuration names any more are few. */
export function createServiceTimings (): ServiceTimings {
  const timings = new Map<string, ServiceTiming>()
  return {
    of: (service) => {
      const known = timings.get(service)
      if (known !== undefined) return known
      const timing = createServiceTiming()
      timings.set(service, timing)
      return timing
    }
  }
}
