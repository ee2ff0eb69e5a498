import type { ClosedResponses } from '@quinceshunt/caller-connections'
import type { Clock } from '@quinceshunt/effects'
import type { SharedLimit } from '@quinceshunt/memory-limits'
import type { RouterSettings } from '@quinceshunt/schemas'
import type { Logger, Metrics } from '@quinceshunt/telemetry'
import type { RetryBudget } from '@quinceshunt/requests'
import type { CrashReporter } from './crashReporter.js'
import type { InFlightRegistry } from './inFlight.js'
import type { PromptPartGuard } from './promptParts.js'
import type { BackendService, BudgetService, ClaimService, ConfigurationService, QuarantineService } from './services.js'

/** Dependencies of the request path. */
export interface RouterServices {
  readonly settings: RouterSettings
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly configuration: ConfigurationService
  readonly budgets: BudgetService
  readonly claims: ClaimService
  readonly quarantine: QuarantineService
  readonly promptParts: PromptPartGuard
  readonly backends: BackendService
  readonly crashes: CrashReporter
  readonly inFlight: InFlightRegistry
  readonly retryBudget: RetryBudget
  /** Bytes of responses that are buffered until they are whole, by the address of their backend server. */
  readonly bufferedResponses: SharedLimit
  /** Whether responses that ended with their connections are whole. */
  readonly closedResponses: ClosedResponses
  /** Bytes of callers' bodies, by the ID of their client account. */
  readonly callerBodies: SharedLimit
  /** Whether to refuse requests because nothing was heard from the platform or any peer for `isolatedAfterMilliseconds`. */
  readonly isIsolated: () => boolean
}
