import type { CallerPresence } from './callerPresence.js'

/** Passes of the event loop after which a caller's close that had arrived with its request has been read. */
const PASSES_BEFORE_START = 2
/** Consecutive passes that only accept connections; then a request is started, so that accepted callers get on. */
const MAX_ACCEPTING_PASSES = 4
/** Time after which a pass starts requests although it accepted a connection, as passes may take as long as callers wait. */
const MAX_ACCEPTING_MS = 100
/** Processor time of a pass for which one request is started, so that requests get their part of it beside other events. */
const PROCESSOR_TIME_PER_START_MS = 3

/** A queue that was not empty for so long stands: it holds more than a burst, of which some hundred requests take a second or two. */
const STANDING_QUEUE_MS = 2000

/** How the wait of a request ended. */
export type Turn =
  | { readonly kind: 'started' }
  /** Nothing is to be done for it. */
  | { readonly kind: 'callerLeft' }
  /** The process was too busy to start it in time. It has not run; another instance may start it at once. */
  | { readonly kind: 'tooLate' }

/** Hands out the turns in which received requests are started. */
export interface RequestIntake {
  /** Requests that wait for their turn. */
  readonly waiting: number
  /**
   * Resolves in the request's turn, once its caller has left, or when it is too late to start it. Requests of one
   * `holder` are started in the order of arrival, and holders take turns.
   */
  waitForTurn (request: ReceivedRequest): Promise<Turn>
  /** To be called for each connection that a listener of the process accepts. */
  noteConnection (): void
}

/** A request to be started; times are those of the clock of the intake. */
export interface ReceivedRequest {
  readonly caller: CallerPresence
  readonly holder: string
  /** After this it is refused. */
  readonly expiresAt: number
  /** After this it is refused if the queue stands, so that what is started then has time left. */
  readonly shedAt: number
}

/** Clocks of an intake, milliseconds. */
export interface IntakeClocks {
  readonly now: () => number
  /** Processor time that the process has used. */
  readonly processorTime: () => number
}

interface WaitingRequest {
  readonly expiresAt: number
  readonly shedAt: number
  /** Pass in which it came. */
  readonly pass: number
  readonly end: (turn: Turn) => void
}

/**
 * Creates an intake that starts few requests in each pass of the event loop. Libuv accepts one connection of a
 * listener in a pass, so that callers on open connections, whose requests are all read in a pass, would otherwise keep callers with
 * new connections waiting until these have left. Connections are accepted first, as nothing is known of callers in the
 * listener's queue.
 */
export function createRequestIntake ({ now, processorTime }: IntakeClocks): RequestIntake {
  /** Requests of each holder, in order of arrival; holders in the order of their turns. */
  const holders = new Map<string, Set<WaitingRequest>>()
  let waiting = 0
  let pass = 0
  let hasAccepted = false
  let acceptingPasses = 0
  /** When a pass is to start requests at the latest. */
  let startsDueAt = 0
  /** When the queue stands if it was not empty before. */
  let standsAt = 0
  /** Processor time at the end of the last pass with waiting requests. */
  let processorTimeBefore = 0
  let isScheduled = false

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(endPass)
  }

  function endPass (): void {
    isScheduled = false
    pass++
    const processorTimeNow = processorTime()
    const at = now()
    if (hasAccepted && acceptingPasses < MAX_ACCEPTING_PASSES && at < startsDueAt) acceptingPasses++
    else {
      startRequests(Math.max(1, Math.floor((processorTimeNow - processorTimeBefore) / PROCESSOR_TIME_PER_START_MS)))
      endLate(at)
      startsDueAt = at + MAX_ACCEPTING_MS
    }
    hasAccepted = false
    processorTimeBefore = processorTimeNow
    if (waiting > 0) schedule()
  }

  /** Ends what this pass has not started in time. */
  function endLate (at: number): void {
    const isStanding = at >= standsAt
    for (const requests of holders.values()) {
      for (const request of requests) {
        if (at < (isStanding ? Math.min(request.shedAt, request.expiresAt) : request.expiresAt) || !isReadable(request)) break
        request.end({ kind: 'tooLate' })
      }
    }
  }

  function startRequests (count: number): void {
    for (let started = 0; started < count; started++) {
      const next = findNext()
      if (next === undefined) return
      acceptingPasses = 0
      next.end({ kind: 'started' })
    }
  }

  /** Returns the first request of the holder whose turn it is, and puts that holder behind the others. */
  function findNext (): WaitingRequest | undefined {
    for (const [holder, requests] of holders) {
      const [first] = requests
      if (first === undefined || !isReadable(first)) continue
      holders.delete(holder)
      holders.set(holder, requests)
      return first
    }
    return undefined
  }

  /** True once a close of the connection that came with the request would have been read. */
  function isReadable (request: WaitingRequest): boolean {
    return pass - request.pass >= PASSES_BEFORE_START
  }

  function add (holder: string, request: WaitingRequest): void {
    if (waiting++ === 0) {
      processorTimeBefore = processorTime()
      startsDueAt = now() + MAX_ACCEPTING_MS
      standsAt = now() + STANDING_QUEUE_MS
    }
    const requests = holders.get(holder) ?? new Set()
    holders.set(holder, requests.add(request))
    schedule()
  }

  function remove (holder: string, request: WaitingRequest): void {
    waiting--
    const requests = holders.get(holder)
    requests?.delete(request)
    if (requests?.size === 0) holders.delete(holder)
  }

  return {
    get waiting () { return waiting },
    waitForTurn: async ({ caller, holder, expiresAt, shedAt }) => {
      if (caller.leftAt !== undefined) return { kind: 'callerLeft' }
      return await new Promise((resolve) => {
        const request: WaitingRequest = {
          expiresAt,
          shedAt,
          pass,
          end: (turn) => {
            remove(holder, request)
            stopWatchingCaller()
            resolve(turn)
          }
        }
        const stopWatchingCaller = caller.onLeft(() => request.end({ kind: 'callerLeft' }))
        add(holder, request)
      })
    },
    noteConnection: () => { hasAccepted = true }
  }
}

/** Processor time of this process in milliseconds. */
export function processorTime (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
