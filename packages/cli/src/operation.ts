import { ConnectError } from '@connectrpc/connect'
import { SettingsError } from '@quinceshunt/telemetry'
import { defineCommand, renderUsage, runCommand, type ArgsDef, type CommandDef, type ParsedArgs } from 'citty'
import { stripVTControlCharacters } from 'node:util'
import { CommandError, exitCodes, exitCodeOf, type ExitCode } from './exitCodes.js'
import type { CommandIo } from './io.js'

/** Option common to all commands. */
const JSON_ARG = { json: { type: 'boolean', default: false, description: 'Write the result as JSON' } } as const satisfies ArgsDef

export interface OperationDefinition<Args extends ArgsDef> {
  readonly description: string
  /** Example command lines without the program's name. */
  readonly examples: readonly string[]
  readonly args: Args
  readonly run: (io: CommandIo, args: ParsedArgs<Args & typeof JSON_ARG>) => Promise<ExitCode>
}

export interface Operation {
  readonly description: string
  /** Runs the command with the arguments after its name; resolves with the exit code. */
  run (rawArgs: readonly string[], io: CommandIo): Promise<ExitCode>
  /** Renders the help text, with examples. */
  usage (name: string): Promise<string>
}

/** Wraps a definition with argument parsing, help and error reporting. */
export function defineOperation<const Args extends ArgsDef> (definition: OperationDefinition<Args>): Operation {
  const args = { ...definition.args, ...JSON_ARG }
  const buildCommand = (name: string, io?: CommandIo): CommandDef => defineCommand({
    meta: { name, description: definition.description },
    args,
    run: async (context) => {
      rejectUnknownArguments(args, context.args)
      return await definition.run(io!, context.args as unknown as ParsedArgs<Args & typeof JSON_ARG>)
    }
  }) as CommandDef
  return {
    description: definition.description,
    usage: async (name) => {
      const usage = stripVTControlCharacters(await renderUsage(buildCommand(name)))
      return `${usage.replace(/ +$/gm, '').trimEnd()}\n\nEXAMPLES\n\n${definition.examples.map((example) => `  quinceshunt ${example}`).join('\n')}\n`
    },
    run: async (rawArgs, io) => {
      try {
        const { result } = await runCommand(buildCommand('', io), { rawArgs: [...rawArgs] })
        return result as ExitCode
      } catch (error) {
        return reportError(error, rawArgs, io)
      }
    }
  }
}

/** Rejects arguments that the parser ignores: a misspelt option may be the one that limits the command's effect. */
function rejectUnknownArguments (definitions: ArgsDef, args: Readonly<Record<string, unknown>> & { readonly _: readonly string[] }): void {
  const camelCase = (name: string): string => name.replace(/-([a-z])/g, (_, letter: string) => letter.toUpperCase())
  const known = new Set(Object.keys(definitions).flatMap((name) => [name, camelCase(name)]))
  const unknown = Object.keys(args).filter((name) => name !== '_' && !known.has(name))
  if (unknown.length > 0) throw new CommandError(exitCodes.usage, `unknown option --${unknown[0]}`)
  const positionals = Object.values(definitions).filter(({ type }) => type === 'positional').length
  if (args._.length > positionals) throw new CommandError(exitCodes.usage, `unexpected argument "${args._[positionals]}"`)
  for (const [name, { type, required }] of Object.entries(definitions)) {
    if (type !== 'boolean' && required === true && args[name] === '') throw new CommandError(exitCodes.usage, `--${name} needs a value`)
  }
}

function reportError (error: unknown, rawArgs: readonly string[], io: CommandIo): ExitCode {
  const { exitCode, message } = describeError(error)
  if (rawArgs.includes('--json')) io.writeError(`${JSON.stringify({ error: { exitCode, message } })}\n`)
  else io.writeError(`${message}\n${exitCode === exitCodes.usage ? 'Add --help to see the options and examples.\n' : ''}`)
  return exitCode
}

function describeError (error: unknown): { readonly exitCode: ExitCode, readonly message: string } {
  if (error instanceof CommandError) return { exitCode: error.exitCode, message: error.message }
  if (error instanceof SettingsError) return { exitCode: exitCodes.settings, message: error.message }
  if (error instanceof ConnectError) return { exitCode: exitCodeOf(error), message: error.rawMessage }
  if (error instanceof Error && error.name === 'CLIError') return { exitCode: exitCodes.usage, message: stripVTControlCharacters(error.message) }
  return { exitCode: exitCodes.failed, message: error instanceof Error ? error.message : String(error) }
}
