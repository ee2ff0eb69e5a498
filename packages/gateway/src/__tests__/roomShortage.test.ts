import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createRoomShortage, type FleetFigures } from '../decisions/roomShortage.js'

function figures (changes: Partial<FleetFigures> = {}): FleetFigures {
  return { sentPerSecond: 100, rejectedPerSecond: 3, asOf: 1000, ...changes }
}

describe('the decision whether a service is short of room', () => {
  test('starts with the second rejection within two seconds, and ends five seconds after the last one', () => {
    const shortage = createRoomShortage()
    expect(shortage.noteRejection(1000)).toBeUndefined()
    expect(shortage.noteRejection(3000)).toBe('started')
    expect(shortage.noteRejection(4000)).toBeUndefined()
    expect(shortage.check(8999)).toBeUndefined()
    expect(shortage.check(9000)).toBe('ended')
    expect(shortage.check(9001)).toBeUndefined()
  })

  // Guards against engines, which reject rarely, whose requests then all wait in a line.
  test('does not start with single rejections that are further apart', () => {
    const shortage = createRoomShortage()
    for (const at of [0, 2001, 4002, 6003]) expect(shortage.noteRejection(at)).toBeUndefined()
    expect(shortage.isShort).toBe(false)
  })

  // Guards against an instance that sends to full servers although all others know that they are full.
  test('starts when the fleet has more than 2 in 100 requests rejected', () => {
    expect(createRoomShortage().noteFleet(figures({ rejectedPerSecond: 2 }), 1000)).toBeUndefined()
    expect(createRoomShortage().noteFleet(figures({ rejectedPerSecond: 2.1 }), 1000)).toBe('started')
  })

  // Guards against a shortage that never ends because the same old figure is read with each request.
  test('ends five seconds after the time of the fleet\'s last such figure', () => {
    const shortage = createRoomShortage()
    shortage.noteFleet(figures(), 1000)
    shortage.noteFleet(figures(), 5900)
    expect(shortage.check(5999)).toBeUndefined()
    expect(shortage.check(6000)).toBe('ended')
    expect(shortage.noteFleet(figures(), 6001)).toBeUndefined()
  })

  test.each([{ rejectedPerSecond: NaN }, { rejectedPerSecond: -5 }, { sentPerSecond: 0 }, { sentPerSecond: NaN }])('is not started by the figures %j', (changes) => {
    const shortage = createRoomShortage()
    shortage.noteFleet(figures(changes), 1000)
    expect(shortage.isShort).toBe(false)
  })

  // Guards against a shortage that ends every five seconds under lasting overload, because the line has kept the servers from rejecting.
  test('goes on while requests are denied room, which never starts one', () => {
    const shortage = createRoomShortage()
    shortage.noteDenial(0)
    expect(shortage.isShort).toBe(false)
    shortage.noteRejection(0)
    shortage.noteRejection(1)
    shortage.noteDenial(4000)
    expect(shortage.check(8999)).toBeUndefined()
    expect(shortage.check(9000)).toBe('ended')
  })

  test('property: it is on exactly from the second of two close rejections until five seconds after the last one', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 7000 }), { maxLength: 40 }), (gaps) => {
      const shortage = createRoomShortage()
      let now = 0
      let lastAt = -Infinity
      let isExpected = false
      for (const gap of gaps) {
        now += gap
        if (now - lastAt >= 5000) isExpected = false
        shortage.check(now)
        expect(shortage.isShort).toBe(isExpected)
        shortage.noteRejection(now)
        isExpected ||= now - lastAt <= 2000
        lastAt = now
        expect(shortage.isShort).toBe(isExpected)
      }
    }), { seed: 7 })
  })
})
