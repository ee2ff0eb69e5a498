import type { Clock } from '@quinceshunt/effects'
import type { InFlightRegistry } from './inFlight.js'
import type { PromptPartGuard } from './promptParts.js'
import type { BackendService, QuarantineService } from './services.js'

/** All connections broken by a crash are detected within this time. */
const SAME_CRASH_WINDOW_MS = 2000

/** Determines whether a broken connection was caused by a crash, and records each crash once for all affected requests. */
export interface CrashReporter {
  /**
   * Resolves to true if the backend server crashed; the requests in flight there are then recorded as suspects.
   * `attemptStartedAt` (Unix milliseconds) distinguishes a request affected by the last crash from one sent after it.
   */
  checkForCrash (backendServer: string, attemptStartedAt: number): Promise<boolean>
}

/** Dependencies of the crash reporter. */
export interface CrashReporterOptions {
  readonly backends: BackendService
  readonly quarantine: QuarantineService
  readonly promptParts: PromptPartGuard
  readonly inFlight: InFlightRegistry
  readonly clock: Clock
}

export function createCrashReporter ({ backends, quarantine, promptParts, inFlight, clock }: CrashReporterOptions): CrashReporter {
  const checks = new Map<string, { readonly startedAt: number, readonly result: Promise<boolean> }>()

  async function confirmAndRecord (backendServer: string): Promise<boolean> {
    // Read before the first await, while all requests affected by the crash are still registered.
    const fingerprints = inFlight.fingerprints(backendServer)
    const unansweredPrompts = inFlight.unansweredPrompts(backendServer)
    const crashedAt = clock.now()
    if (!await backends.confirmCrash(backendServer)) return false
    promptParts.recordCrash(backendServer, unansweredPrompts, crashedAt)
    await quarantine.recordCrash(backendServer, fingerprints)
    return true
  }

  return {
    checkForCrash: (backendServer, attemptStartedAt) => {
      const lastCheck = checks.get(backendServer)
      const isSameCrash = lastCheck !== undefined && attemptStartedAt <= lastCheck.startedAt && clock.now() - lastCheck.startedAt < SAME_CRASH_WINDOW_MS
      if (isSameCrash) return lastCheck.result
      const result = confirmAndRecord(backendServer)
      checks.set(backendServer, { startedAt: clock.now(), result })
      return result
    }
  }
}
