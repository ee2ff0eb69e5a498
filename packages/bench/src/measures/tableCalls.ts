import { startFleet } from '@quinceshunt/scenarios'
import type { ReadCountersResponse } from '@quinceshunt/schemas'
import { mixes } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import { sendPlan } from '../load/sendPlan.js'
import { sleep, type Measurement } from './measurement.js'

const DURATION_MILLISECONDS = 15_000
const REQUESTS_PER_SECOND = 40
const ACCOUNTS = 10
const SEED = 1

/** Measures calls to the table service per 1,000 requests, and by an idle fleet. */
export const tableCalls: Measurement = {
  name: 'tableCalls',
  description: `3 routers, ${ACCOUNTS} client accounts, taller mix at ${REQUESTS_PER_SECOND} requests/s`,
  run: async () => {
    const accounts = Array.from({ length: ACCOUNTS }, (_unused, index) => ({ id: `account-${index + 1}`, budgetTokens: 100_000_000 }))
    const fleet = await startFleet({ routers: 3, engines: 6, plainServices: 3, accounts, routerSettings: { log: { level: 'error' } } })
    try {
      const idleBefore = await fleet.platform.readCounters()
      await sleep(DURATION_MILLISECONDS)
      const before = await fleet.platform.readCounters()
      const plan = planRequests({ seed: SEED, durationMilliseconds: DURATION_MILLISECONDS, requestsPerSecond: REQUESTS_PER_SECOND, mix: mixes.taller, accounts: accounts.map(({ id }) => ({ id, share: 1 })) })
      const sent = await sendPlan(plan, { fleet, pickRouter: (share) => fleet.routers[Math.floor(share * fleet.routers.length)]! })
      const after = await fleet.platform.readCounters()
      const answered = sent.filter((request) => request.result === 'answered').length
      return {
        requests: sent.length,
        answered,
        writesPer1000Requests: countWrites(before, after) * 1000 / sent.length,
        readsPer1000Requests: countReads(before, after) * 1000 / sent.length,
        idleWritesPerSecond: countWrites(idleBefore, before) * 1000 / DURATION_MILLISECONDS,
        idleReadsPerSecond: countReads(idleBefore, before) * 1000 / DURATION_MILLISECONDS
      }
    } finally {
      await fleet.stop()
    }
  }
}

function countWrites (before: ReadCountersResponse, after: ReadCountersResponse): number {
  return Number(after.tableTransactions - before.tableTransactions)
}

function countReads (before: ReadCountersResponse, after: ReadCountersResponse): number {
  return Number(after.tableReads + after.tableScans - before.tableReads - before.tableScans)
}
