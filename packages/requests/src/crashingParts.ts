/**
 * Finds prompt parts that crash each backend server that begins to answer a prompt with them, whatever else it holds.
 *
 * Expected load: requests that share most of their parts, few of them with the crashing one, at many instances. Each crash
 * makes all parts of the requests that it left unanswered suspects. A sound part is soon answered elsewhere; a crashing
 * one never is. While nothing is answered, each crash is attributed to one part: rather to one that was never answered,
 * and to the one that explains the most crashes with the fewest requests. So a part that nearly all prompts share is not
 * held back for the one that crashes.
 *
 * The content of a request is a part that only its repetitions share. A request that is sent again unchanged is found by
 * it, however far its backend servers got with the answer.
 */

const CONTENT_PREFIX = 'content:'

/** Successive crashes after which a part is held back for some seconds, in which a sound one is answered, and its requests are not retried. */
const SUSPECT_CRASH_COUNT = 2
/** About the time for which a crashed backend server is away. */
const SUSPECT_MS = 4000
/** Successive crashes after which a part is quarantined. */
const QUARANTINE_CRASH_COUNT = 3
/** A part that each crash left in more unanswered requests than this is one that many requests share, and needs more crashes. */
const MAX_REQUESTS_PER_CRASH = 8
/** Further crashes after which such a part, or a content that was answered before, is held back. */
const FURTHER_CRASHES = 2
/** Crashes further apart are not taken for a series. */
const SERIES_MS = 120_000
/** Time in which the number of instances that may send a released part again grows e-fold: several times the second in which most learn of a crash. */
const RELEASE_GROWTH_MS = 5000
/** Time after its last crash for which a part is quarantined; then one further crash quarantines it again. */
const QUARANTINE_MS = 600_000
/** Time until all reports of a crash are there: an instance that knows only its own requests can't tell their parts apart. */
const REPORT_DELAY_MS = 600
/** Older crashes say nothing about the present. */
const MAX_CRASH_AGE_MS = QUARANTINE_MS + SERIES_MS
/** Later crashes of a part are recorded in place of its earliest ones. */
const MAX_CRASHES_PER_PART = 32
/** The least recently used parts are evicted first. */
const MAX_PARTS = 10_000

/** A request that its backend server had not answered completely when it crashed. Times are on a clock that all instances share, milliseconds. */
export interface UnansweredRequest {
  /** Unique in the fleet, so that a request that is reported again counts once. */
  readonly id: string
  /** Prompt parts that other requests may share, unless the answer had gone on after its start, and the content. */
  readonly parts: readonly string[]
  /** Backend server and its process, so that one crash is told from the next. */
  readonly backendProcess: string
  readonly sentAt: number
  readonly crashedAt: number
}

type Crash = Omit<UnansweredRequest, 'parts'>

/** Returns the part that stands for a request's content. IDs of prompt parts contain no colon. */
export function contentPart (fingerprint: string): string {
  return `${CONTENT_PREFIX}${fingerprint}`
}

/** Returns true for a part made by `contentPart`. */
export function isContentPart (part: string): boolean {
  return part.startsWith(CONTENT_PREFIX)
}

/** Who knows of an answer: `own`, only this instance; `shared`, all instances. */
export type AnswerSource = 'own' | 'shared'

/** Evidence about prompt parts, from this instance's requests and the reports of other instances. Times are on the shared clock. */
export interface CrashingParts {
  /** Records a request once, however often it is reported; returns the parts that this instance knows to be sound while others may suspect them. */
  recordCrash (request: UnansweredRequest): readonly string[]
  /** Records that a backend server began to answer a prompt with the parts at `answeredAt` and went on; returns like `recordCrash`. */
  recordAnswer (parts: readonly string[], answeredAt: number, source: AnswerSource): readonly string[]
  /** Time of the latest known answer to a part. */
  answeredAt (part: string): number | undefined
  /** The suspects because of which a request with these parts may not be sent. */
  findHeldBack (parts: readonly string[], now: number): SuspectedGroup | undefined
  /** True when a crash of a request with the part is known. */
  hasCrashed (part: string): boolean
  /** True when a request with the parts must not be retried, also while one is sent to see whether the parts still crash. */
  isSuspect (parts: readonly string[], now: number): boolean
  /** True while other instances may suspect a part that this one knows to be sound. */
  isWronglySuspected (part: string): boolean
  crashCount (part: string): number
  /** Parts that are held back, alone or with others that were always beside them. */
  suspectedGroups (now: number): readonly SuspectedGroup[]
  /** True while an answer to any part can change what is known. */
  readonly hasSuspects: boolean
}

