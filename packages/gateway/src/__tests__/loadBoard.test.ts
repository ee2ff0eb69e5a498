import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createLoadBoard, type HomeSums, type InstanceReport, type LoadBoard } from '../decisions/loadBoard.js'
import { decodeRows, encodeRow, loadKeyOf, RATIO_UNITS, type LoadFigures } from '../decisions/loadRows.js'

const SERVICE = 'model'
const NOW = 1_000_000

function figures (changes: Partial<LoadFigures> = {}): LoadFigures {
  return { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, sent: 0, answered: 0, rejected: 0, ...changes }
}

function reportOf (instance: string, rows: Record<string, Partial<LoadFigures>>, service = SERVICE): InstanceReport {
  return { reporter: loadKeyOf(instance), intervalMilliseconds: 1000, services: [{ name: service, rows: new Map(Object.entries(rows).map(([name, row]) => [loadKeyOf(name), figures(row)])) }] }
}

/** What the board tells an instance of a process. */
function othersAt (board: LoadBoard, instance: string, backendProcess: string, now = NOW): LoadFigures {
  const rows = board.othersOf(loadKeyOf(instance), [SERVICE], now).services[0]?.rows ?? ''
  return decodeRows(rows, now).rows.get(loadKeyOf(backendProcess)) ?? figures()
}

/** Sums of another home, of instances that have the given requests at process `p`. */
function sumsOf (home: string, failureDomain: string, requests: Record<string, number>, at = NOW): HomeSums {
  const total = Object.values(requests).reduce((sum, count) => sum + count, 0)
  return {
    home,
    failureDomain,
    reporters: new Map(Object.keys(requests).map((instance) => [loadKeyOf(instance), at])),
    services: [{ name: SERVICE, instances: Object.keys(requests).length, sentPerSecond: total, rejectedPerSecond: 0, rows: new Map([[loadKeyOf('p'), figures({ requests: total })]]) }]
  }
}

const rowArbitrary = fc.record({
  requests: fc.nat(300),
  unansweredTokens: fc.nat(300).map((units) => units * 32),
  ratioSum: fc.integer({ min: -40, max: 40 }).map((units) => units * 100),
  ratioCount: fc.constant(10 * RATIO_UNITS),
  report: fc.option(fc.record({ running: fc.nat(64), waiting: fc.nat(64), slots: fc.nat(64), workPercent: fc.integer({ min: 1, max: 900 }), receivedAt: fc.integer({ min: 1, max: 40 }).map((units) => NOW - units * 100) }), { nil: undefined }),
  sent: fc.nat(50),
  answered: fc.nat(50),
  rejected: fc.nat(50)
})
const processes = ['p', 'q', 'r']
const reportsArbitrary = fc.array(fc.dictionary(fc.constantFrom(...processes), rowArbitrary), { minLength: 2, maxLength: 8 })

