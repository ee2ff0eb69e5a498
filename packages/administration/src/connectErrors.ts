import { Code, ConnectError, type Interceptor } from '@connectrpc/connect'
import { ApplySheetResponseSchema, type SheetHead } from '@quinceshunt/schemas'
import { PlatformOutcomeUnknownError, PlatformUnavailableError, type Logger } from '@quinceshunt/telemetry'
import { operatorContextKey } from './authentication.js'

/** A conflict with the change that was first; its details carry the head in force. */
export function conflictError (inForce: SheetHead | undefined, baseRevision: bigint): ConnectError {
  const winner = inForce === undefined ? 'no revision is in force' : `revision ${inForce.revision} by ${inForce.operator} is in force`
  return new ConnectError(`the change is based on revision ${baseRevision}, but ${winner}; look at it and apply again`, Code.Aborted, undefined,
    [{ desc: ApplySheetResponseSchema, value: { conflict: inForce } }])
}

/** Turns errors of the platform into codes that tell an operator what to do. */
function translateError (error: unknown): ConnectError {
  if (error instanceof ConnectError) return error
  if (error instanceof PlatformOutcomeUnknownError) {
    return new ConnectError('the platform did not answer; the change may have taken effect: look at its state before you repeat it', Code.Unavailable)
  }
  if (error instanceof PlatformUnavailableError) return new ConnectError(`the platform is not available (${error.step}); nothing was changed by this call`, Code.Unavailable)
  if (error instanceof RangeError) return new ConnectError(error.message, Code.InvalidArgument)
  return new ConnectError('the call failed by a fault of the administration process; see its log', Code.Internal)
}

/** Logs each call with its operator and outcome, and translates errors. */
export function reportErrors (logger: Logger): Interceptor {
  return (next) => async (request) => {
    const operator = request.contextValues.get(operatorContextKey)?.name
    try {
      const response = await next(request)
      logger.info({ method: request.method.name, operator }, 'call succeeded')
      return response
    } catch (error) {
      const translated = translateError(error)
      const level = translated.code === Code.Internal ? 'error' : 'warn'
      logger[level]({ method: request.method.name, operator, code: Code[translated.code], err: error }, 'call failed')
      throw translated
    }
  }
}
