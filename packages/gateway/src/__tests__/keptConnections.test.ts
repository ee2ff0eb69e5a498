import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { startRawServer, type RawServer } from '../__fixtures__/rawServer.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { createBackendConnections, type BackendConnections } from '../tasks/backendConnections.js'

let server: RawServer
let connections: BackendConnections

beforeEach(async () => {
  server = await startRawServer((socket) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none'))
  connections = createBackendConnections()
})

afterEach(async () => {
  connections.closeAll()
  await server.close()
})

/** Sends a request while a process is listed, and resolves with its connection once its response is whole. */
async function connectionOfRequest (backendProcess: string): Promise<ConnectionOrigin | undefined> {
  return await new Promise((resolve, reject) => {
    const exchange = connections.start({ address: server.address, method: 'GET', path: '/', headers: { host: 'example' }, body: Buffer.alloc(0), needsNewConnection: false, backendProcess }, {
      onHead: () => {},
      onData: () => {},
      onEnd: () => resolve(exchange.connection),
      onBroken: (_sent, reason) => reject(new Error(reason))
    })
  })
}

describe('a connection that was opened to a restarted process before its entry was read', () => {
  // Guards against streams that can't go on, as a kept connection counts for the process before for as long as it is used.
  test('counts for the process that is listed when a request is sent on it', async () => {
    const first = await connectionOfRequest('i-1/100')
    const second = await connectionOfRequest('i-1/200')
    expect(server.connections).toBe(1)
    expect(first?.backendProcess).toBe('i-1/100')
    expect(second).toEqual({ backendProcess: 'i-1/200', establishedAt: first?.establishedAt })
  })
})
