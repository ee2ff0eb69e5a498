import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { findVersion, homesOf, INSTANCES, startStreamFleet, type StreamFleet } from '../__fixtures__/streamFleet.js'

/** The instance that has all callers. */
const BUSY = 0
const STREAMS_PER_SECOND = 100

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** A fleet with backend servers of two versions whose messages are lost while `isCut` says so. */
function startCutFleet (): { readonly fleet: StreamFleet, readonly sent: () => number, readonly cut: (isCut: boolean) => void } {
  let isCut = false
  let sent = 0
  const fleet = startStreamFleet((sender) => {
    if (sender === BUSY) sent++
    return isCut ? { kind: 'requestLost' } : { kind: 'none' }
  })
  fleet.list('old', '1')
  fleet.list('new', '2')
  return { fleet, sent: () => sent, cut: (value) => { isCut = value } }
}

/** Begins streams at the busy instance; returns their IDs. */
async function beginStreams (fleet: StreamFleet, seconds: number, prefix: string): Promise<readonly string[]> {
  const attemptIds = Array.from({ length: seconds * STREAMS_PER_SECOND }, (_, index) => `${prefix}-${index}`)
  for (const attemptId of attemptIds) {
    fleet.begin(BUSY, attemptId, 'new')
    await jest.advanceTimersByTimeAsync(1000 / STREAMS_PER_SECOND)
  }
  return attemptIds
}

describe('streams of a busy instance whose peers do not answer', () => {
  // Issue 57: up to 1,850 messages a second about streams filled the link of the instance that carries a failure domain, so that
  // its peers stayed silent after the partition had ended.
  test('are told with few messages, however many streams begin', async () => {
    const { fleet, sent, cut } = startCutFleet()
    await jest.advanceTimersByTimeAsync(1000)
    cut(true)
    const before = sent()
    await beginStreams(fleet, 10, 'cut')
    // Two messages a second to each peer, of about 300 bytes: the control traffic of an instance stays under 3 KB/s.
    expect(sent() - before).toBeLessThanOrEqual((INSTANCES - 1) * 2 * 10)
  }, 60_000)

  // Guards against streams that are never told because their homes were silent.
  test('are known at their homes within seconds after the partition', async () => {
    const { fleet, cut } = startCutFleet()
    await jest.advanceTimersByTimeAsync(1000)
    cut(true)
    const attemptIds = await beginStreams(fleet, 5, 'cut')
    cut(false)
    await jest.advanceTimersByTimeAsync(4000)
    for (const attemptId of attemptIds.slice(-50)) {
      for (const home of homesOf(fleet, attemptId)) expect(fleet.instances[home]?.streams.originOf(attemptId)?.version).toBe('2')
      const asked = homesOf(fleet, attemptId).find((home) => home !== BUSY) ?? 1
      expect(await findVersion(fleet, asked, attemptId)).toBe('2')
    }
  }, 60_000)

  // Guards against messages without a pause to a process that is gone and still in the list of instances.
  test('are told with few messages while another process runs at the address of each peer', async () => {
    const { fleet, sent } = startCutFleet()
    await jest.advanceTimersByTimeAsync(1000)
    for (let index = 1; index < INSTANCES; index++) fleet.replaceUnlisted(index)
    const before = sent()
    await beginStreams(fleet, 10, 'replaced')
    expect(sent() - before).toBeLessThanOrEqual((INSTANCES - 1) * 2 * 10)
  }, 60_000)
})
