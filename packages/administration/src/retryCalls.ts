import type { Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'

/** Operators wait for the response; after this time the platform counts as unavailable. */
const RETRY_TIMEOUT_MS = 3000
const RETRY_DELAY_STEP_MS = 50
/** When half of all replies are lost, 1 call in 256 still fails. */
const MAX_ATTEMPTS = 8

/** Retries idempotent calls with a linear backoff: reads, scans, and objects, whose names are content hashes. Transactions are not retried here. */
export function retryCalls (platform: Platform, clock: Clock): Platform {
  async function retry<Result> (call: () => Promise<Result>): Promise<Result> {
    const deadline = clock.now() + RETRY_TIMEOUT_MS
    for (let attempt = 1; ; attempt++) {
      try {
        return await call()
      } catch (error) {
        if (attempt === MAX_ATTEMPTS || clock.now() >= deadline) throw error
        await clock.waitUntil(Math.min(deadline, clock.now() + RETRY_DELAY_STEP_MS * attempt))
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