/** What crashes say of a part. */
interface Assessment {
  readonly crashCount: number
  readonly heldBackUntil: number
}

/** Parts that were in the same crashed requests and can't be told apart; only requests with all of them are held back. */
export interface SuspectedGroup extends Assessment {
  readonly parts: readonly string[]
}

/** Numbers of successive crashes from which parts are held back. */
interface CrashLimits {
  readonly suspect: number
  readonly quarantine: number
}

const PART_LIMITS: CrashLimits = { suspect: SUSPECT_CRASH_COUNT, quarantine: QUARANTINE_CRASH_COUNT }
/** Higher, as a sound stream that is resumed can be broken by two crashes of other requests. */
const CONTENT_LIMITS: CrashLimits = { suspect: QUARANTINE_CRASH_COUNT, quarantine: QUARANTINE_CRASH_COUNT }

function raiseLimits (limits: CrashLimits, crashes: number): CrashLimits {
  return { suspect: limits.suspect + crashes, quarantine: limits.quarantine + crashes }
}

/**
 * Counts the crashes, in order of time, of which each request was sent after the crash before: requests that wait at several backend servers
 * when these fail together show nothing about their parts.
 */
function assess (crashes: readonly Crash[], limits: CrashLimits = PART_LIMITS): Assessment {
  let series: Crash[] = []
  let isQuarantined = false
  let heldBackUntil = -Infinity
  for (const crash of crashes) {
    const last = series.at(-1)
    const isSuccessive = last === undefined || crash.sentAt > last.crashedAt
    if (!isSuccessive || series.some((earlier) => earlier.backendProcess === crash.backendProcess)) continue
    series = [...series.filter((earlier) => earlier.crashedAt > crash.crashedAt - SERIES_MS), crash]
    isQuarantined ||= series.length >= limits.quarantine
    if (isQuarantined) heldBackUntil = crash.crashedAt + QUARANTINE_MS
    else if (series.length >= limits.suspect) heldBackUntil = crash.crashedAt + SUSPECT_MS
  }
  return { crashCount: series.length, heldBackUntil }
}

/** When all reports of a crash are there. */
function countsFrom (crash: Crash): number {
  return crash.crashedAt + REPORT_DELAY_MS
}

function compareCrashes (left: Crash, right: Crash): number {
  return left.crashedAt - right.crashedAt
}

interface Candidate {
  readonly parts: string[]
  readonly crashes: readonly Crash[]
  /** All of the parts were answered before the crashes. */
  wasAnswered: boolean
  /** High for a part that explains many crashes with few requests. */
  readonly score: number
}

function countProcesses (crashes: readonly Crash[]): number {
  return new Set(crashes.map((crash) => crash.backendProcess)).size
}

/** With the square, a sound part that one request each brought into half of the crashes outweighs the cause of all when more than two each had it. */
function scoreOf (crashes: readonly Crash[]): number {
  return countProcesses(crashes) ** 3 / crashes.length
}

/** Joins parts that were in the same crashed requests. */
function joinCompanions (unexplained: ReadonlyMap<string, readonly Crash[]>, wasAnswered: (part: string) => boolean): readonly Candidate[] {
  const candidates = new Map<string, Candidate>()
  for (const [part, crashes] of unexplained) {
    const requests = crashes.map(({ id }) => id).join()
    const companion = candidates.get(requests)
    if (companion === undefined) candidates.set(requests, { parts: [part], crashes, wasAnswered: wasAnswered(part), score: scoreOf(crashes) })
    else {
      companion.parts.push(part)
      companion.wasAnswered &&= wasAnswered(part)
    }
  }
  return [...candidates.values()]
}