describe('the sums of load figures at a home', () => {
  // Guards against an instance that counts its own requests twice, and against sums that two homes with the same reports would tell differently.
  test('are those of all other instances, in whatever order they report', () => {
    fc.assert(fc.property(reportsArbitrary, fc.func(fc.nat()), (reports, orderOf) => {
      const instances = reports.map((rows, index) => ({ name: `i${index}`, rows }))
      const board = createLoadBoard()
      const shuffled = createLoadBoard()
      for (const { name, rows } of instances) board.report(reportOf(name, rows), NOW)
      for (const { name, rows } of [...instances].sort((left, right) => orderOf(left.name) - orderOf(right.name))) shuffled.report(reportOf(name, rows), NOW)
      for (const { name } of instances) {
        for (const backendProcess of processes) {
          const others = instances.filter((instance) => instance.name !== name).map(({ rows }) => figures(rows[backendProcess]))
          const told = othersAt(board, name, backendProcess)
          expect(told.requests).toBe(others.reduce((sum, { requests }) => sum + requests, 0))
          expect(told.unansweredTokens).toBe(others.reduce((sum, { unansweredTokens }) => sum + unansweredTokens, 0))
          expect(told.ratioSum).toBe(others.reduce((sum, { ratioSum }) => sum + ratioSum, 0))
          expect(told.report?.receivedAt).toBe(others.reduce<number | undefined>((newest, { report }) => report !== undefined && report.receivedAt > (newest ?? 0) ? report.receivedAt : newest, undefined))
          const { report, ...rest } = told
          const { report: shuffledReport, ...shuffledRest } = othersAt(shuffled, name, backendProcess)
          expect(shuffledRest).toEqual(rest)
          expect(shuffledReport?.receivedAt).toBe(report?.receivedAt)
        }
      }
    }), { numRuns: 200 })
  })

  // Guards against sums from which other figures are subtracted than were added.
  test('are never below zero, and zero once nobody has anything in progress', () => {
    fc.assert(fc.property(fc.array(fc.record({ instance: fc.nat(3), requests: fc.nat(9), after: fc.nat(40) }), { maxLength: 30 }), (steps) => {
      const board = createLoadBoard()
      let now = NOW
      for (const { instance, requests, after } of steps) {
        now += after
        board.report(reportOf(`i${instance}`, { p: { requests } }), now)
        const sums = board.othersOf(loadKeyOf(`i${instance}`), [SERVICE], now).services[0]
        expect(sums?.requests).toBeGreaterThanOrEqual(0)
        expect(decodeRows(sums?.rows ?? '', now).unreadable).toBeUndefined()
      }
      for (const instance of [0, 1, 2, 3]) board.report(reportOf(`i${instance}`, {}), now)
      expect(board.ownSums(now).services).toMatchObject([{ requests: 0, rows: '', instances: 4 }])
    }), { numRuns: 200 })
  })

  // Guards against requests of an instance that has stopped, which would be avoided for ever.
  test('forget an instance that has not reported for 3 s', () => {
    const board = createLoadBoard()
    board.report(reportOf('gone', { p: { requests: 7 } }), NOW)
    board.report(reportOf('a', {}), NOW + 2900)
    expect(othersAt(board, 'a', 'p', NOW + 2900).requests).toBe(7)
    board.report(reportOf('a', {}), NOW + 3001)
    expect(othersAt(board, 'a', 'p', NOW + 3001).requests).toBe(0)
  })

  test('replace the requests of an earlier report and add up its responses, which count less with time', () => {
    const board = createLoadBoard()
    board.report(reportOf('a', { p: { requests: 4, ratioSum: RATIO_UNITS, ratioCount: RATIO_UNITS } }), NOW)
    board.report(reportOf('a', { p: { requests: 1, ratioSum: RATIO_UNITS, ratioCount: RATIO_UNITS } }), NOW + 2000)
    expect(othersAt(board, 'b', 'p', NOW + 2000)).toMatchObject({ requests: 1, ratioSum: 1.5 * RATIO_UNITS, ratioCount: 1.5 * RATIO_UNITS })
  })

  test('tell how many requests are sent and rejected in a second, of all instances', () => {
    const board = createLoadBoard()
    for (const second of [0, 1, 2]) for (const instance of ['a', 'b']) board.report(reportOf(instance, { p: { sent: 5, rejected: 1 }, q: { sent: 5 } }), NOW + second * 1000)
    const [sums] = board.othersOf(loadKeyOf('a'), [SERVICE], NOW + 2000).services
    expect(sums?.sentPerSecond).toBeCloseTo(20)
    expect(sums?.rejectedPerSecond).toBeCloseTo(2)
    expect(sums?.instances).toBe(2)
  })

  // Guards against a home that has just begun and tells instances that nothing is in progress.
  test('are marked until the instances have had the time to report', () => {
    const board = createLoadBoard()
    board.report(reportOf('a', {}), NOW)
    expect(board.othersOf(loadKeyOf('a'), [SERVICE], NOW).isComplete).toBe(false)
    expect(board.othersOf(loadKeyOf('a'), [SERVICE], NOW + 1000).isComplete).toBe(true)
  })

  // Guards against a reply that is too large for a message, and against one without the processes that are busiest.
  test('of more processes than fit leave out idle ones first', () => {
    const board = createLoadBoard()
    const report = { running: 32, waiting: 60, slots: 32, workPercent: 900, receivedAt: NOW - 1900 }
    const rows = Object.fromEntries(Array.from({ length: 3000 }, (_, index) => [`p${index}`, { requests: index < 500 ? 40 : 0, unansweredTokens: index < 500 ? 90_000 : 0, report }]))
    board.report(reportOf('a', rows), NOW)
    const [sums] = board.othersOf(loadKeyOf('b'), [SERVICE], NOW).services
    expect(sums?.rows.length).toBeLessThanOrEqual(60_000)
    expect(sums?.requests).toBe(500 * 40)
    const told = decodeRows(sums?.rows ?? '', NOW).rows
    for (let index = 0; index < 500; index++) expect(told.get(loadKeyOf(`p${index}`))?.requests).toBe(40)
  })
})

