import { callService } from '../callers/callService.js'
import { billedTokens, findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { sendChat, type ChatCall } from '../callers/sendChat.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { findViolations, readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'

/** Account whose budget the demo uses up. */
export const SMALL_ACCOUNT = 'taller-pequeno'
/** Tokens of that budget: enough for two calls of about 110 tokens, not for three. */
export const SMALL_BUDGET_TOKENS = 300
const SMALL_CALLS = 6
const SMALL_ANSWER_TOKENS = 100

/** Result of one check of `--once`. */
export interface CheckResult {
  readonly right: boolean
  /** What was seen, for people. */
  readonly seen: string
}

/** Runs the demo's calls and says for each whether its result was right. */
export async function runDemoChecks (fleet: Fleet): Promise<Record<string, CheckResult>> {
  return {
    streamedChat: await checkStreamedChat(fleet),
    serviceCall: await checkServiceCall(fleet),
    duplicateAction: await checkDuplicateAction(fleet),
    overBudget: await checkOverBudget(fleet),
    ledger: await checkLedger(fleet)
  }
}

function routerAt (fleet: Fleet, index: number): FleetMember {
  return fleet.routers[index % fleet.routers.length]!
}

function firstKey (fleet: Fleet): string {
  return keyOf(fleet.accounts[0]!.id)
}

async function checkStreamedChat (fleet: Fleet): Promise<CheckResult> {
  const call: ChatCall = { address: routerAt(fleet, 0).address(), key: firstKey(fleet), model: fleet.names.model, messages: promptOf('Which red for a tiled roof?', 40), stream: true }
  const answer = await sendChat(call)
  const fault = findAnswerFault(call, answer)
  return { right: fault === undefined, seen: fault ?? `${answer.tokenTimes.length} tokens, ended by [DONE], ${answer.usage?.total_tokens} billed` }
}

async function checkServiceCall (fleet: Fleet): Promise<CheckResult> {
  const answer = await callService({ address: routerAt(fleet, 1).address(), key: firstKey(fleet), service: fleet.names.service, method: 'GET', path: `${fleet.names.queryPath}/7` })
  const right = answer.status === 200 && answer.result?.path === `${fleet.names.queryPath}/7`
  return { right, seen: `status ${answer.status} ${answer.text}` }
}

async function checkDuplicateAction (fleet: Fleet): Promise<CheckResult> {
  const idempotencyKey = `demo-${Date.now()}`
  const send = (index: number): ReturnType<typeof callService> => callService({
    address: routerAt(fleet, index).address(), key: firstKey(fleet), service: fleet.names.service, method: 'POST', path: fleet.names.actionPath, body: '{"amount":10}', idempotencyKey
  })
  const answers = await Promise.all([send(0), send(1)])
  const runs = (await readRuns(fleet.plainServices)).filter((run) => run.idempotencyKey === idempotencyKey)
  const right = runs.length === 1 && answers.every((answer) => answer.status === 200 && answer.text === answers[0]!.text)
  return { right, seen: `ran ${runs.length} times; statuses ${answers.map((answer) => answer.status).join(' and ')}` }
}

async function checkOverBudget (fleet: Fleet): Promise<CheckResult> {
  let spent = 0
  let answered = 0
  let refused = 0
  const faults: string[] = []
  for (let index = 0; index < SMALL_CALLS; index++) {
    const call: ChatCall = { address: routerAt(fleet, index).address(), key: keyOf(SMALL_ACCOUNT), model: fleet.names.model, messages: promptOf(`Call ${index}`, SMALL_ANSWER_TOKENS), maxTokens: SMALL_ANSWER_TOKENS }
    const answer = await sendChat(call)
    const isRefusal = answer.error?.code === 'budget_exhausted' && answer.error.run === 'no'
    const fault = isRefusal ? undefined : findAnswerFault(call, answer)
    if (isRefusal) refused++
    else if (fault !== undefined) faults.push(fault)
    else {
      answered++
      spent += billedTokens(call)
    }
  }
  const right = faults.length === 0 && answered > 0 && refused > 0 && spent <= SMALL_BUDGET_TOKENS
  return { right, seen: [`${answered} answered for ${spent} of ${SMALL_BUDGET_TOKENS} tokens, ${refused} refused`, ...faults].join('; ') }
}

async function checkLedger (fleet: Fleet): Promise<CheckResult> {
  const violations = findViolations(await readLedger(fleet.platform.ports.table))
  return { right: violations.length === 0, seen: violations.join('; ') || 'no violation' }
}
