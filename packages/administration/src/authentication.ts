import { Code, ConnectError, createContextKey, type Interceptor } from '@connectrpc/connect'
import { OperatorRole, type AdministrationService, type OperatorSettings } from '@quinceshunt/schemas'
import { createHash, timingSafeEqual } from 'node:crypto'

/** An authenticated operator. */
export interface Operator {
  readonly name: string
  readonly role: OperatorRole
}

/** Operator of a call, set before its handler runs. */
export const operatorContextKey = createContextKey<Operator | undefined>(undefined, { description: 'operator' })

const BEARER = /^Bearer (\S+)$/i

/** Lowest role that may call each method; each role may do what the lower ones may. */
const REQUIRED_ROLES: Readonly<Record<keyof typeof AdministrationService.method, OperatorRole>> = {
  showSheet: OperatorRole.READER,
  validateSheet: OperatorRole.READER,
  diffSheet: OperatorRole.READER,
  listSheetHistory: OperatorRole.READER,
  applySheet: OperatorRole.PLANNER,
  showBudget: OperatorRole.READER,
  topUpBudget: OperatorRole.OPERATOR,
  resolveBudget: OperatorRole.OPERATOR,
  listClientAccounts: OperatorRole.READER,
  issueKey: OperatorRole.OPERATOR,
  revokeKey: OperatorRole.OPERATOR,
  listKeys: OperatorRole.READER,
  fleetStatus: OperatorRole.READER,
  drainBackendServer: OperatorRole.OPERATOR,
  listAudit: OperatorRole.READER,
  orderEngine: OperatorRole.OPERATOR,
  listOrders: OperatorRole.READER,
  resolveClaim: OperatorRole.OPERATOR
}

/** Operator whose key an `Authorization` header carries; all hashes are compared, each in constant time. */
export function findOperator (operators: readonly OperatorSettings[], authorization: string | undefined): Operator | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1]
  if (key === undefined) return undefined
  const presented = createHash('sha256').update(key, 'utf8').digest()
  return operators.filter((operator) => {
    const expected = Buffer.from(operator.keySha256, 'hex')
    return expected.length === presented.length && timingSafeEqual(expected, presented)
  })[0]
}

/** Name of a role as shown to people. */
export function roleName (role: OperatorRole): string {
  return OperatorRole[role].toLowerCase()
}

/** Refuses calls of operators whose role does not allow them. */
export const requireRole: Interceptor = (next) => (request) => {
  const operator = request.contextValues.get(operatorContextKey)
  if (operator === undefined) throw new ConnectError('the operator key is missing or not known; send "Authorization: Bearer OPERATOR_KEY"', Code.Unauthenticated)
  const required = REQUIRED_ROLES[request.method.localName as keyof typeof REQUIRED_ROLES]
  if (operator.role < required) {
    throw new ConnectError(`${operator.name} is a ${roleName(operator.role)}; ${request.method.name} needs the role ${roleName(required)}`, Code.PermissionDenied)
  }
  return next(request)
}
