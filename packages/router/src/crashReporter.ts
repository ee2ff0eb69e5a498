import type { Clock } from '@quinceshunt/effects'
import type { InFlightRegistry } from './inFlight.js'
import type { BackendService, QuarantineService } from './services.js'

/** Connections that a crash has broken are noticed within this time. */
const SAME_CRASH_MILLISECONDS = 2000

/** Finds out whether a broken connection was a crash, and records each crash once for all requests that it hit. */
export interface CrashReporter {
  /**
   * Resolves true when the backend server crashed; the requests in flight there are then recorded as suspects.
   * `attemptStartedAt` (Unix milliseconds) tells a request that the last crash has hit from one sent after it.
   */
  examine (backendServer: string, attemptStartedAt: number): Promise<boolean>
}

/** Creates the crash reporter of a router. */
export function createCrashReporter (backends: BackendService, quarantine: QuarantineService, inFlight: InFlightRegistry, clock: Clock): CrashReporter {
  const examinations = new Map<string, { readonly startedAt: number, readonly result: Promise<boolean> }>()

  async function confirmAndRecord (backendServer: string): Promise<boolean> {
    // Taken before the first wait, while all requests that the crash has hit are still registered.
    const fingerprints = inFlight.fingerprints(backendServer)
    if (!await backends.confirmCrash(backendServer)) return false
    await quarantine.recordCrash(backendServer, fingerprints)
    return true
  }

  return {
    examine: (backendServer, attemptStartedAt) => {
      const known = examinations.get(backendServer)
      const isSameCrash = known !== undefined && attemptStartedAt <= known.startedAt && clock.now() - known.startedAt < SAME_CRASH_MILLISECONDS
      if (isSameCrash) return known.result
      const result = confirmAndRecord(backendServer)
      examinations.set(backendServer, { startedAt: clock.now(), result })
      return result
    }
  }
}
