import type { CallerPresence } from './callerPresence.js'

/** Passes of the event loop after which a caller's close that had arrived with its request has been read. */
const PASSES_BEFORE_START = 2
/** Consecutive passes that only accept connections; then a request is started, so that accepted callers get on. */
const MAX_ACCEPTING_PASSES = 4
/** In a pass that takes long for other events, one request is started for each of these, so that requests get their part of the time. */
const START_INTERVAL_MS = 10

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
  /** Resolves in the request's turn, once its caller has left, or after `expiresAt`, by the clock of the intake. */
  waitForTurn (caller: CallerPresence, expiresAt: number): Promise<Turn>
  /** To be called for each connection that a listener of the process accepts. */
  noteConnection (): void
}

interface WaitingRequest {
  readonly caller: CallerPresence
  readonly expiresAt: number
  /** Pass in which it came. */
  readonly pass: number
  readonly end: (turn: Turn) => void
}

/**
 * Creates an intake that starts few requests in each pass of the event loop, in the order of arrival. Libuv accepts one connection of a
 * listener in a pass, so that callers on open connections, whose requests are all read in a pass, would otherwise keep callers with
 * new connections waiting until these have left. Connections are accepted first, as nothing is known of callers in the
 * listener's queue.
 */
export function createRequestIntake (now: () => number): RequestIntake {
  /** In order of arrival. */
  const requests = new Set<WaitingRequest>()
  let pass = 0
  let hasAccepted = false
  let acceptingPasses = 0
  /** End of the last pass with waiting requests. */
  let lastPassAt = now()
  let isScheduled = false

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(endPass)
  }

  function endPass (): void {
    isScheduled = false
    pass++
    if (hasAccepted && acceptingPasses < MAX_ACCEPTING_PASSES) acceptingPasses++
    else startRequests()
    hasAccepted = false
    endExpired()
    lastPassAt = now()
    if (requests.size > 0) schedule()
  }

  function endExpired (): void {
    const at = now()
    for (const request of requests) if (request.caller.leftAt === undefined && request.expiresAt <= at && isReadable(request)) request.end({ kind: 'tooLate' })
  }

  function startRequests (): void {
    let remaining = Math.max(1, Math.floor((now() - lastPassAt) / START_INTERVAL_MS))
    for (const request of requests) {
      if (remaining-- === 0 || !isReadable(request)) return
      acceptingPasses = 0
      request.end({ kind: 'started' })
    }
  }

  /** True once a close of the connection that came with the request would have been read. */
  function isReadable (request: WaitingRequest): boolean {
    return pass - request.pass >= PASSES_BEFORE_START
  }

  return {
    get waiting () { return requests.size },
    waitForTurn: async (caller, expiresAt) => {
      if (caller.leftAt !== undefined) return { kind: 'callerLeft' }
      return await new Promise((resolve) => {
        const request: WaitingRequest = {
          caller,
          expiresAt,
          pass,
          end: (turn) => {
            requests.delete(request)
            stopWatchingCaller()
            resolve(turn)
          }
        }
        const stopWatchingCaller = caller.onLeft(() => request.end({ kind: 'callerLeft' }))
        if (requests.size === 0) lastPassAt = now()
        requests.add(request)
        schedule()
      })
    },
    noteConnection: () => { hasAccepted = true }
  }
}
