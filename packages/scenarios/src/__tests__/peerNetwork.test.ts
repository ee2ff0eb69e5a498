import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createPeerNetwork, type PeerNetwork } from '../launcher/peerNetwork.js'

const STALL_DURATION_MS = 200

describe('peer network', () => {
  let network: PeerNetwork
  let server: Server
  let address: string

  beforeEach(async () => {
    server = createServer((_request, response) => response.end('reached'))
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    network = createPeerNetwork()
    const forwarder = await network.add('router-2')
    forwarder.setTarget(`http://127.0.0.1:${(server.address() as AddressInfo).port}`)
    network.setProcess('router-1', process.pid)
    address = forwarder.address
  })
  afterEach(async () => {
    await network.stop()
    server.closeAllConnections()
    server.close()
  })
  const call = async (): Promise<string> => await (await fetch(address, { headers: { connection: 'close' } })).text()

  // Guards against a cut that also affects other instances, or that is not attributed to the process of the instance.
  test('interrupts only the links of the given pair', async () => {
    network.cut('router-3', 'router-2')
    expect(await call()).toBe('reached')
    network.cut('router-1', 'router-2')
    await expect(call()).rejects.toThrow()
    network.heal()
    expect(await call()).toBe('reached')
  })

  // Guards against data loss during a stall: a partition of a TCP link does not lose data.
  test('delivers data sent during a stall once the link reopens', async () => {
    network.isolate('router-2', 'stalled')
    let responded = false
    const response = call().then((text) => {
      responded = true
      return text
    })
    await new Promise((resolve) => setTimeout(resolve, STALL_DURATION_MS))
    expect(responded).toBe(false)
    network.heal()
    expect(await response).toBe('reached')
  })
})
