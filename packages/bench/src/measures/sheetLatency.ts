import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { binaryPath, OPERATOR_KEY, parseFixtureSheet, startFleet, type Fleet } from '@quinceshunt/scenarios'
import { AdministrationService, PeerService, SheetFormat } from '@quinceshunt/schemas'
import { existsSync } from 'node:fs'
import { computeSpread } from '../experiment/statistics.js'
import { sleep, type Measurement } from './measurement.js'

const ROUTERS = 6
const REVISIONS = 12
const POLL_INTERVAL_MILLISECONDS = 10
const TIMEOUT_MILLISECONDS = 20_000

/** Measures the time from submitting a sheet until every router reports its revision in force. */
export const sheetLatency: Measurement = {
  name: 'sheetLatency',
  description: `${REVISIONS} revisions on ${ROUTERS} routers, through an administration process (which pushes to a few routers) and by polling only`,
  run: async () => {
    const fleet = await startFleet({ routers: ROUTERS, engines: 1, plainServices: 1, administrations: existsSync(binaryPath('administration')) ? 1 : 0, routerSettings: { log: { level: 'error' } } })
    try {
      await sleep(2000)
      const polled: number[] = []
      for (let revision = 2; revision <= 1 + REVISIONS; revision++) polled.push(await timeUntilInForce(fleet, revision, async () => { await fleet.acceptSheet(parseFixtureSheet(fleet.sheetText)) }))
      const pushed: number[] = []
      for (let revision = 2 + REVISIONS; fleet.administrations.length > 0 && revision <= 1 + 2 * REVISIONS; revision++) {
        pushed.push(await timeUntilInForce(fleet, revision, () => applyThroughAdministration(fleet, revision)))
      }
      return { ...summariseLatencies('polled', polled), ...summariseLatencies('pushed', pushed) }
    } finally {
      await fleet.stop()
    }
  }
}

function summariseLatencies (name: string, milliseconds: readonly number[]): Record<string, number> {
  if (milliseconds.length === 0) return {}
  const { median, highest } = computeSpread(milliseconds)
  return { [`${name}MedianMilliseconds`]: median, [`${name}LongestMilliseconds`]: highest }
}

async function timeUntilInForce (fleet: Fleet, revision: number, accept: () => Promise<void>): Promise<number> {
  const startedAt = Date.now()
  const accepted = accept()
  await Promise.all(fleet.routers.map(async (router) => {
    const client = createClient(PeerService, createConnectTransport({ baseUrl: router.address('peers'), httpVersion: '1.1' }))
    while ((await client.status({})).sheetRevision < BigInt(revision)) {
      if (Date.now() - startedAt > TIMEOUT_MILLISECONDS) throw new Error(`${router.id} has not put revision ${revision} in force within ${TIMEOUT_MILLISECONDS} ms`)
      await sleep(POLL_INTERVAL_MILLISECONDS)
    }
  }))
  const milliseconds = Date.now() - startedAt
  await accepted
  return milliseconds
}

async function applyThroughAdministration (fleet: Fleet, revision: number): Promise<void> {
  const client = createClient(AdministrationService, createConnectTransport({ baseUrl: fleet.administrations[0]!.address(), httpVersion: '1.1' }))
  const content = new TextEncoder().encode(fleet.sheetText.replace('completionTokens: 4096', `completionTokens: ${4096 + revision}`))
  const response = await client.applySheet({ format: SheetFormat.YAML, content, baseRevision: BigInt(revision - 1) }, { headers: { authorization: `Bearer ${OPERATOR_KEY}` } })
  if (response.head?.revision !== BigInt(revision)) throw new Error(`revision ${revision} was not accepted: ${response.problems.map((problem) => problem.message).join('; ') || 'conflict'}`)
}
