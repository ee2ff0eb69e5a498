import { afterEach, describe, expect, it, jest } from '@jest/globals'
import { createMetrics } from '@quinceshunt/telemetry'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { startInstanceReport, type InstanceReport } from '../tasks/instanceReport.js'
import { startLinkUsage, type LinkUsage } from '../tasks/linkUsage.js'
import { createPeerCalls } from '../tasks/peerCalls.js'

const stops: (() => void)[] = []

afterEach(() => {
  jest.useRealTimers()
  for (const stop of stops.splice(0)) stop()
})

async function listen (): Promise<{ readonly server: Server, readonly address: string }> {
  const server = createServer((socket) => socket.on('data', (chunk) => socket.end(chunk)).on('error', () => {}))
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  stops.push(() => server.close())
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

async function exchange (address: string, bytes: number): Promise<void> {
  const [host = '', port = ''] = address.split(':')
  const socket = connect(Number(port), host)
  socket.resume()
  socket.write(Buffer.alloc(bytes))
  await once(socket, 'close')
}

function startedLink (addresses: { readonly callersAddress: string, readonly peerAddress: string, readonly storeAddress: string }): LinkUsage {
  const link = startLinkUsage(addresses)
  stops.push(link.stop)
  return link
}

describe('bytes on the link', () => {
  // Issue 57: the log could not tell whether callers or messages between instances had filled the link of one instance.
  it('are counted by the purpose of the connection', async () => {
    const [callers, peers, store, backend] = [await listen(), await listen(), await listen(), await listen()]
    const link = startedLink({ callersAddress: callers.address, peerAddress: peers.address, storeAddress: store.address })
    await exchange(store.address, 100)
    await exchange(peers.address, 200)
    await exchange(backend.address, 300)
    await exchange(callers.address, 400)
    const sample = link.sample()
    expect(sample.store).toEqual({ received: 100, sent: 100 })
    expect(sample.callers).toEqual({ received: 400, sent: 400 })
    // Both ends of the connection belong to this process.
    expect(sample.peers).toEqual({ received: 400, sent: 400 })
    expect(sample.backendServers).toEqual({ received: 300, sent: 300 })
    expect(link.sample().store).toEqual({ received: 0, sent: 0 })
  })
})

function startedReport (): { readonly report: InstanceReport, readonly callers: { acceptedConnections: number, forwardedConnections: number }, readonly lines: () => readonly object[] } {
  const log = createRecordingLog()
  const link = startedLink({ callersAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', storeAddress: '127.0.0.1:3' })
  const callers = { activeRequests: 0, openConnections: 0, acceptedConnections: 0, forwardedConnections: 0, receivedConnections: 0 }
  const peerCalls = createPeerCalls()
  peerCalls.begin('/streams')('failed')
  const report = startInstanceReport({ failureDomain: 'a', log, metrics: createMetrics(), link, peerCalls, eventLoopDelay: { milliseconds: 0 }, callers: () => callers, onUse: () => {} })
  stops.push(report.stop)
  return { report, callers, lines: () => log.lines.filter(({ name }) => name === 'instanceReport').map(({ fields }) => fields) }
}

describe('report of an instance', () => {
  // Issue 57: no line told what the callers of a failure domain got.
  it('tells each second what callers got, the busiest client account and failed messages to peers', () => {
    jest.useFakeTimers()
    const { report, lines } = startedReport()
    report.noteRequest({ account: 'busy', outcome: 'served', milliseconds: 100 })
    report.noteRequest({ account: 'busy', outcome: 'late', milliseconds: 900 })
    report.noteRequest({ account: 'other', outcome: 'refused', milliseconds: 200 })
    report.noteTokenWait(200, false)
    jest.advanceTimersByTime(1000)
    expect(lines()).toHaveLength(1)
    expect(lines()[0]).toMatchObject({ failureDomain: 'a', requests: 3, served: 1, late: 1, refused: 1, meanMilliseconds: 400, topAccount: 'busy', topAccountRequests: 2, tokenWaits: 1, tokenRefusals: 1, peerCalls: '/streams:1/1' })
  })

  // Issue 57: no line told whether callers keep their connections at a full instance, or open new ones.
  it('tells how many connections callers have opened since the last line', () => {
    jest.useFakeTimers()
    const { report, callers, lines } = startedReport()
    for (const acceptedConnections of [5, 7]) {
      callers.acceptedConnections = acceptedConnections
      report.noteRequest({ account: 'busy', outcome: 'served', milliseconds: 100 })
      jest.advanceTimersByTime(1000)
    }
    expect(lines()).toMatchObject([{ newConnections: 5 }, { newConnections: 2 }])
  })

  it('is silent without callers', () => {
    jest.useFakeTimers()
    const { lines } = startedReport()
    jest.advanceTimersByTime(3000)
    expect(lines()).toHaveLength(0)
  })
})
