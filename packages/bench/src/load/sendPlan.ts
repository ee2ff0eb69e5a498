import { billedTokens, callService, findAnswerFault, keyOf, preciseNow, sendChat, type Fleet, type FleetMember } from '@quinceshunt/scenarios'
import { Agent } from 'node:http'
import type { PlannedRequest } from './planRequests.js'

/** What became of a request, as its caller saw it. */
export type SentResult = 'answered' | 'refused' | 'broken' | 'wrong'

/** One request as sent. All times are milliseconds after the start of the load. */
export interface SentRequest {
  readonly planned: PlannedRequest
  readonly result: SentResult
  /** Code of a refusal, or what was wrong. */
  readonly detail: string
  /** From the planned time to the first token, or to the whole answer of a plain service; undefined unless answered. */
  readonly firstTokenMilliseconds: number | undefined
  /** Between successive tokens. */
  readonly betweenTokensMilliseconds: readonly number[]
  readonly endedAtMilliseconds: number
  /** Tokens billed for an answer. */
  readonly tokens: number
  /** Sent this much later than planned, because the load tool was busy. */
  readonly sendDelayMilliseconds: number
}

/** Where requests are sent. */
export interface SendOptions {
  readonly fleet: Fleet
  /** Routers that the balancer sends to, by a draw from 0 to 1. */
  readonly pickRouter: (share: number) => FleetMember
  /** Told of every finished request. */
  readonly onSent?: (request: SentRequest) => void
}

/** Sends a plan open-loop and resolves when every request has ended. */
export async function sendPlan (plan: readonly PlannedRequest[], options: SendOptions): Promise<SentRequest[]> {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: 256 })
  const startedAt = preciseNow()
  const sent = await Promise.all(plan.map(async (planned) => {
    await new Promise((resolve) => setTimeout(resolve, startedAt + planned.atMilliseconds - preciseNow()))
    const sentAt = preciseNow() - startedAt
    const outcome = await send(planned, options, agent, startedAt)
    const request = { planned, sendDelayMilliseconds: sentAt - planned.atMilliseconds, endedAtMilliseconds: preciseNow() - startedAt, ...outcome }
    options.onSent?.(request)
    return request
  }))
  agent.destroy()
  return sent
}

type Outcome = Pick<SentRequest, 'result' | 'detail' | 'firstTokenMilliseconds' | 'betweenTokensMilliseconds' | 'tokens'>

async function send (planned: PlannedRequest, options: SendOptions, agent: Agent, startedAt: number): Promise<Outcome> {
  const router = options.pickRouter(planned.routerShare)
  return planned.requestClass.kind === 'chat'
    ? await sendPlannedChat(planned, options.fleet, router, agent, startedAt)
    : await sendPlannedService(planned, options.fleet, router, agent, startedAt)
}

async function sendPlannedChat (planned: PlannedRequest, fleet: Fleet, router: FleetMember, agent: Agent, startedAt: number): Promise<Outcome> {
  const streamed = planned.requestClass.kind === 'chat' && planned.requestClass.streamed
  const call = { address: router.address(), key: keyOf(planned.account), model: fleet.names.model, messages: [{ role: 'user', content: planned.content }], stream: streamed, maxTokens: planned.answerTokens, agent }
  const answer = await sendChat(call)
  if (answer.error !== undefined) return notAnswered('refused', answer.error.code)
  const fault = findAnswerFault(call, answer)
  if (fault !== undefined) return notAnswered(answer.ended ? 'wrong' : 'broken', fault)
  const firstAt = answer.tokenTimes[0] ?? answer.finishedAt
  return {
    result: 'answered',
    detail: '',
    firstTokenMilliseconds: firstAt - startedAt - planned.atMilliseconds,
    betweenTokensMilliseconds: answer.tokenTimes.slice(1).map((time, index) => time - answer.tokenTimes[index]!),
    tokens: billedTokens(call)
  }
}

async function sendPlannedService (planned: PlannedRequest, fleet: Fleet, router: FleetMember, agent: Agent, startedAt: number): Promise<Outcome> {
  const isAction = planned.requestClass.kind === 'action'
  const answer = await callService({
    address: router.address(),
    key: keyOf(planned.account),
    service: fleet.names.service,
    method: isAction ? 'POST' : 'GET',
    path: isAction ? fleet.names.actionPath : `${fleet.names.queryPath}/${planned.content}`,
    body: isAction ? planned.content : '',
    agent,
    ...(isAction ? { idempotencyKey: `load-${Math.round(startedAt)}-${planned.number}` } : {})
  })
  if (answer.error !== undefined) return notAnswered('refused', answer.error.code)
  if (answer.status !== 200) return notAnswered('broken', `status ${answer.status}`)
  const expected = isAction ? planned.content : ''
  // A query may be repeated by a router's retry; an action may not.
  const repeated = isAction && answer.result?.count !== 1
  if (answer.result?.received !== expected || repeated) return notAnswered('wrong', `received ${JSON.stringify(answer.result?.received.slice(0, 40))}, run ${answer.result?.count} times`)
  return { result: 'answered', detail: '', firstTokenMilliseconds: preciseNow() - startedAt - planned.atMilliseconds, betweenTokensMilliseconds: [], tokens: 0 }
}

function notAnswered (result: Exclude<SentResult, 'answered'>, detail: string): Outcome {
  return { result, detail, firstTokenMilliseconds: undefined, betweenTokensMilliseconds: [], tokens: 0 }
}
