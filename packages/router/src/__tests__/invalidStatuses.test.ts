import { describe, expect, test } from '@jest/globals'
import { attemptCall, attemptChat, startRawBackend } from '../__fixtures__/attempts.js'

describe('a response with an invalid status', () => {
  const statusLines = ['000 Odd', '099 Odd', '101 Odd', '101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade', '600 Odd', '999 Odd', '1000 Odd']
  const invalidHead = (requestId: string, statusLine: string): string => `HTTP/1.1 ${statusLine}\r\nX-Request-Id: ${requestId}\r\nContent-Length: 2\r\n\r\nok`

  // Guards against a status that is passed on to the caller, and against one for which the request is suspected of a crash.
  test.each(statusLines)('%s fails its attempt without a check for a crash', async (statusLine) => {
    const backend = await startRawBackend()
    backend.respond = (socket, { requestId }) => { socket.write(invalidHead(requestId, statusLine)) }
    let checks = 0
    const checkForCrash = async (): Promise<boolean> => { checks++; return true }
    for (const streamed of [true, false]) {
      expect((await attemptChat(backend.address, { streamed, checkForCrash })).result).toMatchObject({ kind: 'failed', outcome: { kind: 'resetBeforeFirstByte' } })
    }
    for (const idempotent of [true, false]) {
      expect(await attemptCall(backend.address, idempotent, undefined, checkForCrash)).toMatchObject({ kind: 'failed', outcome: { kind: 'resetBeforeFirstByte' } })
    }
    expect(checks).toBe(0)
    await backend.close()
  })

  // Guards against interim responses without end, which hold the request up until its deadline.
  test('after interim responses without end is not waited for', async () => {
    const backend = await startRawBackend()
    backend.respond = (socket) => { socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(1000)) }
    const startedAt = Date.now()
    expect(await attemptCall(backend.address, true)).toMatchObject({ kind: 'failed', outcome: { kind: 'resetBeforeFirstByte' } })
    expect(Date.now() - startedAt).toBeLessThan(2500)
    await backend.close()
  })
})
