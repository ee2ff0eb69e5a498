import type { TokenTaskOptions } from '../tasks/tokenAccounts.js'

/** Options of a token task whose store is never restored from a copy. */
export function storeWithoutRestores (): Pick<TokenTaskOptions, 'era' | 'mayDraw' | 'lossesSince' | 'onRecovered' | 'onLeaseRead' | 'onTotals'> {
  return {
    era: { current: undefined, restoredAt: undefined, onRestored: () => {} },
    mayDraw: () => true,
    lossesSince: () => 0,
    onRecovered: () => {},
    onLeaseRead: () => {},
    onTotals: () => {}
  }
}
