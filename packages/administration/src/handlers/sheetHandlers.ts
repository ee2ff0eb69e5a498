import type { MessageInitShape } from '@bufbuild/protobuf'
import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import { ApplySheetResponseSchema, SheetFormat, type AdministrationService, type ApplySheetRequest, type FleetConfiguration, type Sheet, type SheetHead } from '@quinceshunt/schemas'
import { checkTransition, diffSheets, parseSheet, decodeHead, replaceSheet, revisionKey, type Author, type ParsedSheet } from '@quinceshunt/sheet'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { acceptAndAnnounce, loadRevision, readHeadInForce } from '../configurationStore.js'
import { conflictError } from '../connectErrors.js'
import type { RouterStatus } from '../routerFleet.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'showSheet' | 'validateSheet' | 'diffSheet' | 'applySheet' | 'listSheetHistory'>
type ApplyResponse = MessageInitShape<typeof ApplySheetResponseSchema>

const MAX_WAIT_MS = 60_000
const DEFAULT_HISTORY_REVISIONS = 20
const MAX_HISTORY_REVISIONS = 1000

export function createSheetHandlers (context: AdministrationContext): Handlers {
  return {
    showSheet: async ({ revision }) => {
      const stored = await loadRevision(context, revision)
      if (stored === undefined) throw new ConnectError(revision === 0n ? 'no sheet is in force; apply one first' : `there is no revision ${revision}`, Code.NotFound)
      return { head: stored.head, sheet: stored.configuration.sheet }
    },
    validateSheet: async (request) => {
      const stored = await loadRevision(context, 0n)
      const checked = checkSheet(request.format, request.content, stored?.configuration)
      return { problems: checked.kind === 'valid' ? [] : [...checked.problems] }
    },
    diffSheet: async (request) => {
      const stored = await loadRevision(context, 0n)
      const baseRevision = stored?.head.revision ?? 0n
      const checked = checkSheet(request.format, request.content, stored?.configuration)
      if (checked.kind === 'invalid') return { baseRevision, problems: [...checked.problems] }
      return { baseRevision, changes: diffSheets(stored?.configuration.sheet, checked.sheet) }
    },
    applySheet: async (request, call) => await applySheet(context, request, authorOf(call)),
    listSheetHistory: async ({ limit }) => {
      const head = await readHeadInForce(context)
      return { heads: head === undefined ? [] : await readHistory(context, head, Math.min(limit === 0 ? DEFAULT_HISTORY_REVISIONS : limit, MAX_HISTORY_REVISIONS)) }
    }
  }
}

/** Validates a sheet by itself and against the configuration in force. */
function checkSheet (format: SheetFormat, content: Uint8Array, current: FleetConfiguration | undefined): ParsedSheet {
  if (format === SheetFormat.UNSPECIFIED) throw new ConnectError('the format of the sheet is missing; send CSV or YAML', Code.InvalidArgument)
  const parsed = parseSheet(format === SheetFormat.CSV ? 'csv' : 'yaml', new TextDecoder().decode(content))
  if (parsed.kind === 'invalid') return parsed
  const problems = checkTransition(current, parsed.sheet)
  return problems.length === 0 ? parsed : { kind: 'invalid', problems }
}

async function applySheet (context: AdministrationContext, request: ApplySheetRequest, author: Author): Promise<ApplyResponse> {
  if (request.waitMilliseconds > MAX_WAIT_MS) throw new ConnectError(`waitMilliseconds ${request.waitMilliseconds} is not allowed; use 0 to ${MAX_WAIT_MS}`, Code.InvalidArgument)
  // Based on the revision that the operator has seen; a newer one is detected as a conflict when the change is accepted.
  const base = request.baseRevision === 0n ? undefined : await loadRevision(context, request.baseRevision)
  if (request.baseRevision !== 0n && base === undefined) throw conflictError(await readHeadInForce(context), request.baseRevision)
  const checked = checkSheet(request.format, request.content, base?.configuration)
  if (checked.kind === 'invalid') return { problems: [...checked.problems] }
  const description = { action: 'sheet apply', subject: checked.sheet.deployment, detail: describeChange(base?.configuration.sheet, checked.sheet, request.baseRevision) }
  const outcome = await acceptAndAnnounce(context, base, replaceSheet(base?.configuration, checked.sheet), author, description)
  if (outcome.kind === 'conflict') throw conflictError(outcome.head, request.baseRevision)
  return await waitUntilInForce(context, outcome.head, request.waitMilliseconds)
}

function describeChange (before: Sheet | undefined, after: Sheet, baseRevision: bigint): string {
  return `revision ${baseRevision + 1n}, ${diffSheets(before, after).length} changed values`
}

async function waitUntilInForce (context: AdministrationContext, head: SheetHead, waitMilliseconds: number): Promise<ApplyResponse> {
  if (waitMilliseconds === 0) return { head }
  const report = await context.fleet.waitUntilInForce(head.revision, context.clock.now() + waitMilliseconds)
  const inForce = report.inForceAt !== undefined && report.routers.some((router) => router.status !== undefined)
  return {
    head,
    instances: report.routers.map((router: RouterStatus) => ({ instanceId: router.instanceId, revision: router.status?.sheetRevision ?? 0n, reachable: router.status !== undefined })),
    inForceAfterMilliseconds: inForce ? Math.max(1, report.inForceAt! - Number(head.acceptedAt)) : 0
  }
}

async function readHistory (context: AdministrationContext, head: SheetHead, limit: number): Promise<SheetHead[]> {
  const count = Math.min(limit, Number(head.revision))
  const keys = Array.from({ length: count }, (_, index) => revisionKey(head.revision - BigInt(index)))
  const rows = await context.platform.table.read(keys)
  return rows.flatMap((row) => decodeHead(row) ?? [])
}
