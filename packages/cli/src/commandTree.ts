import { accountList } from './commands/accountList.js'
import { auditList } from './commands/auditList.js'
import { backendDrain } from './commands/backendDrain.js'
import { backendOrder } from './commands/backendOrder.js'
import { backendOrders } from './commands/backendOrders.js'
import { budgetResolve } from './commands/budgetResolve.js'
import { budgetShow } from './commands/budgetShow.js'
import { budgetTopUp } from './commands/budgetTopUp.js'
import { claimResolve } from './commands/claimResolve.js'
import { configCheck } from './commands/configCheck.js'
import { configurationCheck } from './commands/configurationCheck.js'
import { fleetStatus } from './commands/fleetStatus.js'
import { keyIssue } from './commands/keyIssue.js'
import { keyList } from './commands/keyList.js'
import { keyRevoke } from './commands/keyRevoke.js'
import { requestTrace } from './commands/requestTrace.js'
import { sheetApply } from './commands/sheetApply.js'
import { sheetDiff } from './commands/sheetDiff.js'
import { sheetHistory } from './commands/sheetHistory.js'
import { sheetShow } from './commands/sheetShow.js'
import { sheetValidate } from './commands/sheetValidate.js'
import type { Operation } from './operation.js'

/** Commands with a common first word. */
export interface CommandGroup {
  readonly description: string
  readonly operations: Readonly<Record<string, Operation>>
}

/** All commands: `quinceshunt GROUP COMMAND`. */
export const commandTree: Readonly<Record<string, CommandGroup>> = {
  sheet: { description: 'Sheets and their revisions', operations: { validate: sheetValidate, diff: sheetDiff, apply: sheetApply, show: sheetShow, history: sheetHistory } },
  budget: { description: 'Prepaid budgets', operations: { show: budgetShow, 'top-up': budgetTopUp, resolve: budgetResolve } },
  account: { description: 'Client accounts', operations: { list: accountList } },
  key: { description: 'Keys of client accounts', operations: { issue: keyIssue, list: keyList, revoke: keyRevoke } },
  fleet: { description: 'Routers', operations: { status: fleetStatus } },
  backend: { description: 'Backend servers', operations: { drain: backendDrain, order: backendOrder, orders: backendOrders } },
  claim: { description: 'Non-idempotent requests', operations: { resolve: claimResolve } },
  request: { description: 'Single requests', operations: { trace: requestTrace } },
  audit: { description: 'Changes that operators made', operations: { list: auditList } },
  config: { description: 'Settings files', operations: { check: configCheck } },
  configuration: { description: 'Configuration documents of the platform', operations: { check: configurationCheck } }
}
