import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Agent, createServer, get, type Server } from 'node:http'
import { readFileSync } from 'node:fs'
import { connect, createServer as createSocketServer, type AddressInfo, type Socket } from 'node:net'
import { createPeerNetwork, type PeerNetwork } from '../launcher/peerNetwork.js'

const STALL_DURATION_MS = 200
/** Sockets whose rows make a reading of the table larger than all else that the test reads. */
const IDLE_CONNECTIONS = 500
const CONCURRENT_CALLS = 40

describe('peer network', () => {
  let network: PeerNetwork
  let server: Server
  let address: string
  let requests: number

  beforeEach(async () => {
    requests = 0
    server = createServer((_request, response) => {
      requests++
      response.end('reached')
    })
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

  // Guards against a fleet that stands still while each new connection reads all sockets of the machine.
  test('reads the sockets of the machine once for many new connections', async () => {
    network.cut('router-3', 'router-2')
    const idle = await openIdleConnections(IDLE_CONNECTIONS)
    const tableBytes = readFileSync('/proc/net/tcp').length
    const before = countReadBytes()
    const bodies = await Promise.all(Array.from({ length: CONCURRENT_CALLS }, call))
    const tableReadings = (countReadBytes() - before) / tableBytes
    idle.close()
    expect(bodies).toEqual(Array(CONCURRENT_CALLS).fill('reached'))
    expect(tableReadings).toBeLessThan(CONCURRENT_CALLS / 4)
  })

  // Guards against data that passes a cut while the owner of its connection is being found.
  test('passes nothing over an open connection once its link is cut', async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    expect(await callWith(agent, address)).toBe('reached')
    requests = 0
    network.cut('router-1', 'router-2')
    await expect(callWith(agent, address)).rejects.toThrow()
    expect(requests).toBe(0)
    agent.destroy()
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

/** Bytes that this process has read from files and sockets so far. */
function countReadBytes (): number {
  return Number(/^rchar: (\d+)$/m.exec(readFileSync('/proc/self/io', 'utf8'))![1])
}

async function openIdleConnections (count: number): Promise<{ readonly close: () => void }> {
  const sockets: Socket[] = []
  const server = createSocketServer((socket) => { sockets.push(socket) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  sockets.push(...await Promise.all(Array.from({ length: count }, async () => await new Promise<Socket>((resolve, reject) => {
    const socket = connect(port, '127.0.0.1', () => resolve(socket))
    socket.once('error', reject)
  }))))
  return {
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

async function callWith (agent: Agent, address: string): Promise<string> {
  return await new Promise((resolve, reject) => {
    get(address, { agent }, (response) => {
      let body = ''
      response.setEncoding('utf8').on('data', (text: string) => { body += text }).on('end', () => resolve(body)).on('error', reject)
    }).on('error', reject)
  })
}
