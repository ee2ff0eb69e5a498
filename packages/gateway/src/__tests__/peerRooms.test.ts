import { afterEach, describe, expect, it } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import { type AddressInfo } from 'node:net'
import { createPeerRooms } from '../tasks/peerRooms.js'
import type { Peer } from '../tasks/fleetTask.js'

const servers: Server[] = []

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections()
    server.close()
  }
})

/** Starts a peer that answers each question as given; `asked` counts them. */
async function startPeer (instanceId: string, answer: { readonly status: number, readonly body: string }): Promise<{ readonly peer: Peer, readonly asked: () => number }> {
  let asked = 0
  const server = createServer((incoming, response) => {
    asked++
    incoming.resume()
    response.writeHead(answer.status).end(answer.body)
  })
  servers.push(server)
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return { peer: { instanceId, address: `127.0.0.1:${port}`, failureDomain: 'north', incarnationId: `${instanceId}.1` }, asked: () => asked }
}

/** Asks again and again, for a connection a second unless said. */
async function askFor (rooms: ReturnType<typeof createPeerRooms>, milliseconds: number, neededConnections = 1): Promise<void> {
  const endsAt = Date.now() + milliseconds
  while (Date.now() < endsAt) {
    rooms.ask(neededConnections)
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}

describe('room at peers', () => {
  it('is what each peer says, less the connections that were forwarded', async () => {
    const { peer } = await startPeer('first', { status: 200, body: '{"connections":2}' })
    const rooms = createPeerRooms(() => [peer])
    await askFor(rooms, 300)
    const [room] = rooms.current()
    expect(room).toMatchObject({ peer, connections: 2 })
    room?.take()
    room?.take()
    expect(rooms.current()).toEqual([])
  })

  // Guards against connections that are forwarded to an instance of an earlier version, or to one whose reply is malformed.
  it.each([['knows no such message', 400, ''], ['sends no number', 200, '{"connections":"many"}'], ['sends a negative number', 200, '{"connections":-1}']])('is none at a peer that %s', async (_, status, body) => {
    const { peer } = await startPeer('first', { status, body })
    const rooms = createPeerRooms(() => [peer])
    await askFor(rooms, 300)
    expect(rooms.current()).toEqual([])
  })

  // Guards against messages that take the processor time of instances that are all full.
  it('is asked for ever more rarely while there is none', async () => {
    const { peer, asked } = await startPeer('first', { status: 200, body: '{"connections":0}' })
    await askFor(createPeerRooms(() => [peer]), 4000)
    expect(asked()).toBeLessThanOrEqual(3)
  })

  // Guards against messages that take the processor time of instances that are busy and get few new connections.
  it('is asked for at as many peers as the new connections need', async () => {
    const peers = await Promise.all(Array.from({ length: 12 }, async (_, index) => await startPeer(`peer-${index}`, { status: 200, body: '{"connections":8}' })))
    const rooms = createPeerRooms(() => peers.map(({ peer }) => peer))
    const askedPeers = (): number => peers.filter(({ asked }) => asked() > 0).length
    await askFor(rooms, 500, 0)
    expect(askedPeers()).toBe(0)
    await askFor(rooms, 500, 20)
    expect(askedPeers()).toBe(5)
    expect(Math.max(...peers.map(({ asked }) => asked()))).toBe(1)
  })

  // Guards against a burst of new connections that meets full peers first and stays at a full instance for a second.
  it('is asked for at further peers as soon as the first ones have none', async () => {
    const full = await startPeer('full', { status: 200, body: '{"connections":0}' })
    const older = await startPeer('older', { status: 400, body: '' })
    const free = await startPeer('free', { status: 200, body: '{"connections":8}' })
    const rooms = createPeerRooms(() => [full, older, free].map(({ peer }) => peer))
    await askFor(rooms, 400, 8)
    expect(rooms.current()).toMatchObject([{ peer: { instanceId: 'free' }, connections: 8 }])
  })
})
