import { callService } from '../callers/callService.js'
import { expectedBilledTokens, findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { sendChat, type ChatCall } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { findViolations, readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'

/** Account whose budget the demo exhausts. */
export const SMALL_ACCOUNT = 'taller-pequeno'
/** Enough for two calls of about 110 tokens, not for three. */
export const SMALL_BUDGET_TOKENS = 300
const SMALL_ACCOUNT_CALLS = 6
const SMALL_ACCOUNT_ANSWER_TOKENS = 100

/** Result of one check of `--once`. */
export interface CheckResult {
  readonly right: boolean
  /** Human-readable observation. */
  readonly seen: string
}

/** Runs the demo's checks and returns the result of each. */
export async function runDemoChecks (fleet: Fleet): Promise<Record<string, CheckResult>> {
  return {
    streamedChat: await checkStreamedChat(fleet),
    serviceCall: await checkServiceCall(fleet),
    duplicateAction: await checkDuplicateAction(fleet),
    overBudget: await checkOverBudget(fleet),
    ledger: await checkLedger(fleet)
  }
}

function selectRouter (fleet: Fleet, index: number): FleetMember {
  return fleet.routers[index % fleet.routers.length]!
}

function firstAccountKey (fleet: Fleet): string {
  return bearerKeyOf(fleet.accounts[0]!.id)
}

async function checkStreamedChat (fleet: Fleet): Promise<CheckResult> {
  const call: ChatCall = { address: selectRouter(fleet, 0).address(), key: firstAccountKey(fleet), model: fleet.names.model, messages: createPrompt('Which red for a tiled roof?', 40), stream: true }
  const response = await sendChat(call)
  const fault = findResponseFault(call, response)
  return { right: fault === undefined, seen: fault ?? `${response.tokenArrivalTimes.length} tokens, ended by [DONE], ${response.usage?.total_tokens} billed` }
}

async function checkServiceCall (fleet: Fleet): Promise<CheckResult> {
  const response = await callService({ address: selectRouter(fleet, 1).address(), key: firstAccountKey(fleet), service: fleet.names.service, method: 'GET', path: `${fleet.names.queryPath}/7` })
  const right = response.status === 200 && response.result?.path === `${fleet.names.queryPath}/7`
  return { right, seen: `status ${response.status} ${response.text}` }
}

async function checkDuplicateAction (fleet: Fleet): Promise<CheckResult> {
  const idempotencyKey = `demo-${Date.now()}`
  const send = (index: number): ReturnType<typeof callService> => callService({
    address: selectRouter(fleet, index).address(), key: firstAccountKey(fleet), service: fleet.names.service, method: 'POST', path: fleet.names.actionPath, body: '{"amount":10}', idempotencyKey
  })
  const responses = await Promise.all([send(0), send(1)])
  const runs = (await readRuns(fleet.plainServices)).filter((run) => run.idempotencyKey === idempotencyKey)
  const right = runs.length === 1 && responses.every((response) => response.status === 200 && response.text === responses[0]!.text)
  return { right, seen: `ran ${runs.length} times; statuses ${responses.map((response) => response.status).join(' and ')}` }
}

async function checkOverBudget (fleet: Fleet): Promise<CheckResult> {
  let spent = 0
  let answered = 0
  let refused = 0
  const faults: string[] = []
  for (let index = 0; index < SMALL_ACCOUNT_CALLS; index++) {
    const call: ChatCall = { address: selectRouter(fleet, index).address(), key: bearerKeyOf(SMALL_ACCOUNT), model: fleet.names.model, messages: createPrompt(`Call ${index}`, SMALL_ACCOUNT_ANSWER_TOKENS), maxTokens: SMALL_ACCOUNT_ANSWER_TOKENS }
    const response = await sendChat(call)
    const isRefusal = response.error?.code === 'budget_exhausted' && response.error.run === 'no'
    const fault = isRefusal ? undefined : findResponseFault(call, response)
    if (isRefusal) refused++
    else if (fault !== undefined) faults.push(fault)
    else {
      answered++
      spent += expectedBilledTokens(call)
    }
  }
  const right = faults.length === 0 && answered > 0 && refused > 0 && spent <= SMALL_BUDGET_TOKENS
  return { right, seen: [`${answered} answered for ${spent} of ${SMALL_BUDGET_TOKENS} tokens, ${refused} refused`, ...faults].join('; ') }
}

async function checkLedger (fleet: Fleet): Promise<CheckResult> {
  const violations = findViolations(await readLedger(fleet.platform.client.table))
  return { right: violations.length === 0, seen: violations.join('; ') || 'no violation' }
}
