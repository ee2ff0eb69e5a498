import { expect, test } from '@jest/globals'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import type { ResponseFields, WireFormat } from '../ports.js'
import { logUnreadableLoads } from '../tasks/unreadableLoads.js'

// Guards against a log that fills up with the load reports of a backend server of another release.
test('the first unreadable load report is logged, and responses are decoded as before', () => {
  const log = createRecordingLog()
  const decodeResponseHeaders: WireFormat['decodeResponseHeaders'] = (status) => ({ attemptId: String(status), unreadableLoad: 'x'.repeat(500) }) as ResponseFields
  const wire = logUnreadableLoads({ decodeResponseHeaders } as WireFormat, log)
  expect(wire.decodeResponseHeaders(200, {}).attemptId).toBe('200')
  wire.decodeResponseHeaders(200, {})
  expect(log.lines).toEqual([{ name: 'loadReportUnreadable', fields: { value: 'x'.repeat(100) } }])
})
