import { create, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { claimKey, decodeClaim } from '@quinceshunt/requests'
import { ClaimRecordSchema, ClaimState, type AdministrationService, type ClaimRecord } from '@quinceshunt/schemas'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { createAuditWrite, writeWithAudit } from '../audit.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'resolveClaim'>

/** The longest request deadline that router settings allow; until then a pending claim's request may still be running. */
const MIN_PENDING_AGE_MS = 3_600_000
const CONFLICT_STATUS = 409

/** Handler for claims whose outcome is unknown. */
export function createClaimHandlers (context: AdministrationContext): Handlers {
  const { platform, clock } = context
  return {
    resolveClaim: async ({ clientAccount, idempotencyKey, ran, reason }, call) => {
      if (reason.trim() === '') throw new ConnectError('the reason is missing; say for the audit how you know whether it ran', Code.InvalidArgument)
      const key = claimKey(clientAccount, idempotencyKey)
      const [row] = await platform.table.read([key])
      const claim = decodeClaim(row!)
      if (claim === undefined) throw new ConnectError(`client account ${clientAccount} has no claim with this idempotency key; nothing ran under it`, Code.NotFound)
      const at = clock.now()
      requireUnknownOutcome(claim, at)
      const resolved = { ...claim, updatedAt: BigInt(at), ...ran ? { state: ClaimState.COMPLETED, answer: createLostAnswer(claim) } : { state: ClaimState.WITHDRAWN } }
      const audit = createAuditWrite({ author: authorOf(call), at, action: `claim resolve --${ran ? 'ran' : 'not-run'}`, subject: `${clientAccount} ${claim.requestId}`, detail: reason })
      await writeWithAudit(platform.table, row!, toBinary(ClaimRecordSchema, create(ClaimRecordSchema, resolved)), audit)
      return {}
    }
  }
}

function requireUnknownOutcome (claim: ClaimRecord, now: number): void {
  if (claim.state === ClaimState.UNKNOWN) return
  if (claim.state !== ClaimState.PENDING) throw new ConnectError(`the claim is ${ClaimState[claim.state].toLowerCase()}; only a claim whose outcome is unknown can be resolved`, Code.FailedPrecondition)
  const resolvableAt = Number(claim.updatedAt) + MIN_PENDING_AGE_MS
  if (now < resolvableAt) throw new ConnectError(`the claim is held by ${claim.holderIncarnation}, which may still be running it; try again after ${new Date(resolvableAt).toISOString()}`, Code.FailedPrecondition)
}

/** Answer for callers that repeat the idempotency key: the request ran, but its answer was lost. */
function createLostAnswer (claim: ClaimRecord): ClaimRecord['answer'] {
  const error = { message: 'The request ran, but its answer was lost. An operator has confirmed this.', type: 'conflict_error', code: 'answer_lost', param: null, run: 'yes', request_id: claim.requestId }
  return { $typeName: 'quinceshunt.v1.RecordedAnswer', status: CONFLICT_STATUS, contentType: 'application/json', body: new TextEncoder().encode(JSON.stringify({ error })), objectName: '' }
}
