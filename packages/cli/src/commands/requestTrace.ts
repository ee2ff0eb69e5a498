import { readFileSync } from 'node:fs'
import { CommandError, exitCodes } from '../exitCodes.js'
import { formatTime, writeTable } from '../io.js'
import { defineOperation } from '../operation.js'

interface LogLine {
  readonly time: number
  readonly instanceId?: string
  readonly requestId?: string
  readonly step?: string
  readonly peer?: string
  readonly msg?: string
  readonly result?: string
  readonly outcome?: string
  readonly code?: string
}

export const requestTrace = defineOperation({
  description: 'Show the log lines of one request from all routers, in chronological order',
  examples: ['request trace 41a2bf173f6d4063 --logs router-1.log,router-2.log'],
  args: {
    request: { type: 'positional', required: true, description: 'Request ID (X-Request-Id, or request_id of an error), or a prefix of it' },
    logs: { type: 'string', required: true, description: 'Log files of routers, separated by commas', valueHint: 'FILES' }
  },
  run: async (io, args) => {
    const lines = args.logs.split(',').flatMap(readLog)
    const matching = lines.filter((line) => line.requestId?.startsWith(args.request) === true).sort((first, second) => first.time - second.time)
    if (matching.length === 0) throw new CommandError(exitCodes.failed, `no line about request ${args.request} in ${args.logs}; look in the logs of the other routers`)
    if (args.json) io.writeOut(`${JSON.stringify(matching, undefined, 2)}\n`)
    else writeTable(io, ['Time', 'Instance', 'Step', 'Peer', 'Message', 'Result'], matching.map((line) => [formatTime(BigInt(line.time)), line.instanceId ?? '', line.step ?? '', line.peer ?? '', line.msg ?? '', line.code ?? line.outcome ?? line.result ?? '']))
    return exitCodes.done
  }
})

/** Parses a log file; skips lines that are not JSON, such as those of a supervisor. */
function readLog (file: string): LogLine[] {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch {
    throw new CommandError(exitCodes.usage, `log file "${file}" can't be read; name a readable file with a router's standard error`)
  }
  return text.split('\n').flatMap((line) => {
    try {
      const value = JSON.parse(line) as LogLine
      return typeof value === 'object' && value !== null && typeof value.time === 'number' ? [value] : []
    } catch {
      return []
    }
  })
}
