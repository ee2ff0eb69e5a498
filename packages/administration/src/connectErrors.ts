import { Code, ConnectError, type Interceptor } from '@connectrpc/connect'
import { ApplySheetResponseSchema, type SheetHead } from '@quinceshunt/schemas'
import { PlatformOutcomeUnknownError, PlatformUnavailableError, type Logger } from '@quinceshunt/telemetry'
import { operatorContextKey } from './authentication.js'

/** Creates the error for a change that lost against another one; its details contain the head in force. */
export function conflictError (headInForce: SheetHead | undefined, baseRevision: bigint): ConnectError {
  const current = headInForce === undefined ? 'no revision is in force' : `revision ${headInForce.revision} by ${headInForce.operator} is in force`
  return new ConnectError(`the change is based on revision ${baseRevision}, but ${current}; look at it and apply again`, Code.Aborted, undefined,
    [{ desc: ApplySheetResponseSchema, value: { conflict: headInForce } }])
}

/** Maps errors to Connect codes and messages that tell the operator how to proceed. */
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
