import { afterEach, describe, expect, test } from '@jest/globals'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createClosedResponses, type CloseVerdict, type FoundProcess, type WriterEvidence } from '../closedResponses.js'

let server: Server | undefined
const sockets = new Set<Socket>()

afterEach(async () => {
  for (const socket of sockets) socket.destroy()
  if (server?.listening === true) await new Promise((resolve) => server?.close(resolve))
})

async function listen (onConnection: (socket: Socket) => void = () => {}): Promise<string> {
  const started = server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    onConnection(socket)
  })
  await new Promise<void>((resolve) => started.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(started.address() as AddressInfo).port}`
}

const judge = (hasOpen: boolean, eventLoopDelay = 0) => createClosedResponses({ hasOpen: () => hasOpen, eventLoopDelay: () => eventLoopDelay })

const STANDS_STILL_MS = 450

function standStill (milliseconds = STANDS_STILL_MS): void {
  const until = Date.now() + milliseconds
  while (Date.now() < until);
}

/** Judges while this process stands still from the moment at which the new connection is opened. */
async function judgeBehind (address: string): Promise<CloseVerdict> {
  return await createClosedResponses({
    hasOpen: () => {
      queueMicrotask(() => standStill())
      return false
    },
    eventLoopDelay: () => 0
  }).judge(address)
}

describe('a response that ended with its connection', () => {
  // Guards against a new connection for each such response, which also takes a place at the backend server.
  test('is whole without a new connection while another one is open', async () => {
    const address = await listen()
    expect(await judge(true, 10_000).judge(address)).toEqual({ kind: 'whole', because: 'another connection is open' })
    expect(sockets.size).toBe(0)
  })

  test('is whole when its backend server takes a new connection', async () => {
    expect(await judge(false).judge(await listen())).toEqual({ kind: 'whole', because: 'a new connection is accepted' })
  })

  // Guards against an answer that is cut off by the end of its backend server and passed on as whole.
  test('is broken when its backend server refuses connections', async () => {
    const address = await listen()
    await new Promise((resolve) => server?.close(resolve))
    expect(await judge(false).judge(address)).toMatchObject({ kind: 'broken' })
  })

  // Guards against a load balancer or port forwarder before the backend server that is taken for it.
  test.each([['closed', (socket: Socket) => { socket.end() }], ['reset', (socket: Socket) => { socket.resetAndDestroy() }]])('is broken when new connections are %s once they were accepted', async (_, end) => {
    expect(await judge(false).judge(await listen(end))).toMatchObject({ kind: 'broken' })
  })

  // Guards against a process that is behind with its work and has not read yet that its idle connections were closed too.
  test('is broken when the idle connections were closed with it and their ends were not read yet', async () => {
    const address = await listen()
    const idle = connect(Number(address.split(':')[1]), '127.0.0.1')
    let isIdleOpen = true
    idle.on('error', () => {})
    idle.on('close', () => { isIdleOpen = false })
    idle.resume()
    await new Promise((resolve) => server?.once('connection', resolve))
    for (const socket of sockets) socket.destroy()
    server?.close()
    const verdict = createClosedResponses({ hasOpen: () => isIdleOpen, eventLoopDelay: () => 0 }).judge(address)
    const busyUntil = Date.now() + 60
    while (Date.now() < busyUntil);
    expect(await verdict).toMatchObject({ kind: 'broken' })
  })

  // Guards against whole answers that are cut off because this process stood still while the new connection was established.
  test('is whole when the new connection was accepted and this process was behind', async () => {
    expect(await judgeBehind(await listen())).toEqual({ kind: 'whole', because: 'a new connection is accepted' })
  })

  // Guards against the same load balancer while this process has not read yet that it closed the connection.
  test('is broken when the new connection was closed and this process was behind', async () => {
    const closing = await listen((socket) => { socket.end(() => standStill()) })
    expect(await judge(false).judge(closing)).toMatchObject({ kind: 'broken' })
  })

  // Guards against the successor of a process that ended while this instance was paused.
  test('is broken when this process was paused and no other connection is open', async () => {
    expect(await judge(false, 1000).judge(await listen())).toMatchObject({ kind: 'broken' })
  })

  test('is broken when this process was paused during the judgement and no other connection is open', async () => {
    const verdict = judge(false).judge(await listen())
    standStill(600)
    expect(await verdict).toMatchObject({ kind: 'broken' })
  })

  // Guards against a listener that is taken for the process that wrote the answer.
  test.each<[FoundProcess, CloseVerdict]>([
    [{ kind: 'same' }, { kind: 'whole', because: 'its process replies' }],
    [{ kind: 'any' }, { kind: 'whole', because: 'a new connection is accepted' }],
    [{ kind: 'gone', because: 'another process replies' }, { kind: 'broken', because: 'another process replies' }]
  ])('is judged by the process that is found where one can be asked: %j', async (found, verdict) => {
    let accepted = 0
    const address = await listen(() => { accepted++ })
    expect([await judge(false).judge(address, { hasOpen: () => false, find: async () => found }), accepted]).toEqual([verdict, 0])
  })

  // Guards against whole answers that are cut off after a pause although their process still replies.
  test('is whole after a pause when its process replies', async () => {
    expect(await judge(false, 1000).judge(await listen(), { hasOpen: () => false, find: async () => ({ kind: 'same' }) })).toEqual({ kind: 'whole', because: 'its process replies' })
  })

  // Guards against connections to the successor of the process that wrote the answer.
  test('is broken while connections are open that do not lead to its process', async () => {
    const writer: WriterEvidence = { hasOpen: () => false, find: async () => ({ kind: 'gone', because: 'another process replies' }) }
    expect(await judge(true).judge(await listen(), writer)).toMatchObject({ kind: 'broken' })
  })
})
