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

async function refreshFor (rooms: ReturnType<typeof createPeerRooms>, milliseconds: number): Promise<void> {
  const endsAt = Date.now() + milliseconds
  while (Date.now() < endsAt) {
    rooms.refresh()
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}

describe('room at peers', () => {
  it('is what each peer says, less the connections that were forwarded', async () => {
    const { peer } = await startPeer('first', { status: 200, body: '{"connections":2}' })
    const rooms = createPeerRooms(() => [peer])
    await refreshFor(rooms, 300)
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
    await refreshFor(rooms, 300)
    expect(rooms.current()).toEqual([])
  })

  // Guards against messages that take the processor time of instances that are all full.
  it('is asked for ever more rarely while there is none', async () => {
    const { peer, asked } = await startPeer('first', { status: 200, body: '{"connections":0}' })
    await refreshFor(createPeerRooms(() => [peer]), 4000)
    expect(asked()).toBeLessThanOrEqual(3)
  })
})
