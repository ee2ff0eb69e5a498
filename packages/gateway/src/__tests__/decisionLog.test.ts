import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createDecisionLog } from '../tasks/decisionLog.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

describe('log rate limits', () => {
  test('lines of one name are limited, dropped ones are counted, and events are always written', () => {
    const lines: string[] = []
    const log = createDecisionLog({ instanceId: 'edge-1', level: 'info', write: (line) => { lines.push(line) } })
    for (let request = 0; request < 5000; request++) log.decision('requestServed', { request: `r-${request}` })
    log.event('storeLost', { table: 'configuration' })
    expect(lines.length).toBeLessThanOrEqual(41)
    jest.advanceTimersByTime(2100)
    const dropped = lines.map((line) => JSON.parse(line)).find((line) => line.event === 'linesDropped')
    expect(dropped).toMatchObject({ of: 'requestServed', count: 4960 })
    expect(lines.some((line) => line.includes('storeLost'))).toBe(true)
  })

  test('one name does not use up the limit of another', () => {
    const lines: string[] = []
    const log = createDecisionLog({ instanceId: 'edge-1', level: 'info', write: (line) => { lines.push(line) } })
    for (let count = 0; count < 200; count++) log.decision('tokensMoved', {})
    log.decision('requestNotServed', { request: 'r-1' })
    expect(lines.at(-1)).toContain('r-1')
  })
})
