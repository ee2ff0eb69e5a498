import { leaseTotals, unrecordedTokens, type LeaseRow } from './leaseRow.js'

/**
 * What an instance has in the balances of client accounts, and what the store lacks of it after a restore.
 *
 * The store may come back from an older copy. Balances and leases are written in one transaction, so the instance's lease
 * row in the copy tells exactly which of its draws and returns the balances in the copy hold. The difference to what the
 * process knows is recorded again. A process that starts after the restore doesn't know what its predecessor drew later until a
 * peer tells what the predecessor had recorded; meanwhile the accounts' ceilings bound it.
 */
export interface RecordedTotals {
  /** Tokens of an account that the instance has drawn and not returned, in all of its lifetimes. */
  total (name: string): number
  /** Tokens by which the balance in the store is too low; negative when it is too high. */
  unrecorded (name: string): number
  /** Up to `maximum` balances with the tokens that they lack. */
  corrections (maximum: number): ReadonlyMap<string, number>
  /** Notes that a correction was applied. */
  addCorrection (name: string, tokens: number): void
  /** Notes that tokens of an earlier process now belong to this one. */
  reclaim (name: string, tokens: number): void
  /** Notes that a lease with these totals was written: from now on they are compared with older rows. */
  confirm (): void
  /** Compares the lease row in the store with what is known. */
  adopt (lease: LeaseRow | undefined, context: AdoptionContext): Adoption
  /** Takes over the totals that a peer was told by the instance's last process; false when they tell nothing new. */
  learnPredecessor (lifetime: string, told: ToldTotals): boolean
  /** Accounts with tokens of this or an earlier process. */
  names (): readonly string[]
  /** True while balances lack tokens of this instance. */
  readonly isIncomplete: boolean
  /** False while it is unknown what earlier processes of this instance drew. */
  readonly isComplete: boolean
}

/** How a lease row relates to this process. */
export interface AdoptionContext {
  /** True when the row may be older than the last write of its process, as the store was restored. */
  readonly isOutdated: boolean
  /** True when this process wrote the row. */
  readonly isOwn: boolean
}

/** What was taken over from a lease row. */
export type Adoption =
  | 'unchanged'
  /** The totals of the previous process, which may have left tokens. */
  | 'predecessor'
  /** Totals of the previous process that are too low by what it drew after the copy. */
  | 'outdatedPredecessor'
  /** The row is compared with what this process has recorded itself. */
  | 'restored'

/** Totals as told to a peer. */
export interface ToldTotals {
  readonly sequence: number
  /** ID of the process before the one that told them. */
  readonly after?: string | undefined
  readonly totals: Readonly<Record<string, number>>
}

/** Dependencies: the ledgers of this process. */
export interface RecordedTotalsOptions {
  readonly heldTokens: (name: string) => number
  readonly accounts: () => Iterable<string>
}

/** Creates totals of a process that knows nothing of earlier ones. */
export function createRecordedTotals ({ heldTokens, accounts }: RecordedTotalsOptions): RecordedTotals {
  /** Tokens in the balances that earlier processes drew and this one did not reclaim. */
  const earlier = new Map<string, number>()
  const unrecorded = new Map<string, number>()
  /** True once the totals of all earlier processes are known. */
  let isExact = false
  /** Outdated row whose process may have drawn more than it says; without a lifetime when the store has no row. */
  let isComplete = true
  let outdated: { readonly lifetime: string | undefined, readonly sequence: number } | undefined

  const total = (name: string): number => (earlier.get(name) ?? 0) + heldTokens(name)

  function setUnrecorded (name: string, tokens: number): void {
    if (tokens === 0) unrecorded.delete(name)
    else unrecorded.set(name, tokens)
  }

  function names (): readonly string[] {
    return [...new Set([...accounts(), ...earlier.keys(), ...unrecorded.keys()])]
  }

  function compareWithRow (rowTotals: ReadonlyMap<string, number>): Adoption {
    const compared = new Set([...names(), ...rowTotals.keys()])
    for (const name of compared) setUnrecorded(name, total(name) - (rowTotals.get(name) ?? 0))
    return 'restored'
  }

  function takeOverOutdated (lease: LeaseRow): Adoption {
    const lacking = unrecordedTokens(lease)
    for (const [name, rowTotal] of leaseTotals(lease)) {
      earlier.set(name, Math.max(earlier.get(name) ?? 0, rowTotal + (lacking.get(name) ?? 0)))
      setUnrecorded(name, total(name) - rowTotal)
    }
    outdated = { lifetime: lease.lifetime, sequence: lease.sequence }
    isComplete = false
    return 'outdatedPredecessor'
  }

  return {
    total,
    unrecorded: (name) => unrecorded.get(name) ?? 0,
    corrections: (maximum) => new Map([...unrecorded].slice(0, maximum)),
    addCorrection: (name, tokens) => setUnrecorded(name, (unrecorded.get(name) ?? 0) - tokens),
    reclaim: (name, tokens) => { earlier.set(name, (earlier.get(name) ?? 0) - tokens) },
    confirm: () => { isExact = true },
    adopt: (lease, { isOutdated, isOwn }) => {
      if (isExact && isOutdated) return compareWithRow(lease === undefined ? new Map() : leaseTotals(lease))
      if (lease !== undefined && isOutdated) return takeOverOutdated(lease)
      if (lease === undefined && !isExact) {
        outdated = { lifetime: undefined, sequence: 0 }
        if (isOutdated) isComplete = false
      }
      if (lease === undefined || isOwn) {
        isExact = true
        return 'unchanged'
      }
      isExact = true
      earlier.clear()
      unrecorded.clear()
      for (const [name, rowTotal] of leaseTotals(lease)) earlier.set(name, rowTotal)
      // That process was killed before it had recorded all of its draws again.
      for (const [name, tokens] of unrecordedTokens(lease)) {
        earlier.set(name, (earlier.get(name) ?? 0) + tokens)
        setUnrecorded(name, tokens)
      }
      return 'predecessor'
    },
    learnPredecessor: (lifetime, told) => {
      if (outdated === undefined) return false
      if (outdated.lifetime === lifetime && told.sequence <= outdated.sequence) {
        if (told.sequence === outdated.sequence) isComplete = true
        return false
      }
      const isLater = outdated.lifetime === undefined || outdated.lifetime === lifetime || outdated.lifetime === told.after
      let isNews = false
      for (const [name, toldTotal] of Object.entries(told.totals)) {
        const known = earlier.get(name) ?? 0
        // What a later process told replaces the estimate; of others it is not known whether they came later.
        const learned = isLater ? toldTotal : Math.max(known, toldTotal)
        if (learned === known) continue
        isNews = true
        earlier.set(name, learned)
        setUnrecorded(name, (unrecorded.get(name) ?? 0) + learned - known)
      }
      if (isLater) {
        outdated = { lifetime, sequence: told.sequence }
        isComplete = true
      }
      return isNews
    },
    names,
    get isIncomplete () { return unrecorded.size > 0 },
    get isComplete () { return isComplete }
  }
}
