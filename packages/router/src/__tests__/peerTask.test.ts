import { afterEach, describe, expect, test } from '@jest/globals'
import { create } from '@bufbuild/protobuf'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { BackendServerMarkSchema, GossipMessageSchema, PeerService, RouterSettingsSchema, SheetHeadSchema, type BackendServerMark, type SheetHead } from '@quinceshunt/schemas'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { buildTaskContext } from '../__fixtures__/backendFleet.js'
import { createPeerTask } from '../peerTask.js'

const INSTANCES = 9
/** New work must stop 3 s after a backend server starts to leave, of which a load poll takes 0.5 s. */
const MAX_SPREAD_MS = 2500
/** Instances must discover each other within the 20 s after which a silent peer expires. */
const MAX_DISCOVERY_MS = 20_000
/** Default interval of regular rounds; triggered rounds must not wait for them. */
const REGULAR_INTERVAL_MS = 2000
const stops: (() => Promise<void>)[] = []
afterEach(async () => { for (const stop of stops.splice(0)) await stop() })

/** Starts a router's peer task behind a real listener, with the given peer addresses in its settings. */
async function startInstance (index: number, peerAddresses: readonly string[], gossipIntervalMilliseconds: number) {
  const marks: BackendServerMark[] = []
  const heads: SheetHead[] = []
  const server = createServer(connectNodeAdapter({ routes: (router) => { router.service(PeerService, { gossip: (request) => task.receiveGossip(request) }) } }))
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  const context = buildTaskContext(`router-${index}`, address)
  const settings = create(RouterSettingsSchema, { gossipIntervalMilliseconds, peerAddresses: [...peerAddresses] })
  const task = createPeerTask(context, settings)
  task.connect({
    configuration: { head: () => heads.at(-1), object: () => undefined, receiveHead: (head) => { if (head.revision > (heads.at(-1)?.revision ?? 0n)) heads.push(head) } },
    backends: { recentMarks: () => marks, learnedMarkCount: () => marks.length, status: () => [], receiveMarks: (received) => { for (const mark of received) if (!marks.some((known) => known.backendServer === mark.backendServer)) marks.push(mark) } },
    suspects: { recentSuspects: () => [], receiveSuspects: () => {} },
    promptParts: { recentUnanswered: () => [], receive: () => {} }
  })
  const stop = async (): Promise<void> => {
    await task.stop()
    const closed = new Promise((resolve) => server.close(resolve))
    server.closeAllConnections()
    await closed
  }
  stops.push(stop)
  return { address, marks, heads, task, stop, identity: context.identity }
}

describe('createPeerTask', () => {
  // Guards against instances that only know the peers in their settings.
  test('instances discover each other through one seed, and marks and heads reach all of them in time', async () => {
    const seed = await startInstance(0, [], REGULAR_INTERVAL_MS)
    const fleet = [seed, ...await Promise.all(Array.from({ length: INSTANCES - 1 }, (_, index) => startInstance(index + 1, [seed.address], REGULAR_INTERVAL_MS)))]
    await waitFor(MAX_DISCOVERY_MS, () => fleet.every(({ task }) => task.peers().length === INSTANCES - 1))
    expect(fleet.map(({ task }) => task.peers().length)).toEqual(Array(INSTANCES).fill(INSTANCES - 1))
    fleet[3]!.marks.push(create(BackendServerMarkSchema, { backendServer: 'engine-1' }))
    fleet[5]!.heads.push(create(SheetHeadSchema, { revision: 7n }))
    await waitFor(MAX_SPREAD_MS, () => fleet.every(({ marks, heads }) => marks.length > 0 && heads.length > 0))
    expect(fleet.map(({ marks }) => marks.length)).toEqual(Array(INSTANCES).fill(1))
    expect(fleet.map(({ heads }) => heads.at(-1)?.revision)).toEqual(Array(INSTANCES).fill(7n))
  })

  test('a leaving peer stays known as leaving after it has stopped', async () => {
    const one = await startInstance(1, [], 50)
    const two = await startInstance(2, [one.address], 50)
    await waitFor(MAX_DISCOVERY_MS, () => one.task.peers().length === 1)
    two.identity.leaving = true
    await waitFor(MAX_DISCOVERY_MS, () => one.task.peers()[0]?.leaving === true)
    expect(one.task.peers()).toMatchObject([{ instanceId: 'router-2', leaving: true }])
    await two.stop()
    await expect(one.task.client(two.address).gossip({}, { timeoutMs: 200 })).rejects.toThrow()
    expect(one.task.peers()).toHaveLength(1)
    one.task.receiveGossip(create(GossipMessageSchema, { sender: { ...two.identity, leaving: false } }))
    expect(one.task.peers()[0]?.leaving).toBe(true)
  })
})

async function waitFor (milliseconds: number, reached: () => boolean): Promise<void> {
  const deadline = Date.now() + milliseconds
  while (!reached() && Date.now() < deadline) await wait(20)
}