describe('the sums of many processes', () => {
  // Guards against figures of the asking instance in a text that several replies share.
  test('are those of all other instances as well', () => {
    fc.assert(fc.property(fc.array(fc.record({ instance: fc.nat(2), process: fc.nat(5), requests: fc.nat(3), after: fc.nat(60) }), { minLength: 1, maxLength: 25 }), (steps) => {
      const board = createLoadBoard()
      board.report(reportOf('base', Object.fromEntries(Array.from({ length: 300 }, (_, index) => [`p${index}`, { requests: 1 }]))), NOW)
      const last = new Map<number, { process: number, requests: number }>()
      let now = NOW
      for (const { instance, process, requests, after } of steps) {
        now += after
        board.report(reportOf(`i${instance}`, { [`p${process}`]: { requests } }), now)
        last.set(instance, { process, requests })
        const told = decodeRows(board.othersOf(loadKeyOf(`i${instance}`), [SERVICE], now).services[0]?.rows ?? '', now).rows
        const others = [...last].filter(([other, entry]) => other !== instance && entry.process === process).reduce((sum, [, entry]) => sum + entry.requests, 1)
        if (requests > 0) expect(told.get(loadKeyOf(`p${process}`))?.requests).toBe(others)
        // Where the instance has nothing, the figures of others may be 100 ms old, but never include its own earlier ones.
        for (let index = 0; index < 6; index++) {
          const isUsedByOthers = steps.some((step) => step.instance !== instance && step.process === index)
          if (!isUsedByOthers) expect(told.get(loadKeyOf(`p${index}`))?.requests).toBe(1)
        }
      }
      const [reader] = last.keys()
      for (const instance of [0, 1, 2]) if (instance !== reader) board.report(reportOf(`i${instance}`, {}), now)
      const told = decodeRows(board.othersOf(loadKeyOf(`i${reader}`), [SERVICE], now + 100).services[0]?.rows ?? '', now).rows
      for (let index = 0; index < 6; index++) expect(told.get(loadKeyOf(`p${index}`))?.requests).toBe(1)
    }), { numRuns: 100 })
  })
})

describe('the sums of several homes', () => {
  test('of other failure domains are added', () => {
    const board = createLoadBoard()
    board.report(reportOf('a', { p: { requests: 1 } }), NOW)
    board.learn(sumsOf('home-south', 'south', { s1: 4, s2: 6 }), 'north', NOW)
    board.learn(sumsOf('home-west', 'west', { w1: 20 }), 'north', NOW)
    expect(othersAt(board, 'a', 'p').requests).toBe(30)
    expect(board.ownSums(NOW).services[0]?.requests).toBe(1)
  })

  test('are replaced by newer ones and forgotten after 3 s', () => {
    const board = createLoadBoard()
    for (const at of [NOW, NOW + 1000]) {
      board.report(reportOf('a', {}), at)
      board.learn(sumsOf('home-south', 'south', { s1: at === NOW ? 4 : 5 }), 'north', at)
    }
    expect(othersAt(board, 'a', 'p', NOW + 1000).requests).toBe(5)
    board.report(reportOf('a', {}), NOW + 4001)
    expect(othersAt(board, 'a', 'p', NOW + 4001).requests).toBe(0)
  })

  // Guards against a domain whose instances are counted twice while two of its homes have heard of them.
  test('with an instance in common count once, and all of them once each instance is at one home', () => {
    fc.assert(fc.property(fc.uniqueArray(fc.nat(9), { minLength: 1 }), fc.uniqueArray(fc.nat(9), { minLength: 1 }), (atFirst, atSecond) => {
      const board = createLoadBoard()
      board.report(reportOf('a', {}), NOW)
      const requestsAt = (instances: readonly number[]): Record<string, number> => Object.fromEntries(instances.map((instance) => [`s${instance}`, 1]))
      board.learn(sumsOf('first', 'south', requestsAt(atFirst)), 'north', NOW)
      board.learn(sumsOf('second', 'south', requestsAt(atSecond)), 'north', NOW + 10)
      const { requests } = othersAt(board, 'a', 'p', NOW + 10)
      const isDisjoint = !atFirst.some((instance) => atSecond.includes(instance))
      expect(requests).toBe(isDisjoint ? atFirst.length + atSecond.length : Math.max(atFirst.length, atSecond.length))
    }))
  })

  // Guards against an instance that sees its own requests in the sums of the home at which it reported before.
  test('of the same domain leave out an instance that has gone over to this home', () => {
    const board = createLoadBoard()
    board.learn(sumsOf('other', 'north', { a: 5, b: 3 }, NOW - 500), 'north', NOW)
    board.report(reportOf('a', { p: { requests: 6 } }), NOW)
    expect(othersAt(board, 'a', 'p').requests).toBe(0)
    board.learn(sumsOf('other', 'north', { b: 3 }), 'north', NOW)
    expect(othersAt(board, 'a', 'p').requests).toBe(3)
  })

  test('of the same domain take over an instance that has gone to another home', () => {
    const board = createLoadBoard()
    for (const instance of ['a', 'b']) board.report(reportOf(instance, { p: { requests: 2 } }), NOW)
    board.learn(sumsOf('other', 'north', { a: 5 }, NOW + 200), 'north', NOW + 300)
    expect(othersAt(board, 'b', 'p', NOW + 300).requests).toBe(5)
    expect([...board.ownSums(NOW + 300).reporters.keys()]).toEqual([loadKeyOf('b')])
  })
})

