import { describe, expect, test } from '@jest/globals'
import { createTestBackend } from '../__fixtures__/backends.js'
import { createBackendAcceptance, selectAccepting } from '../decisions/backendAcceptance.js'

const DRAIN_MS = 2000

describe('backend servers that leave', () => {
  const leaving = createTestBackend('i-1')
  const other = createTestBackend('i-2')

  // Guards against requests to a leaving backend server where another one can take them.
  test('get no requests while there is another one, also within the drain time', () => {
    const acceptance = createBackendAcceptance()
    expect(acceptance.markLeaving('i-1/0', 1000)).toBe(true)
    expect(acceptance.markLeaving('i-1/0', 1500)).toBe(false)
    expect(selectAccepting([leaving, other], acceptance, { receivedAt: 1000, drainMilliseconds: DRAIN_MS })).toEqual([other])
  })

  // Guards against refusals while the only backend server still serves, and against requests after that, however long they waited.
  test('serve requests that were received within the drain time when there is no other one', () => {
    const acceptance = createBackendAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    acceptance.markLeaving('i-1/0', 1500)
    expect(selectAccepting([leaving], acceptance, { receivedAt: 2999, drainMilliseconds: DRAIN_MS })).toEqual([leaving])
    expect(selectAccepting([leaving], acceptance, { receivedAt: 3000, drainMilliseconds: DRAIN_MS })).toEqual([])
  })

  test('are told apart by their start time', () => {
    const acceptance = createBackendAcceptance()
    acceptance.markLeaving('i-1/0', 1000)
    const restarted = createTestBackend('i-1', { startedAt: 5 })
    expect(selectAccepting([restarted], acceptance, { receivedAt: 9000, drainMilliseconds: DRAIN_MS })).toEqual([restarted])
  })

  // Guards against memory that grows with the number of backend servers that ever left.
  test('are forgotten after a thousand others', () => {
    const acceptance = createBackendAcceptance()
    for (let index = 0; index <= 1000; index++) acceptance.markLeaving(`i-${index}/0`, index)
    expect(acceptance.acceptanceOf('i-0/0')).toEqual({ kind: 'accepting' })
    expect(acceptance.acceptanceOf('i-1/0')).toEqual({ kind: 'leaving', since: 1 })
  })
})
