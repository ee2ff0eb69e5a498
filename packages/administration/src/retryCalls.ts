import type { Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'

/** An operator waits for the answer; after this time the platform counts as not available. */
const PATIENCE_MILLISECONDS = 3000
const FIRST_PAUSE_MILLISECONDS = 50
/** Tries of one call; with half of all replies lost, 1 call in 256 still fails. */
const TRIES = 8

/** Repeats calls that may be repeated without harm: reads, and objects, which are named by their content. Transactions are not repeated here. */
export function retryCalls (platform: Platform, clock: Clock): Platform {
  async function retry<Result> (call: () => Promise<Result>): Promise<Result> {
    const deadline = clock.now() + PATIENCE_MILLISECONDS
    for (let attempt = 1; ; attempt++) {
      try {
        return await call()
      } catch (error) {
        if (attempt === TRIES || clock.now() >= deadline) throw error
        await clock.waitUntil(Math.min(deadline, clock.now() + FIRST_PAUSE_MILLISECONDS * attempt))
      }
    }
  }
  const { table, objects, instances } = platform
  return {
    table: {
      read: async (keys) => await retry(() => table.read(keys)),
      scan: async (prefix, startAfter, limit) => await retry(() => table.scan(prefix, startAfter, limit)),
      transact: async (checks, writes) => await table.transact(checks, writes)
    },
    objects: {
      put: async (name, content) => await retry(() => objects.put(name, content)),
      get: async (name) => await retry(() => objects.get(name))
    },
    instances
  }
}
