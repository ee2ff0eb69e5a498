import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { startRawServer } from '../__fixtures__/rawServer.js'
import { createPeerListener } from '../tasks/peerListener.js'
import { PEER_PATH, postToPeer, type LoanReply } from '../tasks/peerMessages.js'

const LONG_TIMEOUT_MS = 4000
const loan = (id: string): object => ({ id, to: 'north.1', account: 'school', tokens: 5, kind: 'whole' })

describe('a reply of a peer', () => {
  // Guards against a process whose memory or processor time a peer takes with bytes that are no reply, and against a message that is
  // taken for one that was not handled, which would be given to another home as well.
  test.each([
    ['a head of many lines', 'HTTP/1.1 200 OK\r\n', `X-Filler: ${'x'.repeat(1000)}\r\n`],
    ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(10)],
    ['a body without length', 'HTTP/1.1 200 OK\r\n\r\n', 'x'.repeat(1000)],
    ['chunks of one byte', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', '1\r\nx\r\n'.repeat(500)],
    ['the body of another status', 'HTTP/1.1 409 Conflict\r\n\r\n', 'x'.repeat(1000)]
  ])('%s without end is given up before the time is over, and leaves open whether the message was handled', async (_name, head, filler) => {
    const server = await startRawServer((socket) => {
      socket.write(head)
      const timer = setInterval(() => socket.write(filler), 1)
      socket.on('close', () => clearInterval(timer))
    })
    const startedAt = performance.now()
    expect(await postToPeer(server.address, PEER_PATH.loans, loan('1'), LONG_TIMEOUT_MS)).toMatchObject({ kind: 'failed', mayHaveArrived: true })
    expect(performance.now() - startedAt).toBeLessThan(LONG_TIMEOUT_MS - 500)
    await server.close()
  })

  // Guards against a message whose outcome is never known: Node reports a switch of protocols by no error, also not when the time is over.
  test.each(['000 Odd', '099 Odd', '600 Odd', '101 Odd', '101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade'])('the invalid status %s is no reply of a peer, and leaves open whether the message was handled', async (statusLine) => {
    const server = await startRawServer((socket) => socket.write(`HTTP/1.1 ${statusLine}\r\nContent-Length: 2\r\n\r\n{}`))
    const outcome = await Promise.race([postToPeer(server.address, PEER_PATH.loans, loan('1'), 500), new Promise((resolve) => setTimeout(() => resolve('none'), 2000))])
    expect(outcome).toEqual({ kind: 'failed', mayHaveArrived: true, reason: expect.stringContaining('invalid status') })
    await server.close()
  })

  // Guards against unfinished replies that fill the memory together, and against one peer whose replies end those of the others.
  test('many unfinished ones end with each other, not with those of another peer', async () => {
    const flooding = await startRawServer((socket) => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 65000\r\n\r\n${'x'.repeat(64_000)}`))
    const sound = await startRawServer((socket) => socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 60002\r\n\r\n"${'x'.repeat(60_000)}"`))
    const posts = Array.from({ length: 200 }, async (_, index) => await postToPeer(flooding.address, PEER_PATH.loans, loan(String(index)), 1500))
    await new Promise((resolve) => setTimeout(resolve, 700))
    expect((await postToPeer(sound.address, PEER_PATH.loans, loan('1'), 500)).kind).toBe('answered')
    const reasons = (await Promise.all(posts)).map((outcome) => outcome.kind === 'failed' ? outcome.reason : outcome.kind)
    expect(reasons.filter((reason) => reason === 'reply too large').length).toBeGreaterThan(100)
    expect(reasons.filter((reason) => reason === 'no response in time').length).toBeGreaterThan(50)
    await Promise.all([flooding.close(), sound.close()])
  })
})

