import { findAnswerFault, keyOf, preciseNow, promptOf, sendChat, startFleet } from '@quinceshunt/scenarios'
import { Agent } from 'node:http'
import type { Measurements } from '../experiment/experiment.js'
import { percentiles } from '../load/measureLoad.js'
import { createRandom } from '../load/random.js'
import { pause, type Measurement } from './measurement.js'

const REQUESTS = 600
const REQUESTS_PER_SECOND = 40
const ANSWER_TOKENS = 30
const TOKEN_MILLISECONDS = 10
const MICROSECONDS = 1000
const SEED = 1

type Path = 'direct' | 'routed'

interface Timed {
  readonly path: Path
  readonly firstToken: number
  readonly between: readonly number[]
}

/** Time to first token and between tokens through a router against direct calls to the same engine, mixed in one run. */
export const routerOverhead: Measurement = {
  name: 'routerOverhead',
  description: `${REQUESTS} streamed chats, ${REQUESTS_PER_SECOND}/s open-loop, alternately direct and through one router`,
  run: async () => {
    const fleet = await startFleet({ routers: 1, engines: 1, plainServices: 0, engineSettings: { slots: 64, tokenMilliseconds: TOKEN_MILLISECONDS, prefillMilliseconds: 1 }, routerSettings: { log: { level: 'error' } } })
    try {
      const random = createRandom(SEED)
      const agent = new Agent({ keepAlive: true })
      const addresses: Record<Path, string> = { direct: fleet.engines[0]!.address(), routed: fleet.routers[0]!.address() }
      const startedAt = preciseNow()
      let at = 0
      const sent = await Promise.all(Array.from({ length: REQUESTS }, async (_unused, index): Promise<Timed> => {
        at += random.interval(REQUESTS_PER_SECOND / 1000)
        const plannedAt = startedAt + at
        const path: Path = index % 2 === 0 ? 'direct' : 'routed'
        await pause(plannedAt - preciseNow())
        const call = { address: addresses[path], key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: promptOf(`Request ${index}`, ANSWER_TOKENS), stream: true, agent }
        const answer = await sendChat(call)
        const fault = findAnswerFault(call, answer)
        if (fault !== undefined) throw new Error(`request ${index}, ${path}: ${fault}`)
        return { path, firstToken: answer.tokenTimes[0]! - plannedAt, between: answer.tokenTimes.slice(1).map((time, place) => time - answer.tokenTimes[place]!) }
      }))
      agent.destroy()
      return { ...compare('firstToken', sent, (timed) => [timed.firstToken]), ...compare('betweenTokens', sent, (timed) => timed.between) }
    } finally {
      await fleet.stop()
    }
  }
}

function compare (name: string, sent: readonly Timed[], valuesOf: (timed: Timed) => readonly number[]): Measurements {
  const figures: Record<string, number> = {}
  for (const percentile of [50, 95]) {
    const value = (path: Path): number => percentiles(sent.filter((timed) => timed.path === path).flatMap(valuesOf)).getValueAtPercentile(percentile) / MICROSECONDS
    const direct = value('direct')
    const routed = value('routed')
    figures[`${name}DirectP${percentile}Milliseconds`] = direct
    figures[`${name}RoutedP${percentile}Milliseconds`] = routed
    figures[`${name}AddedP${percentile}Milliseconds`] = routed - direct
    figures[`${name}P${percentile}Ratio`] = routed / direct
  }
  return figures
}
