import { callService, findResponseFault, bearerKeyOf, createPrompt, sendChat, startFleet, type Fleet } from '@quinceshunt/scenarios'
import { Agent } from 'node:http'
import type { Measurements } from '../experiment/experiment.js'
import type { Measurement } from './measurement.js'
import { processorSeconds } from './processUsage.js'

const WARMUP_MILLISECONDS = 2000
const MEASURED_MILLISECONDS = 6000
const CALLERS = 32
const ANSWER_TOKENS = 50

/** Measures requests per second of a router's processor time, for plain calls and streamed chats from closed-loop callers. */
export const requestsPerCore: Measurement = {
  name: 'requestsPerCore',
  description: `one router, ${CALLERS} closed-loop callers; requests per second of the router's processor time`,
  run: async () => {
    const fleet = await startFleet({ routers: 1, engines: 2, plainServices: 2, engineSettings: { slots: 64, tokenMilliseconds: 1, prefillMilliseconds: 0 }, plainServiceSettings: { slots: 64 }, routerSettings: { log: { level: 'error' } } })
    try {
      const plain = await measureThroughput(fleet, (agent, index) => sendQuery(fleet, agent, index))
      const chat = await measureThroughput(fleet, (agent, index) => sendShortChat(fleet, agent, index))
      return {
        plainCallsPerCoreSecond: plain.perCoreSecond,
        plainCallsPerSecond: plain.perSecond,
        chatsPerCoreSecond: chat.perCoreSecond,
        chatsPerSecond: chat.perSecond,
        chatTokensPerCoreSecond: chat.perCoreSecond * ANSWER_TOKENS
      } satisfies Measurements
    } finally {
      await fleet.stop()
    }
  }
}

/** Runs closed-loop callers and counts the requests that end between the warm-up and the end of the measurement. */
async function measureThroughput (fleet: Fleet, send: (agent: Agent, index: number) => Promise<void>): Promise<{ perCoreSecond: number, perSecond: number }> {
  const agent = new Agent({ keepAlive: true, maxFreeSockets: CALLERS })
  const { processId } = fleet.routers[0]!.process
  let counting = false
  const stopping = new AbortController()
  let count = 0
  const callers = Promise.all(Array.from({ length: CALLERS }, async (_unused, caller) => {
    for (let index = 0; !stopping.signal.aborted; index++) {
      await send(agent, caller * 1_000_000 + index)
      if (counting) count++
    }
  }))
  await Promise.race([new Promise((resolve) => setTimeout(resolve, WARMUP_MILLISECONDS)), callers])
  const usedSecondsBefore = processorSeconds(processId)
  const startedAt = Date.now()
  counting = true
  await Promise.race([new Promise((resolve) => setTimeout(resolve, MEASURED_MILLISECONDS)), callers])
  counting = false
  const usedSeconds = processorSeconds(processId) - usedSecondsBefore
  const elapsedSeconds = (Date.now() - startedAt) / 1000
  stopping.abort()
  await callers
  agent.destroy()
  return { perCoreSecond: count / usedSeconds, perSecond: count / elapsedSeconds }
}

async function sendQuery (fleet: Fleet, agent: Agent, index: number): Promise<void> {
  const answer = await callService({ address: fleet.routers[0]!.address(), key: bearerKeyOf(fleet.accounts[0]!.id), service: fleet.names.service, method: 'GET', path: `${fleet.names.queryPath}/${index}`, agent })
  if (answer.status !== 200) throw new Error(`query ${index}: ${answer.status} ${answer.text}`)
}

async function sendShortChat (fleet: Fleet, agent: Agent, index: number): Promise<void> {
  const call = { address: fleet.routers[0]!.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(`Chat ${index}`, ANSWER_TOKENS), maxTokens: ANSWER_TOKENS, stream: true, agent }
  const fault = findResponseFault(call, await sendChat(call))
  if (fault !== undefined) throw new Error(`chat ${index}: ${fault}`)
}
