import { findResponseFault, bearerKeyOf, unixMillisecondsNow, createPrompt, sendChat, startFleet } from '@quinceshunt/scenarios'
import { Agent } from 'node:http'
import type { Measurements } from '../experiment/experiment.js'
import { createLatencyHistogram } from '../load/measureLoad.js'
import { createRandom } from '../load/random.js'
import { sleep, type Measurement } from './measurement.js'

const REQUESTS = 600
const REQUESTS_PER_SECOND = 40
const ANSWER_TOKENS = 30
const TOKEN_MILLISECONDS = 10
const MICROSECONDS_PER_MILLISECOND = 1000
const SEED = 1

type Path = 'direct' | 'routed'

interface TimedChat {
  readonly path: Path
  readonly firstTokenMilliseconds: number
  readonly betweenTokensMilliseconds: readonly number[]
}

/** Compares time to first token and between tokens through a router with direct calls to the same engine, interleaved in one run. */
export const routerOverhead: Measurement = {
  name: 'routerOverhead',
  description: `${REQUESTS} streamed chats, ${REQUESTS_PER_SECOND}/s open-loop, alternating between direct and through one router`,
  run: async () => {
    const fleet = await startFleet({ routers: 1, engines: 1, plainServices: 0, engineSettings: { slots: 64, tokenMilliseconds: TOKEN_MILLISECONDS, prefillMilliseconds: 1 }, routerSettings: { log: { level: 'error' } } })
    try {
      const random = createRandom(SEED)
      const agent = new Agent({ keepAlive: true })
      const addresses: Record<Path, string> = { direct: fleet.engines[0]!.address(), routed: fleet.routers[0]!.address() }
      const startedAt = unixMillisecondsNow()
      let arrivalMilliseconds = 0
      const sent = await Promise.all(Array.from({ length: REQUESTS }, async (_unused, index): Promise<TimedChat> => {
        arrivalMilliseconds += random.exponential(REQUESTS_PER_SECOND / 1000)
        const plannedAt = startedAt + arrivalMilliseconds
        const path: Path = index % 2 === 0 ? 'direct' : 'routed'
        await sleep(plannedAt - unixMillisecondsNow())
        const call = { address: addresses[path], key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(`Request ${index}`, ANSWER_TOKENS), stream: true, agent }
        const answer = await sendChat(call)
        const fault = findResponseFault(call, answer)
        if (fault !== undefined) throw new Error(`request ${index}, ${path}: ${fault}`)
        return { path, firstTokenMilliseconds: answer.tokenArrivalTimes[0]! - plannedAt, betweenTokensMilliseconds: answer.tokenArrivalTimes.slice(1).map((time, previous) => time - answer.tokenArrivalTimes[previous]!) }
      }))
      agent.destroy()
      return { ...comparePaths('firstToken', sent, (timed) => [timed.firstTokenMilliseconds]), ...comparePaths('betweenTokens', sent, (timed) => timed.betweenTokensMilliseconds) }
    } finally {
      await fleet.stop()
    }
  }
}

function comparePaths (name: string, sent: readonly TimedChat[], valuesOf: (timed: TimedChat) => readonly number[]): Measurements {
  const measurements: Record<string, number> = {}
  for (const percentile of [50, 95]) {
    const percentileOf = (path: Path): number => createLatencyHistogram(sent.filter((timed) => timed.path === path).flatMap(valuesOf)).getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND
    const direct = percentileOf('direct')
    const routed = percentileOf('routed')
    measurements[`${name}DirectP${percentile}Milliseconds`] = direct
    measurements[`${name}RoutedP${percentile}Milliseconds`] = routed
    measurements[`${name}AddedP${percentile}Milliseconds`] = routed - direct
    measurements[`${name}P${percentile}Ratio`] = routed / direct
  }
  return measurements
}
