import { Code, ConnectError } from '@connectrpc/connect'
import { ApplySheetResponseSchema, type ApplySheetResponse } from '@quinceshunt/schemas'
import { setTimeout as wait } from 'node:timers/promises'
import { connectAdministration, type AdministrationClient } from '../connection.js'
import { exitCodes, type ExitCode } from '../exitCodes.js'
import { writeMessage, writeTable, type CommandIo } from '../io.js'
import { defineOperation } from '../operation.js'
import { connectionArgs, parseWholeNumber } from '../options.js'
import { toSheetFormat, readSheetFile, sheetFileArgs, writeProblems } from '../sheetFile.js'

const DEFAULT_WAIT_MILLISECONDS = '10000'
const MAX_WAIT_MILLISECONDS = 60_000
const PROGRESS_INTERVAL_MILLISECONDS = 500

export const sheetApply = defineOperation({
  description: 'Apply a sheet and wait until every reachable router has it in force',
  examples: ['sheet apply examples/taller.sheet.csv', 'sheet apply examples/taller.sheet.csv --base-revision 7'],
  args: {
    ...sheetFileArgs,
    ...connectionArgs,
    'base-revision': { type: 'string', description: 'Revision that the sheet is based on; default: the one in force now', valueHint: 'NUMBER' },
    'wait-milliseconds': { type: 'string', default: DEFAULT_WAIT_MILLISECONDS, description: 'Maximum wait for the routers, 0 to 60000', valueHint: 'NUMBER' }
  },
  run: async (io, args) => {
    const file = readSheetFile(args.file)
    const waitMilliseconds = parseWholeNumber('wait-milliseconds', args['wait-milliseconds'], 0, MAX_WAIT_MILLISECONDS)
    const baseRevisionOption = args['base-revision']
    const client = connectAdministration(io, args)
    const baseRevision = baseRevisionOption === undefined ? await fetchRevisionInForce(client) : BigInt(parseWholeNumber('base-revision', baseRevisionOption, 0, Number.MAX_SAFE_INTEGER))
    const progressAbort = new AbortController()
    const progress = showProgress(io, client, baseRevision + 1n, progressAbort.signal)
    const response = await client.applySheet({ format: toSheetFormat(file), content: file.content, baseRevision, waitMilliseconds }).finally(() => progressAbort.abort())
    await progress
    if (args.json) writeMessage(io, ApplySheetResponseSchema, response)
    if (response.problems.length > 0) {
      if (!args.json) writeProblems(io, file.name, response.problems)
      return exitCodes.invalidSheet
    }
    return reportApplied(io, response, waitMilliseconds, args.json)
  }
})

async function fetchRevisionInForce (client: AdministrationClient): Promise<bigint> {
  const { heads } = await client.listSheetHistory({ limit: 1 })
  return heads[0]?.revision ?? 0n
}

/** Reports on standard error how many routers have the revision, until the signal aborts. */
async function showProgress (io: CommandIo, client: AdministrationClient, revision: bigint, signal: AbortSignal): Promise<void> {
  for (;;) {
    await wait(PROGRESS_INTERVAL_MILLISECONDS, undefined, { signal }).catch(() => {})
    if (signal.aborted) return
    const status = await client.fleetStatus({}, { signal }).catch((error: unknown) => ConnectError.from(error))
    if (status instanceof ConnectError) {
      if (status.code !== Code.Canceled) io.writeError(`waiting; the status of the routers is not available: ${status.rawMessage}\n`)
      continue
    }
    const reachable = status.instances.filter((instance) => instance.reachable)
    const current = reachable.filter((instance) => instance.sheetRevision >= revision)
    io.writeError(`waiting; ${current.length} of ${reachable.length} reachable routers have revision ${revision}\n`)
  }
}

function reportApplied (io: CommandIo, response: ApplySheetResponse, waitMilliseconds: number, json: boolean): ExitCode {
  const { instances, inForceAfterMilliseconds } = response
  const revision = response.head?.revision ?? 0n
  if (!json) {
    io.writeOut(`accepted as revision ${revision}\n`)
    if (instances.length > 0) writeTable(io, ['Router', 'Revision', 'Reachable'], instances.map((instance) => [instance.instanceId, instance.revision, instance.reachable ? 'yes' : 'no']))
    if (inForceAfterMilliseconds > 0) io.writeOut(`in force on every reachable router after ${inForceAfterMilliseconds} ms\n`)
  }
  const reachable = instances.filter((instance) => instance.reachable)
  if (reachable.length < instances.length) io.writeError(`${instances.length - reachable.length} routers do not answer; they load the revision when they are reachable again\n`)
  const outdated = reachable.filter((instance) => instance.revision < revision)
  if (outdated.length === 0) return exitCodes.done
  io.writeError(`accepted, but after ${waitMilliseconds} ms not in force on ${outdated.map((instance) => instance.instanceId).join(', ')}; don't apply it again, see "fleet status"\n`)
  return exitCodes.failed
}
