import { describe, expect, test } from '@jest/globals'
import { decodeUnansweredRequest, encodeUnansweredRequest } from '../decisions/crashReport.js'

describe('rows of crash reports', () => {
  test('a report of an earlier version, or one that can not be read, has no prompt', () => {
    expect(decodeUnansweredRequest('edge-1')).toBeUndefined()
    expect(decodeUnansweredRequest('{"parts":[1]}')).toBeUndefined()
    const request = { parts: ['part'], backendProcess: 'server-1/1000', sentAt: 900, crashedAt: 1000 }
    expect(decodeUnansweredRequest(encodeUnansweredRequest(request))).toEqual(request)
  })
})
