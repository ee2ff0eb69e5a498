import { describe, expect, test } from '@jest/globals'
import { createVersionHistory, STREAM_LIFETIME_MS, type VersionedEntry } from '../decisions/versionHistory.js'

const entry = (id: string, version: string, service = 'model'): VersionedEntry => ({ id, service, version })

describe('the only version of a service', () => {
  test('is the one that all listed backend servers have', () => {
    const history = createVersionHistory()
    expect(history.onlyVersion('model', 0)).toBeUndefined()
    history.add(entry('a', 'v1'))
    history.add(entry('b', 'v1'))
    history.add(entry('c', 'v2', 'ledger'))
    expect(history.onlyVersion('model', 0)).toBe('v1')
    history.add(entry('d', 'v2'))
    expect(history.onlyVersion('model', 0)).toBeUndefined()
  })

  // Guards against a stream of the last release that goes on at the new one because nothing else is listed any more.
  test('is not told until all streams of a removed version have expired', () => {
    const history = createVersionHistory()
    history.add(entry('a', 'v1'))
    history.remove(entry('a', 'v1'), 1000)
    history.add(entry('b', 'v2'))
    expect(history.onlyVersion('model', 1000)).toBeUndefined()
    expect(history.mixedUntil('model', 1000)).toBe(1000 + STREAM_LIFETIME_MS)
    expect(history.onlyVersion('model', 1000 + STREAM_LIFETIME_MS)).toBe('v2')
  })

  test('is still told when a backend server of that version leaves or comes back', () => {
    const history = createVersionHistory()
    history.add(entry('a', 'v1'))
    history.add(entry('b', 'v1'))
    history.remove(entry('a', 'v1'), 1000)
    expect(history.onlyVersion('model', 1000)).toBe('v1')
    history.remove(entry('b', 'v1'), 2000)
    history.add(entry('c', 'v1'))
    expect(history.onlyVersion('model', 2000)).toBe('v1')
  })

  // Guards against a process that starts after a release and sees only what is listed then.
  test('is not told while another instance knows that versions differed', () => {
    const history = createVersionHistory()
    history.add(entry('a', 'v2'))
    history.learnMixed('model', 5000)
    history.learnMixed('model', 3000)
    expect(history.onlyVersion('model', 4999)).toBeUndefined()
    expect(history.onlyVersion('model', 5000)).toBe('v2')
  })
})

describe('a backend server that comes back at another version', () => {
  test('makes the answers of the last moments doubtful', () => {
    const history = createVersionHistory()
    history.add(entry('a', 'v1'))
    history.replace(entry('a', 'v1'), entry('a', 'v1'), 5000)
    expect(history.isDoubtful('a', 5000)).toBe(false)
    history.replace(entry('a', 'v1'), entry('a', 'v2'), 10_000)
    expect([7000, 9000, 10_000, 10_001].map((answeredAt) => history.isDoubtful('a', answeredAt))).toEqual([false, true, true, false])
    expect(history.isDoubtful('b', 10_000)).toBe(false)
    expect(history.onlyVersion('model', 10_000)).toBeUndefined()
    expect(history.onlyVersion('model', 10_000 + STREAM_LIFETIME_MS)).toBe('v2')
  })
})
