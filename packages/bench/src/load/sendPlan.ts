import { expectedBilledTokens, callService, findResponseFault, bearerKeyOf, unixMillisecondsNow, sendChat, type Fleet, type FleetMember } from '@quinceshunt/scenarios'
import { Agent } from 'node:http'
import type { PlannedRequest } from './planRequests.js'

/** Result of a request from its caller's view: `broken` is an incomplete or unsuccessful answer, `wrong` an incorrect one. */
export type RequestResult = 'answered' | 'refused' | 'broken' | 'wrong'

/** A sent request with its result. Points in time count from the start of the load. */
export interface SentRequest {
  readonly planned: PlannedRequest
  readonly result: RequestResult
  /** Error code of a refusal, or a description of the failure. */
  readonly detail: string
  /** From the planned time to the first token of a chat or the complete answer of a plain service; undefined unless answered. */
  readonly firstTokenMilliseconds: number | undefined
  /** Intervals between successive tokens. */
  readonly betweenTokensMilliseconds: readonly number[]
  readonly endedAtMilliseconds: number
  /** Tokens billed for the answer; 0 unless answered. */
  readonly tokens: number
  /** Delay past the planned time, caused by a busy load generator. */
  readonly sendDelayMilliseconds: number
}

export interface SendOptions {
  readonly fleet: Fleet
  /** Picks a router as the load balancer does, from a uniform random number between 0 and 1. */
  readonly pickRouter: (share: number) => FleetMember
  /** Called after each request ends, whatever its result. */
  readonly onFinished?: (request: SentRequest) => void
}

/** Sends a plan open-loop and resolves when every request has ended. */
export async function sendPlan (plan: readonly PlannedRequest[], options: SendOptions): Promise<SentRequest[]> {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  const startedAt = unixMillisecondsNow()
  const sent = await Promise.all(plan.map(async (planned) => {
    await new Promise((resolve) => setTimeout(resolve, startedAt + planned.arrivalMilliseconds - unixMillisecondsNow()))
    const sentAt = unixMillisecondsNow() - startedAt
    const outcome = await sendRequest(planned, options, agent, startedAt)
    const request = { planned, sendDelayMilliseconds: sentAt - planned.arrivalMilliseconds, endedAtMilliseconds: unixMillisecondsNow() - startedAt, ...outcome }
    options.onFinished?.(request)
    return request
  }))
  agent.destroy()
  return sent
}

type Outcome = Pick<SentRequest, 'result' | 'detail' | 'firstTokenMilliseconds' | 'betweenTokensMilliseconds' | 'tokens'>

async function sendRequest (planned: PlannedRequest, options: SendOptions, agent: Agent, startedAt: number): Promise<Outcome> {
  const router = options.pickRouter(planned.routerDraw)
  return planned.requestClass.kind === 'chat'
    ? await sendPlannedChat(planned, options.fleet, router, agent, startedAt)
    : await sendPlannedService(planned, options.fleet, router, agent, startedAt)
}

async function sendPlannedChat (planned: PlannedRequest, fleet: Fleet, router: FleetMember, agent: Agent, startedAt: number): Promise<Outcome> {
  const streamed = planned.requestClass.kind === 'chat' && planned.requestClass.streamed
  const call = { address: router.address(), key: bearerKeyOf(planned.account), model: fleet.names.model, messages: [{ role: 'user', content: planned.content }], stream: streamed, maxTokens: planned.answerTokens, agent }
  const answer = await sendChat(call)
  if (answer.error !== undefined) return failedOutcome('refused', answer.error.code)
  const fault = findResponseFault(call, answer)
  if (fault !== undefined) return failedOutcome(answer.complete ? 'wrong' : 'broken', fault)
  const firstAt = answer.tokenArrivalTimes[0] ?? answer.finishedAt
  return {
    result: 'answered',
    detail: '',
    firstTokenMilliseconds: firstAt - startedAt - planned.arrivalMilliseconds,
    betweenTokensMilliseconds: answer.tokenArrivalTimes.slice(1).map((time, index) => time - answer.tokenArrivalTimes[index]!),
    tokens: expectedBilledTokens(call)
  }
}

async function sendPlannedService (planned: PlannedRequest, fleet: Fleet, router: FleetMember, agent: Agent, startedAt: number): Promise<Outcome> {
  const isAction = planned.requestClass.kind === 'action'
  const answer = await callService({
    address: router.address(),
    key: bearerKeyOf(planned.account),
    service: fleet.names.service,
    method: isAction ? 'POST' : 'GET',
    path: isAction ? fleet.names.actionPath : `${fleet.names.queryPath}/${planned.content}`,
    body: isAction ? planned.content : '',
    agent,
    ...(isAction ? { idempotencyKey: `load-${Math.round(startedAt)}-${planned.number}` } : {})
  })
  if (answer.error !== undefined) return failedOutcome('refused', answer.error.code)
  if (answer.status !== 200) return failedOutcome('broken', `status ${answer.status}`)
  const expected = isAction ? planned.content : ''
  // A router may retry a query, but an action must run exactly once.
  const duplicated = isAction && answer.result?.count !== 1
  if (answer.result?.received !== expected || duplicated) return failedOutcome('wrong', `received ${JSON.stringify(answer.result?.received.slice(0, 40))}, run ${answer.result?.count} times`)
  return { result: 'answered', detail: '', firstTokenMilliseconds: unixMillisecondsNow() - startedAt - planned.arrivalMilliseconds, betweenTokensMilliseconds: [], tokens: 0 }
}

function failedOutcome (result: Exclude<RequestResult, 'answered'>, detail: string): Outcome {
  return { result, detail, firstTokenMilliseconds: undefined, betweenTokensMilliseconds: [], tokens: 0 }
}
