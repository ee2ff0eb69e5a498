import type { CallerRecord, GuaranteeViolation, Observations } from './checkGuarantees.js'
import { stalledMilliseconds } from './eventLoopStalls.js'
import { FLOOD_TIME_LIMIT_MS, type Flood, type FloodOutcome } from './flood.js'

/** A flood as played; times are Unix milliseconds. */
export interface PlayedFlood extends FloodOutcome {
  readonly how: Flood['how']
  readonly gateway: number
  readonly from: number
  readonly to: number
}

/** Memory of a gateway on the known deployments, which kill a process that exceeds it. */
const MAX_MEGABYTES = 350
const MIN_SERVED_SHARE = 0.9
/** Fewer requests don't show a share. */
const MIN_COUNTED = 10
/** Time after a restart in which the gateway is not yet ready. */
const RESTART_AFTERMATH_MS = 1000
/** Requests that were stalled longer by the soak's own process show nothing of the gateway. */
const MAX_STALLED_MS = FLOOD_TIME_LIMIT_MS / 4

function isUnexplained (observations: Observations, { gateway, sentAt, answeredAt, leavesAt }: CallerRecord): boolean {
  const isDisrupted = observations.disruptions.some(({ place, index, from, to }) => place === 'gateway' && index === gateway && from <= answeredAt && sentAt <= to + RESTART_AFTERMATH_MS)
  return leavesAt === undefined && !isDisrupted && stalledMilliseconds(observations.stalls, sentAt, answeredAt) <= MAX_STALLED_MS
}

function * checkProcesses ({ processes }: Observations): Generator<GuaranteeViolation> {
  for (const { gateway, generation, peakMegabytes, unexpectedExit } of processes) {
    if (peakMegabytes > MAX_MEGABYTES) yield { promise: 'memory', detail: `process ${gateway}/${generation} had ${peakMegabytes} MB` }
    if (unexpectedExit !== undefined) yield { promise: 'exit', detail: `process ${gateway}/${generation} exited by itself with ${String(unexpectedExit)}, peak memory ${peakMegabytes} MB` }
  }
}

function countStatuses (records: readonly CallerRecord[]): string {
  const counts = new Map<string, number>()
  for (const { kind, status } of records) counts.set(`${kind} ${status}`, (counts.get(`${kind} ${status}`) ?? 0) + 1)
  return [...counts].map(([name, count]) => `${count} x ${name}`).join(', ')
}

function * checkSoundCallers (observations: Observations): Generator<GuaranteeViolation> {
  for (const { how, gateway, from, to } of observations.floods) {
    const counted = observations.callers.filter((record) => record.gateway === gateway && record.sentAt >= from && record.sentAt <= to && isUnexplained(observations, record))
    const unserved = counted.filter(({ status, complete }) => status !== 200 || !complete)
    const unanswered = unserved.filter(({ status }) => status === 0)
    if (unanswered.length > 0) yield { promise: 'unanswered', detail: `gateway ${gateway} did not answer ${unanswered.length} of ${counted.length} requests during ${how}, the first ${unanswered[0]?.attempt ?? ''}` }
    for (const [name, isMeant] of [['requests', () => true], ['requests for long answers', ({ kind }: CallerRecord) => kind === 'long']] as const) {
      const all = counted.filter(isMeant).length
      const served = all - unserved.filter(isMeant).length
      if (all < MIN_COUNTED || served >= all * MIN_SERVED_SHARE) continue
      yield { promise: 'served', detail: `gateway ${gateway} served ${served} of ${all} ${name} during ${how}; not served: ${countStatuses(unserved)}` }
      break
    }
  }
}

function * checkSurplus ({ floods }: Observations): Generator<GuaranteeViolation> {
  for (const { how, alteredAnswers } of floods) {
    if (alteredAnswers.length > 0) yield { promise: 'whole', detail: `${alteredAnswers.length} answers were altered during ${how}, the first to ${alteredAnswers[0] ?? ''}` }
  }
}

/** Checks that floods of one client account or backend server cost neither the process nor the callers of others. */
export function * checkFloods (observations: Observations): Generator<GuaranteeViolation> {
  yield * checkProcesses(observations)
  yield * checkSoundCallers(observations)
  yield * checkSurplus(observations)
}
