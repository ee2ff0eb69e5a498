import { steadyNow } from '../clock.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import type { RowStore } from '../ports.js'

/** Wraps a store so that each of its responses is an observation of the shared clock. */
export function observeStoreTime (store: RowStore, clock: SharedClock): RowStore {
  function observe<Outcome extends object> (outcome: Outcome): Outcome {
    if ('storeTime' in outcome && typeof outcome.storeTime === 'number') clock.observe(outcome.storeTime, steadyNow())
    return outcome
  }

  return {
    transact: async (transaction, deadline) => observe(await store.transact(transaction, deadline)),
    read: async (table, part, deadline, range) => observe(await store.read(table, part, deadline, range)),
    readChanges: async (table, after, waitMilliseconds, deadline) => observe(await store.readChanges(table, after, waitMilliseconds, deadline)),
    close: () => store.close()
  }
}