function compareCandidates (left: Candidate, right: Candidate): number {
  return Number(left.wasAnswered) - Number(right.wasAnswered) || right.score - left.score || Number(isContent(left)) - Number(isContent(right))
}

/** True for the content of a request whose prompt parts were in other crashed requests too, or were answered. */
function isContent ({ parts }: Pick<Candidate, 'parts'>): boolean {
  return parts.every(isContentPart)
}

function limitsOf (candidate: Candidate): CrashLimits {
  if (isContent(candidate)) return candidate.wasAnswered ? raiseLimits(CONTENT_LIMITS, FURTHER_CRASHES) : CONTENT_LIMITS
  const isShared = candidate.crashes.length > MAX_REQUESTS_PER_CRASH * countProcesses(candidate.crashes)
  return isShared ? raiseLimits(PART_LIMITS, FURTHER_CRASHES) : PART_LIMITS
}

/** Attributes each crash to the most likely part; what then still has a series of crashes is suspected. */
function attributeCrashes (unexplained: ReadonlyMap<string, readonly Crash[]>, wasAnswered: (part: string) => boolean): readonly SuspectedGroup[] {
  const groups: SuspectedGroup[] = []
  const attributed = new Set<string>()
  for (const candidate of joinCompanions(unexplained, wasAnswered).toSorted(compareCandidates)) {
    const remaining = candidate.crashes.filter((crash) => !attributed.has(crash.backendProcess))
    const assessment = assess(remaining, limitsOf(candidate))
    const isHeldBack = assessment.heldBackUntil > -Infinity
    if (isHeldBack) groups.push({ parts: candidate.parts, ...assessment })
    // The content of a repeated request explains its crashes before it is held back for them.
    if (isHeldBack || (isContent(candidate) && assessment.crashCount >= SUSPECT_CRASH_COUNT)) for (const crash of candidate.crashes) attributed.add(crash.backendProcess)
  }
  return groups
}

/**
 * Time, in milliseconds, for which an instance holds a part back after its release; `position` is its place, from 0 to 1, in the order of
 * release. Released instances that have no request with the part add up. As their number grows e-fold in a constant time, the first of them
 * to have one is about as far ahead of the second for a rare part as for a frequent one, and in a large fleet as in a small one.
 */
export function computeReleaseDelay (position: number, instanceCount: number): number {
  return RELEASE_GROWTH_MS * Math.log(1 + position * Math.max(0, instanceCount - 1))
}

/**
 * Creates a record without evidence. `releaseDelay` is the time, in milliseconds, for which this instance holds a part back
 * after its release; it differs between instances, so that they don't all send a part again before the first one crashes.
 */
