import { assertNever } from '@quinceshunt/effects'

/** What one source says about a backend server. */
export type MembershipMark =
  /** The backend server's own report. Its state doesn't lag, and it alone shows that a new process has started. */
  | { readonly kind: 'loadReport', readonly incarnation: string, readonly state: 'live' | 'leaving', readonly at: number }
  /** The platform's instance list, as of a Unix time in milliseconds; the incarnation is empty when the platform doesn't know it. */
  | { readonly kind: 'instanceList', readonly incarnation: string, readonly state: 'live' | 'leaving', readonly at: number }
  /** A leaving mark from a peer, with the time of the first observation. */
  | { readonly kind: 'gossip', readonly incarnation: string, readonly at: number }
  /** The configuration in force. */
  | { readonly kind: 'configuration', readonly revision: bigint, readonly drained: boolean, readonly at: number }

/** Membership of one backend server. */
export interface MembershipState {
  /** Incarnation of the newest process seen; empty until its first load report. */
  readonly incarnation: string
  /** When the incarnation was first seen, Unix milliseconds. */
  readonly incarnationSeenAt: number
  /** Incarnations that a newer one has replaced; late reports of them are ignored. */
  readonly replaced: readonly string[]
  /** Leaving incarnations with the time of the first observation; `''` stands for the process before the first load report. */
  readonly leaving: ReadonlyMap<string, number>
  /** Drained by an operator. */
  readonly drained: boolean
  /** Configuration revision that `drained` is from. */
  readonly revision: bigint
  /** Time of the operator's last undo, Unix milliseconds; older leaving marks are ignored. */
  readonly undoneAt: number
}

/** Incarnations remembered per backend server; more restarts than this within the lag of any source are not expected. */
const REMEMBERED_INCARNATIONS = 64
const UNKNOWN_INCARNATION = ''

/** State before any source has reported. */
export function initialMembership (): MembershipState {
  return { incarnation: UNKNOWN_INCARNATION, incarnationSeenAt: 0, replaced: [], leaving: new Map(), drained: false, revision: -1n, undoneAt: 0 }
}

/** Applies what a source says, in whatever order marks arrive. */
export function applyMark (state: MembershipState, mark: MembershipMark): MembershipState {
  switch (mark.kind) {
    case 'loadReport': return applyLoadReport(state, mark.incarnation, mark.state, mark.at)
    case 'instanceList': return mark.state === 'live' ? state : applyLeaving(state, mark.incarnation, mark.at)
    case 'gossip': return applyLeaving(state, mark.incarnation, mark.at)
    case 'configuration': return applyConfiguration(state, mark.revision, mark.drained, mark.at)
    default: return assertNever(mark)
  }
}

/** Whether the backend server may be given new work: no source reports its process as leaving. */
export function acceptsNewWork (state: MembershipState): boolean {
  if (state.drained) return false
  if (state.incarnation === UNKNOWN_INCARNATION) return state.leaving.size === 0
  return !state.leaving.has(state.incarnation)
}

/** The leaving mark to pass on to peers; undefined when the process isn't leaving. A drain is passed on by the configuration. */
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
    const replaced = [...state.replaced, state.incarnation].slice(-REMEMBERED_INCARNATIONS)
    return { ...state, incarnation, incarnationSeenAt: at, replaced }
  }
  // A mark without incarnation that came before the first report applies to the process that is then found.
  const unnamedAt = state.leaving.get(UNKNOWN_INCARNATION)
  const first = { ...state, incarnation, incarnationSeenAt: at }
  return unnamedAt === undefined ? first : markLeaving(first, incarnation, unnamedAt)
}

function applyLeaving (state: MembershipState, incarnation: string, at: number): MembershipState {
  if (incarnation !== UNKNOWN_INCARNATION) return markLeaving(state, incarnation, at)
  // A mark without incarnation that is older than the observed restart speaks of the process before it.
  const predatesRestart = state.replaced.length > 0 && at < state.incarnationSeenAt
  return predatesRestart ? state : markLeaving(state, state.incarnation, at)
}

function markLeaving (state: MembershipState, incarnation: string, at: number): MembershipState {
  if (at <= state.undoneAt || state.replaced.includes(incarnation)) return state
  const known = state.leaving.get(incarnation)
  if (known !== undefined && known <= at) return state
  const leaving = new Map(state.leaving).set(incarnation, at)
  for (const oldest of leaving.keys()) {
    if (leaving.size <= REMEMBERED_INCARNATIONS) break
    if (oldest !== state.incarnation) leaving.delete(oldest)
  }
  return { ...state, leaving }
}

function applyConfiguration (state: MembershipState, revision: bigint, drained: boolean, at: number): MembershipState {
  if (revision <= state.revision) return state
  const undone = state.drained && !drained
  if (!undone) return { ...state, revision, drained }
  return { ...state, revision, drained, leaving: new Map(), undoneAt: at }
}
