import { backendProcessOf, type BackendState } from './backendState.js'

/** Far more than leave at the same time; the least recently learned one is forgotten first. */
const MAX_LEAVING_PROCESSES = 1000

/** Whether one run of a backend server's process takes requests, as its responses say. Times by `steadyNow`. */
export type Acceptance =
  | { readonly kind: 'accepting' }
  /** It is about to end; `since` is the time of its first response that said so. */
  | { readonly kind: 'leaving', readonly since: number }

/** What the responses of all backend servers say, by process, so that it outlives their entries in the list. */
export interface BackendAcceptance {
  /** Records that a process leaves; false when that was known. */
  markLeaving (backendProcess: string, now: number): boolean
  acceptanceOf (backendProcess: string): Acceptance
}

/** Creates a record in which all processes accept requests. */
export function createBackendAcceptance (): BackendAcceptance {
  const leavingSince = new Map<string, number>()
  return {
    markLeaving: (backendProcess, now) => {
      if (leavingSince.has(backendProcess)) return false
      leavingSince.set(backendProcess, now)
      const [oldest] = leavingSince.keys()
      if (leavingSince.size > MAX_LEAVING_PROCESSES && oldest !== undefined) leavingSince.delete(oldest)
      return true
    },
    acceptanceOf: (backendProcess) => {
      const since = leavingSince.get(backendProcess)
      return since === undefined ? { kind: 'accepting' } : { kind: 'leaving', since }
    }
  }
}

/** Properties of a request that decide which backend servers it may be sent to. */
export interface AcceptanceRequest {
  readonly receivedAt: number
  /** Time for which a leaving backend server still serves. */
  readonly drainMilliseconds: number
}

/** Selects the candidates that take the request: those that accept requests or, if there are none, those that still serve although they leave. */
export function selectAccepting (candidates: readonly BackendState[], acceptance: BackendAcceptance, request: AcceptanceRequest): readonly BackendState[] {
  const accepting: BackendState[] = []
  const draining: BackendState[] = []
  for (const candidate of candidates) {
    const found = acceptance.acceptanceOf(backendProcessOf(candidate.entry))
    switch (found.kind) {
      case 'accepting':
        accepting.push(candidate)
        break
      case 'leaving':
        if (request.receivedAt < found.since + request.drainMilliseconds) draining.push(candidate)
    }
  }
  return accepting.length > 0 ? accepting : draining
}
