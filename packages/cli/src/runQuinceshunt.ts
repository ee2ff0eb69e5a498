import { commandTree, type CommandGroup } from './commandTree.js'
import { exitCodes, type ExitCode } from './exitCodes.js'
import type { CommandIo } from './io.js'

const HELP_FLAGS = ['--help', '-h']
const EXIT_CODES_HELP = 'Exit codes: 0 done, 1 the operation failed, 2 usage, 3 conflict with another change, 4 problems in the sheet,\n69 not available, 77 not permitted, 78 settings.'

/** Runs one command line; resolves with the exit code. */
export async function runQuinceshunt (rawArgs: readonly string[], io: CommandIo): Promise<ExitCode> {
  const [groupName = '', operationName = '', ...rest] = rawArgs
  const helpRequested = rawArgs.some((argument) => HELP_FLAGS.includes(argument))
  const group = Object.hasOwn(commandTree, groupName) ? commandTree[groupName] : undefined
  if (group === undefined) return writeUsage(io, rootUsage(), helpRequested, groupName === '' || helpRequested ? '' : `unknown command "${groupName}"`)
  const operation = Object.hasOwn(group.operations, operationName) ? group.operations[operationName] : undefined
  if (operation === undefined) {
    return writeUsage(io, groupUsage(groupName, group), helpRequested, operationName === '' || helpRequested ? '' : `unknown command "${groupName} ${operationName}"`)
  }
  if (helpRequested) return writeUsage(io, await operation.usage(`quinceshunt ${groupName} ${operationName}`), true, '')
  return await operation.run(rest, io)
}

/** Writes requested help to standard output; writes usage after an invalid command line to standard error. */
function writeUsage (io: CommandIo, usage: string, helpRequested: boolean, problem: string): ExitCode {
  if (helpRequested) {
    io.writeOut(usage)
    return exitCodes.done
  }
  io.writeError(problem === '' ? usage : `${problem}\n\n${usage}`)
  return exitCodes.usage
}

function rootUsage (): string {
  const groups = Object.entries(commandTree).flatMap(([name, group]) => groupLines(name, group))
  return `Operators' command line of a router fleet\n\nUSAGE quinceshunt GROUP COMMAND [OPTIONS]\n\n${groups.join('\n')}\n\nAdd --help to a command for its options and examples.\n${EXIT_CODES_HELP}\n`
}

function groupUsage (name: string, group: CommandGroup): string {
  return `${group.description}\n\nUSAGE quinceshunt ${name} COMMAND [OPTIONS]\n\n${groupLines(name, group).join('\n')}\n\nAdd --help to a command for its options and examples.\n`
}

function groupLines (name: string, group: CommandGroup): string[] {
  const width = 19
  return Object.entries(group.operations).map(([operation, { description }]) => `  ${`${name} ${operation}`.padEnd(width)}  ${description}`)
}