export function createCrashingParts (releaseDelay: () => number = () => 0): CrashingParts {
  /** Crashes of each part that no shared answer has followed. */
  const suspects = new Map<string, readonly Crash[]>()
  /** The suspects with more than one crash: most parts, above all contents, are in one only. */
  const repeated = new Set<string>()
  const answers: Readonly<Record<AnswerSource, Map<string, number>>> = { own: new Map(), shared: new Map() }
  let groups: { readonly list: readonly SuspectedGroup[], readonly validUntil: number } | undefined

  function put<Value> (collection: Map<string, Value>, part: string, value: Value): void {
    collection.delete(part)
    collection.set(part, value)
    const oldest = collection.size > MAX_PARTS ? collection.keys().next().value : undefined
    if (oldest !== undefined) collection.delete(oldest)
  }

  function answeredAt (part: string): number | undefined {
    const known = [answers.own.get(part), answers.shared.get(part)].filter((at) => at !== undefined)
    return known.length === 0 ? undefined : Math.max(...known)
  }

  function setCrashes (part: string, crashes: readonly Crash[]): void {
    if (crashes.length === 0) suspects.delete(part)
    else put(suspects, part, crashes)
    if (crashes.length >= SUSPECT_CRASH_COUNT) repeated.add(part)
    else repeated.delete(part)
  }

  /** Forgets the suspects of long ago, which come first as each crash moves its parts to the end. */
  function forgetOldCrashes (now: number): void {
    for (const [part, crashes] of suspects) {
      if (crashes.some((crash) => crash.crashedAt >= now - MAX_CRASH_AGE_MS)) return
      setCrashes(part, [])
    }
  }

  /** Crashes that no known answer has followed. */
  function unexplainedCrashes (part: string): readonly Crash[] {
    const at = answeredAt(part) ?? -Infinity
    return suspects.get(part)?.filter((crash) => crash.crashedAt > at) ?? []
  }

  /**
   * Crashes of requests with all the parts, of which reports may be missing. They hold back parts that are suspects already:
   * a suspect that was released crashes one backend server after the other until the reports are there.
   */
  function uncountedCrashes (parts: readonly string[], now: number): readonly Crash[] {
    const [crashes = [], ...others] = parts.map(unexplainedCrashes)
    return crashes.filter((crash) => countsFrom(crash) > now && others.every((other) => other.some(({ id }) => id === crash.id)))
  }

  function suspectedGroups (now: number): readonly SuspectedGroup[] {
    if (groups !== undefined && now < groups.validUntil) return groups.list
    const unexplained = new Map<string, readonly Crash[]>()
    let validUntil = Infinity
    forgetOldCrashes(now)
    for (const part of repeated) {
      if (!suspects.has(part)) repeated.delete(part)
      const crashes = unexplainedCrashes(part)
      if (crashes.length < SUSPECT_CRASH_COUNT) continue
      for (const crash of crashes) if (countsFrom(crash) > now) validUntil = Math.min(validUntil, countsFrom(crash))
      const counted = crashes.filter((crash) => countsFrom(crash) <= now)
      if (counted.length >= SUSPECT_CRASH_COUNT) unexplained.set(part, counted)
    }
    const delay = releaseDelay()
    const list = attributeCrashes(unexplained, (part) => answeredAt(part) !== undefined).map((group) => {
      const heldBackUntil = Math.max(group.heldBackUntil + delay, ...uncountedCrashes(group.parts, now).map(countsFrom))
      return { ...group, heldBackUntil }
    })
    groups = { list, validUntil }
    return groups.list
  }

  function isWronglySuspected (part: string): boolean {
    const suspectedCount = assess(suspects.get(part) ?? []).crashCount
    return suspectedCount >= SUSPECT_CRASH_COUNT && assess(unexplainedCrashes(part)).crashCount < suspectedCount
  }

  function recordPartAnswer (part: string, at: number, source: AnswerSource): void {
    put(answers[source], part, Math.max(answers[source].get(part) ?? -Infinity, at))
    const crashes = suspects.get(part)
    if (crashes === undefined || !crashes.some((crash) => crash.crashedAt <= at)) return
    groups = undefined
    if (source === 'own') return
    setCrashes(part, crashes.filter((crash) => crash.crashedAt > at))
  }

  return {
    recordCrash: ({ parts, ...crash }) => {
      groups = undefined
      for (const part of parts) {
        const known = suspects.get(part) ?? []
        if (crash.crashedAt <= (answers.shared.get(part) ?? -Infinity) || known.some(({ id }) => id === crash.id)) continue
        setCrashes(part, [...known, crash].sort(compareCrashes).slice(-MAX_CRASHES_PER_PART))
      }
      return parts.filter(isWronglySuspected)
    },
    recordAnswer: (parts, at, source) => {
      for (const part of parts) recordPartAnswer(part, at, source)
      return parts.filter(isWronglySuspected)
    },
    answeredAt,
    hasCrashed: (part) => suspects.has(part),
    findHeldBack: (parts, now) => suspectedGroups(now).find((group) => now < group.heldBackUntil && group.parts.every((part) => parts.includes(part))),
    isSuspect: (parts, now) => suspectedGroups(now).some((group) => now < group.heldBackUntil + SERIES_MS && group.parts.every((part) => parts.includes(part))),
    isWronglySuspected,
    crashCount: (part) => assess(unexplainedCrashes(part)).crashCount,
    suspectedGroups,
    get hasSuspects () { return suspects.size > 0 }
  }
}
