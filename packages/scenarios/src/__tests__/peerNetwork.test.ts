import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createPeerNetwork, type PeerNetwork } from '../launcher/peerNetwork.js'

const STALL_MILLISECONDS = 200

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

  // Guards against a cut that also hits instances beside the pair, or that is not attributed to its process.
  test('cuts only the chosen pair', async () => {
    network.cut('router-3', 'router-2')
    expect(await call()).toBe('reached')
    network.cut('router-1', 'router-2')
    await expect(call()).rejects.toThrow()
    network.heal()
    expect(await call()).toBe('reached')
  })

  // Guards against a stall that loses data, which a partition of a TCP link does not.
  test('delivers what was sent during a stall once the link is open again', async () => {
    network.isolate('router-2', 'stalled')
    let answered = false
    const answer = call().then((text) => {
      answered = true
      return text
    })
    await new Promise((resolve) => setTimeout(resolve, STALL_MILLISECONDS))
    expect(answered).toBe(false)
    network.heal()
    expect(await answer).toBe('reached')
  })
})
