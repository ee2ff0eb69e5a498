import { type HandlerContext } from '@connectrpc/connect'
import type { Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import type { Author } from '@quinceshunt/sheet'
import type { Logger } from '@quinceshunt/telemetry'
import { operatorContextKey, roleName } from './authentication.js'
import type { RouterFleet } from './routerFleet.js'

/** Dependencies of the administration API's handlers. */
export interface AdministrationContext {
  readonly platform: Platform
  readonly fleet: RouterFleet
  /** Shared with the routers; signs sheet heads. */
  readonly fleetKey: string
  readonly clock: Clock
  readonly logger: Logger
}

/** Operator of a call, for the audit log. */
export function authorOf (call: HandlerContext): Author {
  const operator = call.values.get(operatorContextKey)
  return { operator: operator?.name ?? '', role: operator === undefined ? '' : roleName(operator.role) }
}
