import { Code, ConnectError } from '@connectrpc/connect'

/** Exit codes of the command line; 69, 77 and 78 follow sysexits. */
export const exitCodes = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  invalidSheet: 4,
  unavailable: 69,
  notPermitted: 77,
  settings: 78
} as const

export type ExitCode = typeof exitCodes[keyof typeof exitCodes]

/** Error that ends the command with a message for the operator and an exit code. */
export class CommandError extends Error {
  readonly exitCode: ExitCode

  constructor (exitCode: ExitCode, message: string) {
    super(message)
    this.exitCode = exitCode
  }
}

/** Maps an error response of the administration API to an exit code. */
export function exitCodeOf (error: ConnectError): ExitCode {
  switch (error.code) {
    case Code.Aborted: return exitCodes.conflict
    case Code.Unavailable:
    case Code.DeadlineExceeded: return exitCodes.unavailable
    case Code.Unauthenticated:
    case Code.PermissionDenied: return exitCodes.notPermitted
    default: return exitCodes.failed
  }
}
