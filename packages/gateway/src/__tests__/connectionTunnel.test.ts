import { afterEach, describe, expect, it } from '@jest/globals'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { startRawServer } from '../__fixtures__/rawServer.js'
import { joinTunnel, openTunnel, TUNNEL_ACCEPTED, TUNNEL_DECLINED } from '../tasks/connectionTunnel.js'

const REQUEST = 'GET /status HTTP/1.1\r\nHost: desk\r\n\r\n'
const HEAD_WITHOUT_LENGTH = 'HTTP/1.0 200 OK\r\n\r\n'
const closings: (() => unknown)[] = []

afterEach(async () => { for (const close of closings.splice(0)) await close() })

/** Starts a peer that receives CONNECT and then behaves as given; `received` has what followed. */
async function startPeer (reply: string, onCaller: (socket: Socket) => void = () => {}): Promise<{ readonly address: string, readonly received: () => string }> {
  let received = ''
  const server = await startRawServer((socket, text) => {
    if (text.startsWith('CONNECT ')) {
      socket.write(reply)
      return
    }
    received += text
    onCaller(socket)
  })
  closings.push(async () => await server.close())
  return { address: server.address, received: () => received }
}

interface CallerResult { readonly text: string, readonly isReset: boolean }

/** Sends a request through an instance that forwards each connection to the peer. */
async function sendThrough (address: string, { timeoutMilliseconds = 5000, leavesAtOnce = false } = {}): Promise<CallerResult> {
  const instance: Server = createServer({ allowHalfOpen: true }, (socket) => {
    openTunnel({ address, incarnationId: 'north.1', configurationVersion: 1 }).then((tunnel) => {
      if (typeof tunnel === 'string') socket.end(tunnel)
      else joinTunnel(socket, tunnel, { timeoutMilliseconds, responseTo: (loss) => `lost: ${loss}` })
    }, () => {})
  })
  instance.listen(0, '127.0.0.1')
  await once(instance, 'listening')
  closings.push(() => instance.close())
  const caller = connect((instance.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  let isReset = false
  caller.on('data', (chunk) => { text += chunk.toString() })
  caller.on('error', () => { isReset = true })
  if (leavesAtOnce) caller.end(REQUEST)
  else caller.write(REQUEST)
  closings.push(() => caller.destroy())
  await new Promise((resolve) => caller.once('close', resolve))
  return { text, isReset }
}

describe('a forwarded connection', () => {
  it('passes a request and its response on', async () => {
    const peer = await startPeer(TUNNEL_ACCEPTED, (socket) => socket.end('HTTP/1.1 204 No Content\r\n\r\n'))
    expect(await sendThrough(peer.address)).toEqual({ text: 'HTTP/1.1 204 No Content\r\n\r\n', isReset: false })
    expect(peer.received()).toBe(REQUEST)
  })

  // Guards against a request that runs at the peer and is served here as well.
  it.each([['declines', TUNNEL_DECLINED, 'declined'], ['does not answer', '', 'unanswered'], ['is of a version that knows no such connections', 'HTTP/1.1 400 Bad Request\r\n\r\n', 'declined']])('stays at this instance when the peer %s, which gets nothing of the request', async (_, reply, outcome) => {
    const peer = await startPeer(reply)
    expect((await sendThrough(peer.address)).text).toBe(outcome)
    expect(peer.received()).toBe('')
  })

  // Soak seed 90016: a gateway that had stood still passed on requests whose callers had closed their connections seconds before.
  it('passes on nothing of a caller whose close has arrived with its request', async () => {
    const peer = await startPeer(TUNNEL_ACCEPTED)
    expect(await sendThrough(peer.address, { leavesAtOnce: true })).toEqual({ text: '', isReset: false })
    expect(peer.received()).toBe('')
  })

  // Guards against a part of a response without a length that looks whole because the connection ends in order.
  it('is reset when the peer resets it within a response', async () => {
    const peer = await startPeer(TUNNEL_ACCEPTED, (socket) => socket.write(`${HEAD_WITHOUT_LENGTH}part`, () => setTimeout(() => socket.resetAndDestroy(), 50)))
    expect(await sendThrough(peer.address)).toEqual({ text: `${HEAD_WITHOUT_LENGTH}part`, isReset: true })
  })

  // Guards against callers whose connections end without a word when the peer is killed.
  it('gets an error when the peer ends it without a response', async () => {
    for (const end of [(socket: Socket) => socket.resetAndDestroy(), (socket: Socket) => socket.end()]) {
      const peer = await startPeer(TUNNEL_ACCEPTED, end)
      expect(await sendThrough(peer.address)).toEqual({ text: 'lost: ended', isReset: false })
    }
  })

  // Guards against callers who wait past the time limit of their route at a peer that is frozen or cut off.
  it('gets an error when the peer stays silent', async () => {
    const peer = await startPeer(TUNNEL_ACCEPTED)
    expect(await sendThrough(peer.address, { timeoutMilliseconds: 200 })).toEqual({ text: 'lost: silent', isReset: false })
  })
})
