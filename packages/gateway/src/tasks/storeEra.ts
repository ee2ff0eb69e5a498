import { steadyNow } from '../clock.js'
import type { RowStore, StoreResponse } from '../ports.js'
import type { DecisionLog } from './decisionLog.js'

/** Era of the store: it rises when the store comes back from an older copy, which lacks the newest writes and issues their versions again. */
export interface StoreEra {
  /** Undefined until a response has told it, or when the store names none. */
  readonly current: number | undefined
  /** Time, by `steadyNow`, at which this process noticed the last restore; undefined without one. */
  readonly restoredAt: number | undefined
  /** Calls the listener whenever this process notices a restore. */
  onRestored (listener: () => void): void
}

/** A store whose outcomes never mix two eras, and its era. */
export interface WatchedStore {
  readonly store: RowStore
  readonly era: StoreEra
}

/**
 * Wraps a store: transactions that a restore overtook are `superseded`, followers of changes are told `historyGone` as their
 * version may name other changes now, and responses from before a restore that arrive after it are not used.
 */
export function watchStoreEra (store: RowStore, log: DecisionLog): WatchedStore {
  let current: number | undefined
  let restoredAt: number | undefined
  const listeners: (() => void)[] = []
  /** Era in which each followed table was last read. */
  const erasOfTables = new Map<string, number | undefined>()
  const wakeups = new Set<() => void>()

  function observe ({ era }: StoreResponse): void {
    if (era === undefined || (current !== undefined && era <= current)) return
    const before = current
    current = era
    if (before === undefined) return
    restoredAt = steadyNow()
    log.event('storeRestored', { era, before })
    for (const listener of listeners) listener()
    for (const wake of [...wakeups]) wake()
  }

  /** True for a response that the store sent before a restore that is known by now. */
  function isOutdated ({ era }: StoreResponse): boolean {
    return era !== undefined && current !== undefined && era < current
  }

  /** Resolves when a restore is noticed; `cancel` releases it. */
  function nextRestore (): { readonly promise: Promise<void>, readonly cancel: () => void } {
    let wake: () => void = () => {}
    const promise = new Promise<void>((resolve) => { wake = resolve })
    wakeups.add(wake)
    return { promise, cancel: () => wakeups.delete(wake) }
  }

  return {
    store: {
      transact: async (transaction, deadline) => {
        const before = current
        const outcome = await store.transact(transaction, deadline)
        observe(outcome)
        if (before === undefined || before === current || outcome.kind === 'refused') return outcome
        return { kind: 'superseded', era: current }
      },
      read: async (table, part, deadline, range) => {
        const outcome = await store.read(table, part, deadline, range)
        observe(outcome)
        if (isOutdated(outcome)) return { kind: 'unavailable', reason: `response of era ${outcome.era ?? 0} arrived in era ${current ?? 0}`, era: current }
        if (outcome.kind === 'rows' && range === undefined) erasOfTables.set(table, outcome.era)
        return outcome
      },
      readChanges: async (table, after, waitMilliseconds, deadline) => {
        const eraOfVersion = erasOfTables.get(table)
        if (eraOfVersion !== current) return { kind: 'historyGone', era: current }
        const restore = nextRestore()
        const outcome = await Promise.race([
          store.readChanges(table, after, waitMilliseconds, deadline).then((changes) => {
            observe(changes)
            return changes
          }),
          restore.promise
        ])
        restore.cancel()
        return outcome === undefined || current !== eraOfVersion ? { kind: 'historyGone', era: current } : outcome
      },
      close: () => store.close()
    },
    era: {
      get current () { return current },
      get restoredAt () { return restoredAt },
      onRestored: (listener) => { listeners.push(listener) }
    }
  }
}