describe('rows of load figures', () => {
  test('keep the figures, to the precision of a message', () => {
    const report = { running: 30, waiting: 2, slots: 32, workPercent: 140, receivedAt: NOW - 700 }
    const row = figures({ requests: 55, unansweredTokens: 9216, ratioSum: -0.4 * RATIO_UNITS, ratioCount: 3 * RATIO_UNITS, report, sent: 4, answered: 3, rejected: 1 })
    expect(decodeRows(encodeRow(loadKeyOf('p'), row, NOW), NOW)).toEqual({ rows: new Map([[loadKeyOf('p'), row]]), unreadable: undefined })
    expect(encodeRow(loadKeyOf('p'), figures(), NOW)).toBe('')
  })

  // Guards against messages of a later or broken instance that spoil the figures of all others.
  test.each([
    ['missing', 'abcdef', {}, false],
    ['empty', 'abcdef,,,', {}, false],
    ['negative', 'abcdef-5,3', { unansweredTokens: 96 }, true],
    ['huge', 'abcdefzzzzzzzz,3', { unansweredTokens: 96 }, true],
    ['too long', 'abcdef1000000000000,3', { unansweredTokens: 96 }, true],
    ['not numbers', 'abcdefNaN,3,x!', { unansweredTokens: 96 }, true],
    ['more than the known ones', 'abcdef2,3,,,,,,,,,,,9,9,later', { requests: 2, unansweredTokens: 96 }, false],
    ['ratios beyond those of any response', 'abcdef,,zzzzz,2', { ratioSum: 11.5 * RATIO_UNITS, ratioCount: RATIO_UNITS }, false]
  ])('that are %s leave the known ones usable', (_, text, expected, isUnreadable) => {
    const decoded = decodeRows(`${text};ghijkl1`, NOW)
    expect(decoded.rows.get('ghijkl')).toEqual(figures({ requests: 1 }))
    expect(decoded.rows.get('abcdef')).toEqual(figures(expected))
    expect(decoded.unreadable).toBe(isUnreadable ? text : undefined)
  })

  test('of any text are read without an error, and without figures below zero', () => {
    fc.assert(fc.property(fc.oneof(fc.string(), fc.stringMatching(/^([\w-]{6}(-?[0-9a-z]{0,9},){0,14};?){0,5}$/)), (text) => {
      for (const row of decodeRows(text, NOW).rows.values()) {
        for (const value of [row.requests, row.unansweredTokens, row.ratioCount, row.sent, row.answered, row.rejected]) expect(value).toBeGreaterThanOrEqual(0)
        expect(Math.abs(row.ratioSum)).toBeLessThanOrEqual(11.5 * row.ratioCount)
        expect(row.report?.workPercent ?? 1).toBeGreaterThan(0)
      }
    }))
  })
})
