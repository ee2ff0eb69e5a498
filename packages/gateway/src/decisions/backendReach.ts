import type { BackendState } from './backendState.js'

/**
 * Tells which backend servers this instance can't reach.
 *
 * Pattern: an instance is partitioned from all backend servers for seconds while the store, its callers and the other instances
 * reach it. New connections hang or are reset, requests on kept ones get no answer. One silent backend server is no evidence: it
 * may go on after a second or so.
 */

/** Time without a byte from any backend server of a service after which a silent one is probed. Prefill keeps engines silent for longer. */
const SILENCE_BEFORE_PROBE_MS = { engine: 800, plain: 400 } as const
/** Pause between two probes of a backend server. */
const PROBE_INTERVAL_MS = 400
/** A sound backend server may answer nothing, not even a probe, for about this time and then go on. */
const SOUND_SILENCE_MS = 1500
/** After a new connection has failed, others are not tried for this time at first, and for twice as long after the next one. */
const REFUSAL_MS = { first: 500, most: 4000 } as const
/** One that sent a byte this short a time ago is not probed when another one of its service is lost. */
const RECENT_BYTE_MS = 300
/**
 * Of more backend servers than this the others are probed only when none of them has sent a byte since the loss: 75 instances before
 * 98 engines made 10,578 probes in 34 s, each on a new connection, although no instance was cut off from all.
 */
const MANY_BACKENDS = 12

/** Returns true when a backend server has sent nothing since this instance last failed to reach it. */
export function isLost (state: BackendState): boolean {
  return state.lostSince !== undefined
}

/** Returns true when a request can be sent to a backend server, on a new connection or an idle one. */
export function isReachable (state: BackendState, hasIdleConnection: boolean, now: number): boolean {
  return !isLost(state) && (hasIdleConnection || now >= state.refusesNewUntil)
}

/** Returns true when none of the backend servers can be reached; false without any. */
export function areAllLost (states: readonly BackendState[]): boolean {
  return states.length > 0 && states.every(isLost)
}

/** Returns true when all backend servers have been lost for longer than sound ones may be silent; false without any. */
export function areAllLostForGood (states: readonly BackendState[], now: number): boolean {
  return states.length > 0 && states.every(({ lostSince }) => lostSince !== undefined && now - lostSince > SOUND_SILENCE_MS)
}

/** Records that a backend server could not be reached by a new connection; false when that was known. */
export function recordLoss (state: BackendState, now: number): boolean {
  if (state.lostSince !== undefined) return false
  state.lostSince = now
  return true
}

/** Returns true when a new connection has failed since the backend server last sent a byte or was probed. */
function isRefusedSinceSign ({ refusedSince, lastByteAt, lastProbeAt }: BackendState): boolean {
  return refusedSince > Math.max(lastByteAt, lastProbeAt)
}

/** Records that a new connection failed before its first byte. */
export function recordRefusal (state: BackendState, now: number): void {
  if (!isRefusedSinceSign(state)) state.refusedSince = now
  if (now < state.refusesNewUntil) return
  state.refusalMilliseconds = Math.min(REFUSAL_MS.most, Math.max(REFUSAL_MS.first, state.refusalMilliseconds * 2))
  state.refusesNewUntil = now + state.refusalMilliseconds
}

/** Records that a byte has come on a new connection. */
export function recordAcceptedConnection (state: BackendState): void {
  state.refusesNewUntil = 0
  state.refusalMilliseconds = 0
}

/** Records that a backend server has sent a byte; false when it was not lost. */
export function recordContact (state: BackendState): boolean {
  if (state.lostSince === undefined) return false
  state.lostSince = undefined
  return true
}

/** Returns true for a backend server that has requests in progress and is silent, and was not probed since its last byte. */
function isSilent (state: BackendState, kind: keyof typeof SILENCE_BEFORE_PROBE_MS, newestByteAt: number, now: number): boolean {
  let oldestSentAt = Infinity
  for (const { sentAt } of state.pending) oldestSentAt = Math.min(oldestSentAt, sentAt)
  const silentSince = Math.max(oldestSentAt, state.lastByteAt)
  return now - Math.max(silentSince, newestByteAt) > SILENCE_BEFORE_PROBE_MS[kind] && state.lastProbeAt < silentSince
}

/**
 * Returns true for a backend server that has sent nothing for a time since a new connection to it failed. Its request may not be sent again, as
 * it may have crashed the backend server, so that nothing but a probe shows whether new connections reach it. One that still sends on
 * kept connections has as many connections as it accepts, and would refuse a probe as well.
 */
function isRefusing (state: BackendState, kind: keyof typeof SILENCE_BEFORE_PROBE_MS, now: number): boolean {
  return isRefusedSinceSign(state) && now - state.refusedSince > SILENCE_BEFORE_PROBE_MS[kind]
}

/**
 * Selects the backend servers of one service to probe: silent ones while nothing is heard of any, those that refuse new connections,
 * those of which nothing was heard lately once another one is lost, and lost ones while all are. A single lost one is found again by the requests that it gets later.
 */
export function selectProbes (states: readonly BackendState[], kind: keyof typeof SILENCE_BEFORE_PROBE_MS, now: number): readonly BackendState[] {
  const hasLost = states.some(isLost)
  const allLost = areAllLost(states)
  const newestByteAt = Math.max(...states.map(({ lastByteAt }) => lastByteAt))
  const newestLossAt = Math.max(...states.map(({ lostSince }) => lostSince ?? -Infinity))
  const mayBeCutOff = hasLost && (states.length <= MANY_BACKENDS || (newestByteAt < newestLossAt && now - newestLossAt >= RECENT_BYTE_MS))
  return states.filter((state) => {
    if (now - state.lastProbeAt < PROBE_INTERVAL_MS) return false
    if (isLost(state)) return allLost
    return (mayBeCutOff && now - state.lastByteAt > RECENT_BYTE_MS && state.lastProbeAt <= state.lastByteAt) || isRefusing(state, kind, now) || isSilent(state, kind, newestByteAt, now)
  })
}