describe('the listener for messages of peers', () => {
  let listener: Server
  let address: string
  let sockets: Socket[]
  let lent: string[]
  let finishLoans: () => void

  beforeEach(async () => {
    sockets = []
    lent = []
    const mayFinish = new Promise<void>((resolve) => { finishLoans = resolve })
    listener = createPeerListener({
      incarnationId: 'north.1',
      tokens: {
        isClosing: false,
        lend: async (account): Promise<LoanReply> => {
          lent.push(account)
          await mayFinish
          return { tokens: 5, isShort: false }
        },
        takeBack: () => {},
        receiveUse: () => {}
      },
      limits: { issue: () => { throw new Error('no message about limits is expected') }, receive: () => {} },
      rooms: { issue: () => ({ kind: 'noted' }) },
      streams: { receive: () => {}, answer: () => ({ areVersionsMixed: false }) },
      retries: { answer: () => ({ isGranted: false }) },
      receiveReports: () => {},
      receiveLease: () => undefined,
      log: createRecordingLog(),
      now: () => performance.now(),
      maxRememberedReplies: 2000
    }, (_incoming, response) => response.end('relayed'))
    await new Promise<void>((resolve) => listener.listen(0, '127.0.0.1', resolve))
    address = `127.0.0.1:${(listener.address() as AddressInfo).port}`
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    listener.closeAllConnections()
    listener.close()
  })

  function openSocket (): Socket {
    const socket = connect((listener.address() as AddressInfo).port, '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    return socket
  }

  const text = (path: string, message: object): string => {
    const body = JSON.stringify(message)
    return `POST ${path} HTTP/1.1\r\nHost: peer\r\nContent-Length: ${body.length}\r\n\r\n${body}`
  }

  // Guards against peers whose messages are refused while another process at their address, or behind the same address translation, holds many bytes.
  test('takes messages of other connections while many of the same address hold unfinished ones', async () => {
    finishLoans()
    for (let count = 0; count < 200; count++) openSocket().write(`POST /loans HTTP/1.1\r\nHost: peer\r\nContent-Length: 65000\r\n\r\n${'x'.repeat(64_000)}`)
    await new Promise((resolve) => setTimeout(resolve, 500))
    const outcomes = await Promise.all(Array.from({ length: 60 }, async (_, index) => await postToPeer(address, PEER_PATH.loans, { ...loan(`${index}`), filler: 'x'.repeat(10_000) }, 1000)))
    expect(outcomes.filter((outcome) => outcome.kind === 'answered')).toHaveLength(60)
  })

  // Guards against peers whose messages are refused because one connection of the same address sent as many as may be remembered.
  test('remembers replies to other connections after a flood of messages on one', async () => {
    finishLoans()
    const flooding = openSocket()
    let received = ''
    flooding.on('data', (chunk) => { received += chunk.toString() })
    for (let count = 0; count < 1001; count++) {
      flooding.write(text('/loans', loan(`flood-${count}`)))
      await new Promise((resolve) => flooding.once('data', resolve))
    }
    expect(received.match(/"tokens":5/g)).toHaveLength(1000)
    expect(received.match(/ 503 /g)).toHaveLength(1)
    expect(await postToPeer(address, PEER_PATH.loans, loan('1'), 1000)).toEqual({ kind: 'answered', reply: { tokens: 5, isShort: false } })
    // A handled message is never refused, as its sender would take it for one that was not handled.
    expect(await postToPeer(address, PEER_PATH.loans, loan('flood-0'), 1000)).toEqual({ kind: 'answered', reply: { tokens: 5, isShort: false } })
    expect(lent).toHaveLength(1001)
  })

  // Guards against tokens that are lent twice, as a message is handled after its sender was told that it was not, and against
  // tokens that are lost, as a refused message is taken for one that may have been handled.
  test('refuses messages beyond its memory as not handled, and takes them once there is room', async () => {
    const large = { ...loan('1'), filler: 'x'.repeat(60_000) }
    for (const [connections, bytes] of [[320, 64_900], [60, 4000]] as const) {
      for (let count = 0; count < connections; count++) openSocket().write(`POST /loans HTTP/1.1\r\nHost: peer\r\nContent-Length: 65000\r\n\r\n${'x'.repeat(bytes)}`)
    }
    await new Promise((resolve) => setTimeout(resolve, 500))
    finishLoans()
    expect(await postToPeer(address, PEER_PATH.loans, large, 1000)).toEqual({ kind: 'failed', mayHaveArrived: false, reason: 'status 503', hasReplied: true })
    expect(lent).toEqual([])
    for (const socket of sockets) socket.destroy()
    await new Promise((resolve) => setTimeout(resolve, 100))
    expect(await postToPeer(address, PEER_PATH.loans, large, 1000)).toEqual({ kind: 'answered', reply: { tokens: 5, isShort: false } })
    expect(lent).toEqual(['school'])
  })

  // Guards against memory that stays counted for messages whose connection was closed before their replies.
  test('counts nothing for messages that wait when their connection is closed', async () => {
    for (let round = 0; round < 120; round++) {
      const socket = openSocket()
      for (let index = 0; index < 7; index++) socket.write(text('/loans', { ...loan(`${round}-${index}`), use: 'x'.repeat(40_000) }) + text('/loans', loan(`${round}/${index}`)))
      await new Promise((resolve) => setTimeout(resolve, 10))
      socket.destroy()
    }
    await new Promise((resolve) => setTimeout(resolve, 100))
    finishLoans()
    expect((await postToPeer(address, PEER_PATH.returns, { id: 'large', to: 'north.1', accounts: {}, filler: 'x'.repeat(60_000) }, 1000)).kind).toBe('answered')
  })

  // Guards against a connection whose messages wait for their replies without bound.
  test('has few messages of one connection handled at a time, and ends it after their replies', async () => {
    const socket = openSocket()
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    const closed = new Promise((resolve) => socket.once('close', resolve))
    socket.write(Array.from({ length: 500 }, (_, index) => text('/loans', loan(String(index)))).join(''))
    await new Promise((resolve) => setTimeout(resolve, 200))
    expect(lent).toHaveLength(8)
    finishLoans()
    await closed
    expect(received.match(/"tokens":5/g)).toHaveLength(8)
  })

  // Guards against connections that are held for minutes by a message that does not arrive.
  test('closes a connection whose message does not arrive in time', async () => {
    const socket = openSocket()
    socket.resume()
    const startedAt = performance.now()
    socket.write('POST /loans HTTP/1.1\r\nHost: peer\r\nContent-Length: 500\r\n\r\nx')
    await new Promise((resolve) => socket.once('close', resolve))
    expect(performance.now() - startedAt).toBeLessThan(4000)
  })

  // Guards against an ID that takes the memory of many replies, as replies are remembered by the IDs of their messages.
  test('rejects a message with an ID of more than 512 characters', async () => {
    expect(await postToPeer(address, PEER_PATH.loans, loan('x'.repeat(513)), 1000)).toMatchObject({ kind: 'failed', reason: 'status 400' })
  })

  // Guards against a process whose memory is filled by large malformed messages that are answered as fast as they come.
  test('closes a connection after the reply to a malformed message', async () => {
    const socket = openSocket()
    let received = ''
    socket.on('data', (chunk) => { received += chunk.toString() })
    const closed = new Promise((resolve) => socket.once('close', resolve))
    const startedAt = performance.now()
    socket.write(text('/loans', loan('x'.repeat(513))))
    await closed
    expect(received.match(/HTTP\/1.1 400 /g)).toHaveLength(1)
    // An idle connection is closed after 5 s.
    expect(performance.now() - startedAt).toBeLessThan(2000)
  })

  // Guards against a process whose memory is filled by messages behind the last one that is handled.
  test('parses few of the messages that one connection sends at once', async () => {
    let parsed = 0
    listener.prependListener('request', () => parsed++)
    openSocket().write(text('/loans', loan('1')).repeat(2000))
    await new Promise((resolve) => setTimeout(resolve, 500))
    expect(parsed).toBeGreaterThanOrEqual(8)
    expect(parsed).toBeLessThan(30)
  })
})
