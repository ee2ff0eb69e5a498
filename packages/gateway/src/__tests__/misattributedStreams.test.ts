import { afterEach, beforeEach, expect, jest, test } from '@jest/globals'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { steadyNow } from '../clock.js'
import { createSharedClock } from '../decisions/sharedClock.js'
import { createStreamVersions, type StreamVersions } from '../tasks/streamVersions.js'

const HOME = { instanceId: 'home', address: 'home:80', failureDomain: 'north', incarnationId: 'home.0' }
const CALLER_TIMEOUT_MS = 15_000

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

/** An instance that knows one version and has begun a stream on a connection that nothing proves; `told` are the messages to the stream's home. */
function beginStream (told: unknown[]): StreamVersions {
  const clock = createSharedClock()
  clock.observe(steadyNow(), steadyNow())
  const streams = createStreamVersions({
    instanceId: 'own',
    clock,
    log: createRecordingLog(),
    homes: () => [HOME],
    isListCurrent: () => true,
    isProven: () => false,
    announceMixed: () => {},
    count: () => {},
    post: async (_address, _path, message) => {
      told.push(message)
      return { kind: 'answered', reply: {} }
    }
  })
  streams.noteListed({ id: 'i-1', service: 'model', version: 'v1' }, undefined)
  const connection = { backendProcess: 'i-1/100', establishedAt: steadyNow() }
  streams.begin({ attemptId: 'stream', service: 'model', backendId: 'i-1', version: 'v1', evidence: { kind: 'connection', connection, wasSuspect: false }, callerTimeoutAt: steadyNow() + CALLER_TIMEOUT_MS })
  return streams
}

// Guards against a caller's next try at an instance that takes the only version it knows for that of the stream.
test('the homes of a stream know that its version is uncertain once another process than the listed one has begun it', async () => {
  const told: unknown[] = []
  const streams = beginStream(told)
  expect(told).toEqual([])
  await streams.noteMisattributed('stream')
  expect(told).toEqual([expect.objectContaining({ origins: [expect.objectContaining({ attemptId: 'stream', certainty: 'uncertain' })] })])
})
