import { describe, expect, test } from '@jest/globals'
import { createStreamOrigins, type StreamOrigin } from '../decisions/streamOrigins.js'

const NOW = 1000
/** Length of the headers that a caller may send. */
const LONG_ID_LENGTH = 30_000
const MAX_REMEMBERED_CHARACTERS = 8_388_608

function originOf (attemptId: string): StreamOrigin {
  return { attemptId, service: 'plan', backendId: 'i-1', version: 'v1', begunAt: NOW, expiresAt: NOW + 60_000 }
}

describe('the origins of streams', () => {
  // Guards against a caller that fills the memory of all instances with long IDs of streams.
  test('hold few bytes, however long the IDs are that callers choose', () => {
    const origins = createStreamOrigins()
    let characters = 0
    for (let index = 0; index < 1000; index++) {
      const attemptId = `${index}`.padStart(LONG_ID_LENGTH, '0')
      origins.record(originOf(attemptId), NOW)
      if (origins.find(attemptId, NOW) !== undefined) characters += attemptId.length
    }
    expect(characters).toBeLessThan(MAX_REMEMBERED_CHARACTERS)
  })

  // Guards against a limit that forgets the streams of usual callers.
  test('hold those of the IDs that callers use', () => {
    const origins = createStreamOrigins()
    const ids = ['9c41d07be2a35f68', 'a4b1c5de-0f3e-4b57-9d1e-6f4f1f0f7a11', 'x'.repeat(128)]
    for (const id of ids) origins.record(originOf(id), NOW)
    expect(ids.filter((id) => origins.find(id, NOW) !== undefined)).toEqual(ids)
  })
})
