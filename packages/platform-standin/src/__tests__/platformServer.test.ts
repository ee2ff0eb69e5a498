import { createClient } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { connectPlatform, type Platform } from '@quinceshunt/table-store'
import { InstanceState, PlatformControlService, PlatformFaultKind, PlatformServiceName } from '@quinceshunt/schemas'
import { startPlatformServer, type PlatformServer } from '../platformServer.js'

const LAG_MILLISECONDS = 150
const value = new Uint8Array([1])

describe('platform stand-in', () => {
  let server: PlatformServer
  let platform: Platform
  const control = (): ReturnType<typeof createClient<typeof PlatformControlService>> =>
    createClient(PlatformControlService, createConnectTransport({ baseUrl: server.address, httpVersion: '1.1' }))
  const connect = (instanceId: string): Platform => connectPlatform({ address: server.address, timeoutMilliseconds: 1000, instanceId })

  beforeEach(async () => {
    server = await startPlatformServer({ instanceListLagMilliseconds: LAG_MILLISECONDS, writesPerSecond: 0, readsPerSecond: 0 })
    platform = connect('router-1')
  })
  afterEach(async () => await server.stop())

  // Guards against a lost reply that also discards the write or that the client reports as a refusal.
  test('a write with a lost reply is applied, and its outcome is unknown only to the writer', async () => {
    await control().setFault({ service: PlatformServiceName.TABLE, kind: PlatformFaultKind.LOSE_REPLIES, instanceId: 'router-1', probability: 1 })
    await expect(platform.table.transact([{ key: 'a', expectedVersion: 0n }], [{ key: 'a', value, delete: false }]))
      .rejects.toMatchObject({ name: 'PlatformOutcomeUnknownError' })
    const other = connect('router-2')
    expect((await other.table.read(['a']))[0]?.version).toBe(1n)
    expect(await other.table.transact([{ key: 'a', expectedVersion: 0n }], [])).toMatchObject({ kind: 'conflict' })
  })

  // Guards against refused writes that take effect or are reported with an unknown outcome.
  test('calls during an outage are refused without effect until the fault is cleared', async () => {
    await control().setFault({ service: PlatformServiceName.TABLE, kind: PlatformFaultKind.DOWN })
    await expect(platform.table.transact([], [{ key: 'a', value, delete: false }])).rejects.toMatchObject({ name: 'PlatformUnavailableError' })
    await control().setFault({ service: PlatformServiceName.TABLE, kind: PlatformFaultKind.NONE })
    expect((await platform.table.read(['a']))[0]?.version).toBe(0n)
  })

  // Guards against a stand-in that discards a slow write when its writer times out: real tables apply it late.
  test('a slow write takes effect after its writer has timed out', async () => {
    await control().setFault({ service: PlatformServiceName.TABLE, kind: PlatformFaultKind.SLOW, delayMilliseconds: 300, instanceId: 'router-1' })
    const clientWithShortTimeout = connectPlatform({ address: server.address, timeoutMilliseconds: 50, instanceId: 'router-1' })
    await expect(clientWithShortTimeout.table.transact([], [{ key: 'a', value, delete: false }])).rejects.toMatchObject({ name: 'PlatformOutcomeUnknownError' })
    const other = connect('router-2')
    expect((await other.table.read(['a']))[0]?.version).toBe(0n)
    await new Promise((resolve) => setTimeout(resolve, 400))
    expect((await other.table.read(['a']))[0]?.version).toBe(1n)
  })

  // Guards against a list that is always current, which would hide faults in code that relies on it.
  test('the instance list reflects changes only after the lag', async () => {
    await control().setInstance({ instance: { id: 'engine-1', state: InstanceState.LIVE } })
    expect((await platform.instances.list()).instances).toHaveLength(0)
    await new Promise((resolve) => setTimeout(resolve, 2 * LAG_MILLISECONDS))
    expect((await platform.instances.list()).instances.map((entry) => entry.id)).toEqual(['engine-1'])
  })
})
