import type { CallerPresence } from './callerPresence.js'

/** Passes of the event loop after which a caller's close that had arrived with its request has been read. */
const PASSES_BEFORE_START = 2
/** Consecutive passes that only accept connections; then a request is started, so that accepted callers get on. */
const MAX_ACCEPTING_PASSES = 4
/** Processor time of a pass for which one request is started, so that requests get their part of it beside other events. */
const PROCESSOR_TIME_PER_START_MS = 3

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
   * Resolves in the request's turn, once its caller has left, or after `expiresAt`, by the clock of the intake. Requests of one
   * `holder` are started in the order of arrival, and holders take turns.
   */
  waitForTurn (request: { readonly caller: CallerPresence, readonly holder: string, readonly expiresAt: number }): Promise<Turn>
  /** To be called for each connection that a listener of the process accepts. */
  noteConnection (): void
}

/** Clocks of an intake, milliseconds. */
export interface IntakeClocks {
  readonly now: () => number
  /** Processor time that the process has used. */
  readonly processorTime: () => number
}

interface WaitingRequest {
  readonly expiresAt: number
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
    if (hasAccepted && acceptingPasses < MAX_ACCEPTING_PASSES) acceptingPasses++
    else startRequests(Math.max(1, Math.floor((processorTimeNow - processorTimeBefore) / PROCESSOR_TIME_PER_START_MS)))
    hasAccepted = false
    processorTimeBefore = processorTimeNow
    endExpired()
    if (waiting > 0) schedule()
  }

  function endExpired (): void {
    const at = now()
    for (const requests of holders.values()) {
      for (const request of requests) {
        if (request.expiresAt > at || !isReadable(request)) break
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
    if (waiting++ === 0) processorTimeBefore = processorTime()
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
    waitForTurn: async ({ caller, holder, expiresAt }) => {
      if (caller.leftAt !== undefined) return { kind: 'callerLeft' }
      return await new Promise((resolve) => {
        const request: WaitingRequest = {
          expiresAt,
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
