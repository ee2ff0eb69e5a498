import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { OthersSums } from '../decisions/loadBoard.js'
import { encodeRow, loadKeyOf, RATIO_UNITS, type LoadFigures } from '../decisions/loadRows.js'
import { createLoadView, type LoadView } from '../decisions/loadView.js'

const NOW = 1_000_000
const listed = new Map([['p', 'model'], ['q', 'model'], ['other', 'plain']])

function createView (): LoadView {
  return createLoadView((service) => ({ processes: service === 'model' ? 2 : 1, requests: 4, unansweredTokens: 100 }))
}

/** A reply with the requests that others have at the processes of `model`. */
function replyOf (requests: Record<string, Partial<LoadFigures>>, ageMilliseconds = 400): OthersSums {
  const rows = Object.entries(requests).map(([name, row]) => encodeRow(loadKeyOf(name), { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, sent: 0, answered: 0, rejected: 0, ...row }, NOW))
  const sumOf = (field: 'requests' | 'unansweredTokens'): number => Object.values(requests).reduce((sum, row) => sum + (row[field] ?? 0), 0)
  return { reporters: 3, ageMilliseconds, isComplete: true, services: [{ name: 'model', instances: 3, sentPerSecond: 12, rejectedPerSecond: 0.5, requests: sumOf('requests'), unansweredTokens: sumOf('unansweredTokens'), rows: rows.join(';') }] }
}

describe('the view of the load that others have', () => {
  test('knows nothing before the first reply, nor of services and processes that the reply does not cover', () => {
    const view = createView()
    expect(view.othersAt('p', NOW)).toBeUndefined()
    expect(view.service('model', NOW)).toBeUndefined()
    view.takeReply(replyOf({ p: { requests: 1 } }), listed, NOW)
    expect(view.othersAt('other', NOW)).toBeUndefined()
    expect(view.othersAt('unlisted', NOW)).toBeUndefined()
    expect(view.service('plain', NOW)).toBeUndefined()
  })

  test('has the figures of the last reply, zeros where others have nothing, and the means of the service with those of this instance', () => {
    const view = createView()
    const report = { running: 30, waiting: 1, slots: 32, workPercent: 130, receivedAt: NOW - 200 }
    view.takeReply(replyOf({ p: { requests: 6, unansweredTokens: 3200, ratioSum: RATIO_UNITS, ratioCount: 2 * RATIO_UNITS, report } }), listed, NOW)
    expect(view.othersAt('p', NOW + 1000)).toEqual({ requests: 6, unansweredTokens: 3200, logRatio: 0.5, ratioCount: 2, report, asOf: NOW - 400 })
    expect(view.othersAt('q', NOW + 1000)).toMatchObject({ requests: 0, unansweredTokens: 0, ratioCount: 0, report: undefined })
    expect(view.service('model', NOW)).toEqual({ requests: 5, unansweredTokens: 1650, sentPerSecond: 12, rejectedPerSecond: 0.5, instances: 3, asOf: NOW - 400 })
  })

  // Guards against an instance that is cut off and sends everything to the process that was idle when it last heard of it.
  test('approaches the mean of the service with a half-life of 2 s when no reply comes', () => {
    const view = createView()
    view.takeReply(replyOf({ p: { requests: 20 } }), listed, NOW)
    const requestsAt = (backendProcess: string, after: number): number | undefined => view.othersAt(backendProcess, NOW + after)?.requests
    expect([requestsAt('p', 1500), requestsAt('q', 1500)]).toEqual([20, 0])
    expect([requestsAt('p', 3500), requestsAt('q', 3500)]).toEqual([15, 5])
    expect([requestsAt('p', 5500), requestsAt('q', 5500)]).toEqual([12.5, 7.5])
    expect(requestsAt('p', 30_000)).toBeUndefined()
  })

  test('keeps the sum of the service whatever the age of the figures', () => {
    fc.assert(fc.property(fc.nat(100), fc.nat(100), fc.nat(29_000), (atFirst, atSecond, after) => {
      const view = createView()
      view.takeReply(replyOf({ p: { requests: atFirst }, q: { requests: atSecond } }), listed, NOW)
      const requests = ['p', 'q'].map((backendProcess) => view.othersAt(backendProcess, NOW + after)?.requests ?? 0)
      expect(requests.reduce((sum, value) => sum + value, 0)).toBeCloseTo(atFirst + atSecond)
      for (const value of requests) expect(value).toBeGreaterThanOrEqual(0)
    }))
  })

  test('tells what could not be read and uses the rest', () => {
    const view = createView()
    const reply = replyOf({ p: { requests: 6 } })
    const [service] = reply.services
    expect(view.takeReply({ ...reply, services: service === undefined ? [] : [{ ...service, rows: `${service.rows};abcdef-1` }] }, listed, NOW)).toBe('abcdef-1')
    expect(view.othersAt('p', NOW)?.requests).toBe(6)
  })
})
