import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { AcceptQueue } from '@quinceshunt/caller-connections'
import { createMetrics } from '@quinceshunt/telemetry'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createRecordingLog, type RecordingLog } from '../__fixtures__/recordingLog.js'
import { startAcceptDelay } from '../tasks/acceptDelay.js'
import { startProcessUsage } from '../tasks/processUsage.js'

/** Longer than the interval of the checks. */
const CHECKED_MS = 1300
/** The first check comes when half of these are accepted. */
const QUEUED_CONNECTIONS = 40
const ACCEPT_MS = 50

let server: Server
let log: RecordingLog
let delay: AcceptQueue
let claimed: Socket[]
let callers: Socket[]
let acceptMilliseconds: number

beforeEach(async () => {
  claimed = []
  callers = []
  log = createRecordingLog()
  acceptMilliseconds = 0
  server = createServer((socket) => {
    keepBusy(acceptMilliseconds)
    const { kind } = delay.classify(socket)
    if (kind === 'probe') claimed.push(socket)
    else callers.push(socket)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  delay = startAcceptDelay({ callersAddress: addressOf(server), usage: startProcessUsage(), metrics: createMetrics(), log })
})

afterEach(async () => {
  delay.stop()
  if (server.listening) await new Promise((resolve) => server.close(resolve))
})

function addressOf (listener: Server): string {
  return `127.0.0.1:${(listener.address() as AddressInfo).port}`
}

async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

function keepBusy (milliseconds: number): void {
  const end = performance.now() + milliseconds
  while (performance.now() < end);
}

describe('delay until connections are accepted', () => {
  // Guards against a log that can't tell an instance that accepts nothing from a sound one.
  test('a listener that is closed shows as a delay that grows, with what the process did', async () => {
    await new Promise((resolve) => server.close(resolve))
    await pause(3 * CHECKED_MS)
    expect(delay.milliseconds).toBeGreaterThan(2 * CHECKED_MS - 1000)
    expect(log.lines.filter(({ name }) => name === 'ownConnectionFailed').length).toBeGreaterThan(1)
    const line = log.lines.find(({ name }) => name === 'connectionsDelayed')
    expect(Object.keys(line?.fields ?? {})).toEqual(['milliseconds', 'isWaiting', 'sampledMilliseconds', 'passes', 'events', 'processorMilliseconds', 'collectorMilliseconds', 'heapBytes', 'sockets'])
  })

  test('connections that are accepted at once are claimed and log nothing', async () => {
    await pause(CHECKED_MS)
    expect(claimed).toHaveLength(1)
    expect(callers).toHaveLength(0)
    expect(delay.milliseconds).toBeLessThan(CHECKED_MS)
    expect(log.lines).toEqual([])
  })

  test('a connection behind others that each take time is told with its wait, and when the wait is over', async () => {
    acceptMilliseconds = ACCEPT_MS
    const { port } = server.address() as AddressInfo
    const opened = Array.from({ length: QUEUED_CONNECTIONS }, () => connect(port, '127.0.0.1'))
    await pause(CHECKED_MS + 2 * QUEUED_CONNECTIONS * ACCEPT_MS)
    for (const socket of opened) socket.destroy()
    expect(log.lines.map(({ name }) => name)).toEqual(expect.arrayContaining(['connectionsDelayed', 'connectionsPrompt']))
  })
})
