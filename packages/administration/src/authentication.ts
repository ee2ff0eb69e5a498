import { Code, ConnectError, createContextKey, type Interceptor } from '@connectrpc/connect'
import { OperatorRole, type AdministrationService, type OperatorSettings } from '@quinceshunt/schemas'
import { createHash, timingSafeEqual } from 'node:crypto'

/** An authenticated operator. */
export interface Operator {
  readonly name: string
  readonly role: OperatorRole
}

/** Context key of a call's operator, set before its handler runs. */
export const operatorContextKey = createContextKey<Operator | undefined>(undefined, { description: 'operator' })

const BEARER_PATTERN = /^Bearer (\S+)$/i

/** Minimum role for each method; a role includes the rights of the lower ones. */
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

/** Operator whose key is in the `Authorization` header. All hashes are compared, each in constant time, so that timing reveals nothing. */
export function findOperator (operators: readonly OperatorSettings[], authorization: string | undefined): Operator | undefined {
  const key = BEARER_PATTERN.exec(authorization ?? '')?.[1]
  if (key === undefined) return undefined
  const presentedHash = createHash('sha256').update(key, 'utf8').digest()
  return operators.filter((operator) => {
    const expectedHash = Buffer.from(operator.keySha256, 'hex')
    return expectedHash.length === presentedHash.length && timingSafeEqual(expectedHash, presentedHash)
  })[0]
}

/** Display name of a role. */
export function roleName (role: OperatorRole): string {
  return OperatorRole[role].toLowerCase()
}

/** Rejects calls that the operator's role does not permit. */
export const requireRole: Interceptor = (next) => (request) => {
  const operator = request.contextValues.get(operatorContextKey)
  if (operator === undefined) throw new ConnectError('the operator key is missing or not known; send "Authorization: Bearer OPERATOR_KEY"', Code.Unauthenticated)
  const requiredRole = REQUIRED_ROLES[request.method.localName as keyof typeof REQUIRED_ROLES]
  if (operator.role < requiredRole) {
    throw new ConnectError(`${operator.name} is a ${roleName(operator.role)}; ${request.method.name} needs the role ${roleName(requiredRole)}`, Code.PermissionDenied)
  }
  return next(request)
}
