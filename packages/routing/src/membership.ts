import { assertNever } from '@quinceshunt/effects'

/** The state of a backend server according to one source. */
export type MembershipMark =
  /** The backend server's own report. Its state doesn't lag, and it is the only source that reveals a new process. */
  | { readonly kind: 'loadReport', readonly incarnation: string, readonly state: 'live' | 'leaving', readonly at: number }
  /** The platform's instance list, as of a Unix time in milliseconds; the incarnation is empty when the platform doesn't know it. */
  | { readonly kind: 'instanceList', readonly incarnation: string, readonly state: 'live' | 'leaving', readonly at: number }
  /** A leaving mark from a peer; `at` is the time of the first observation. */
  | { readonly kind: 'gossip', readonly incarnation: string, readonly at: number }
  /** The configuration in force. */
  | { readonly kind: 'configuration', readonly revision: bigint, readonly drained: boolean, readonly at: number }

/** Membership of one backend server. */
export interface MembershipState {
  /** Incarnation of the newest process seen; empty until the first load report. */
  readonly incarnation: string
  /** When the incarnation was first seen, Unix milliseconds. */
  readonly incarnationSeenAt: number
  /** Incarnations replaced by a newer one; delayed reports from them are ignored. */
  readonly replaced: readonly string[]
  /** Time of the first observation by leaving incarnation; `''` stands for the process before the first load report. */
  readonly leaving: ReadonlyMap<string, number>
  /** Drained by an operator. */
  readonly drained: boolean
  /** Configuration revision that set `drained`. */
  readonly revision: bigint
  /** Unix time in milliseconds at which an operator last undid a drain; earlier leaving marks are ignored. */
  readonly drainUndoneAt: number
}

/** Limit per backend server; more restarts than this within the lag of any source are not expected. */
const MAX_REMEMBERED_INCARNATIONS = 64
const UNKNOWN_INCARNATION = ''

/** State before any source has reported. */
export function initialMembership (): MembershipState {
  return { incarnation: UNKNOWN_INCARNATION, incarnationSeenAt: 0, replaced: [], leaving: new Map(), drained: false, revision: -1n, drainUndoneAt: 0 }
}

/** Applies a mark; marks may arrive in any order. */
export function applyMark (state: MembershipState, mark: MembershipMark): MembershipState {
  switch (mark.kind) {
    case 'loadReport': return applyLoadReport(state, mark.incarnation, mark.state, mark.at)
    case 'instanceList': return mark.state === 'live' ? state : applyLeaving(state, mark.incarnation, mark.at)
    case 'gossip': return applyLeaving(state, mark.incarnation, mark.at)
    case 'configuration': return applyConfiguration(state, mark.revision, mark.drained, mark.at)
    default: return assertNever(mark)
  }
}

/** Whether the backend server may get new work: it is not drained, and no source reports its process as leaving. */
export function acceptsNewWork (state: MembershipState): boolean {
  if (state.drained) return false
  if (state.incarnation === UNKNOWN_INCARNATION) return state.leaving.size === 0
  return !state.leaving.has(state.incarnation)
}

/** Leaving mark to gossip to peers; undefined when the process isn't leaving. Drains spread through the configuration. */
export function currentLeavingMark (state: MembershipState): { readonly incarnation: string, readonly at: number } | undefined {
  if (state.incarnation === UNKNOWN_INCARNATION) {
    const newest = [...state.leaving].reduce<[string, number] | undefined>((best, entry) => best === undefined || entry[1] > best[1] ? entry : best, undefined)
    return newest === undefined ? undefined : { incarnation: newest[0], at: newest[1] }
  }
  const at = state.leaving.get(state.incarnation)
  return at === undefined ? undefined : { incarnation: state.incarnation, at }
}

function applyLoadReport (state: MembershipState, incarnation: string, reported: 'live' | 'leaving', at: number): MembershipState {
  if (state.replaced.includes(incarnation)) return state
  const current = incarnation === state.incarnation ? state : startIncarnation(state, incarnation, at)
  return reported === 'leaving' ? markLeaving(current, incarnation, at) : current
}

function startIncarnation (state: MembershipState, incarnation: string, at: number): MembershipState {
  if (state.incarnation !== UNKNOWN_INCARNATION) {
    const replaced = [...state.replaced, state.incarnation].slice(-MAX_REMEMBERED_INCARNATIONS)
    return { ...state, incarnation, incarnationSeenAt: at, replaced }
  }
  // A mark without an incarnation that arrived before the first report applies to the process in that report.
  const unidentifiedMarkAt = state.leaving.get(UNKNOWN_INCARNATION)
  const first = { ...state, incarnation, incarnationSeenAt: at }
  return unidentifiedMarkAt === undefined ? first : markLeaving(first, incarnation, unidentifiedMarkAt)
}

function applyLeaving (state: MembershipState, incarnation: string, at: number): MembershipState {
  if (incarnation !== UNKNOWN_INCARNATION) return markLeaving(state, incarnation, at)
  // A mark without an incarnation that predates the observed restart refers to the previous process.
  const predatesRestart = state.replaced.length > 0 && at < state.incarnationSeenAt
  return predatesRestart ? state : markLeaving(state, state.incarnation, at)
}

function markLeaving (state: MembershipState, incarnation: string, at: number): MembershipState {
  if (at <= state.drainUndoneAt || state.replaced.includes(incarnation)) return state
  const known = state.leaving.get(incarnation)
  if (known !== undefined && known <= at) return state
  const leaving = new Map(state.leaving).set(incarnation, at)
  for (const oldest of leaving.keys()) {
    if (leaving.size <= MAX_REMEMBERED_INCARNATIONS) break
    if (oldest !== state.incarnation) leaving.delete(oldest)
  }
  return { ...state, leaving }
}

function applyConfiguration (state: MembershipState, revision: bigint, drained: boolean, at: number): MembershipState {
  if (revision <= state.revision) return state
  const undone = state.drained && !drained
  if (!undone) return { ...state, revision, drained }
  return { ...state, revision, drained, leaving: new Map(), drainUndoneAt: at }
}
