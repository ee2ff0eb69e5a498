import { describe, expect, test } from '@jest/globals'
import { createSharedLimit } from '@quinceshunt/memory-limits'
import fc from 'fast-check'
import { chooseTarget, indexConfiguration } from '../decisions/configurationIndex.js'
import { createTokenLedger } from '../decisions/tokenLedger.js'
import { createEventSplitter } from '../decisions/eventSplitter.js'
import { grantChange, limitGrowthRate, targetFreeTokens, usageAllowance } from '../decisions/grantSizing.js'
import { reclaimableTokens } from '../decisions/leaseRow.js'
import { createRetryShares } from '../decisions/retryShares.js'
import { SEAL_DURATION_MS } from '../tasks/tokenTiming.js'
import type { FleetConfiguration, Route } from '../fleetConfiguration.js'

function routeTo (pathPrefix: string, changes: Partial<Route> = {}): Route {
  return { name: pathPrefix, host: 'desk.example', pathPrefix, deliverySemantics: { kind: 'idempotent' }, timeoutMilliseconds: 1000, latencyTargetMilliseconds: 300, eventGapTargetMilliseconds: 0, priority: 0, targets: [{ service: 'ledger', weight: 1 }], maximumAttempts: 1, isPublic: false, ...changes }
}

function configurationWith (routes: readonly Route[]): FleetConfiguration {
  return {
    version: 1,
    routes,
    services: [],
    accounts: [{ name: 'school', keys: ['good'], priority: undefined, prepaidTokens: 10 }],
    limits: { maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 }
  }
}

describe('lookup of routes and keys', () => {
  const index = indexConfiguration(configurationWith([routeTo('/a/'), routeTo('/a/b/'), routeTo('/open/', { isPublic: true })]))

  test('the longest prefix wins, and the case and port of the host are ignored', () => {
    expect(index.admit('Desk.Example:80', '/a/b/c', 'good')).toMatchObject({ kind: 'allowed', route: { pathPrefix: '/a/b/' } })
    expect(index.admit('desk.example', '/a/c', 'good')).toMatchObject({ kind: 'allowed', route: { pathPrefix: '/a/' } })
  })

  test('unknown hosts, paths and keys are not admitted', () => {
    expect(index.admit('other.example', '/a/', 'good').kind).toBe('unknownRoute')
    expect(index.admit('desk.example', '/ab', 'good').kind).toBe('unknownRoute')
    expect(index.admit('desk.example', '/a/', 'bad').kind).toBe('unknownKey')
    expect(index.admit('desk.example', '/open/', '').kind).toBe('allowed')
  })

  test('targets are chosen by weight', () => {
    const targets = [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }]
    expect(chooseTarget(targets, 0.89)).toBe('old')
    expect(chooseTarget(targets, 0.91)).toBe('new')
    expect(chooseTarget([], 0.5)).toBeUndefined()
  })
})

describe('server-sent event streams', () => {
  test('only complete events are forwarded, and no byte is lost, for any chunking', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 }), fc.boolean(), (chunkSizes, usesCarriageReturns) => {
      const end = usesCarriageReturns ? '\r\n' : '\n'
      const text = Array.from({ length: 12 }, (_, event) => `id: ${event}${end}data: x${event}${end}${end}`).join('')
      const splitter = createEventSplitter()
      let forwarded = ''
      let events = 0
      let lastEventId = ''
      let position = 0
      for (let chunk = 0; position < text.length; chunk++) {
        const size = chunkSizes[chunk % chunkSizes.length] ?? 1
        const complete = splitter.push(Buffer.from(text.slice(position, position + size)))
        position += size
        forwarded += complete.bytes.toString()
        events += complete.events
        lastEventId = complete.lastEventId === '' ? lastEventId : complete.lastEventId
        expect(forwarded === '' || forwarded.endsWith(end + end)).toBe(true)
      }
      expect({ forwarded, events, lastEventId, bufferedBytes: splitter.bufferedBytes }).toEqual({ forwarded: text, events: 12, lastEventId: '11', bufferedBytes: 0 })
    }))
  })

  // Guards against events that are lost or joined wrongly when a blank line falls between two chunks.
  test('the events do not depend on how the stream is cut into chunks', () => {
    const stream = Buffer.from('id: 1\ndata: a\n\n: comment\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\nid: 4')
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 80, maxLength: 80 }), (sizes) => {
      const splitter = createEventSplitter()
      const forwarded: Buffer[] = []
      let events = 0
      for (let position = 0, index = 0; position < stream.length; index++) {
        const size = sizes[index % sizes.length] ?? 1
        const complete = splitter.push(stream.subarray(position, position + size))
        forwarded.push(complete.bytes)
        events += complete.events
        position += size
      }
      expect(events).toBe(3)
      expect(Buffer.concat(forwarded).toString()).toBe(stream.subarray(0, -5).toString())
      expect(splitter.bufferedBytes).toBe(5)
    }))
  })

  test('an event without end is given up, and its bytes are not kept', () => {
    const splitter = createEventSplitter()
    for (let index = 0; index < 1000; index++) splitter.push(Buffer.alloc(16_384, 'x'))
    expect(splitter.isOverflowing).toBe(true)
    expect(splitter.bufferedBytes).toBeLessThan(300_000)
  })

  // Guards against incomplete events of many streams that fill the memory, as each of them is kept.
  test('incomplete events of one sender have at most half of the limit together, and whole ones leave it', () => {
    const MIB = 1_048_576
    const limit = createSharedLimit(4 * MIB)
    const splitters = Array.from({ length: 40 }, () => createEventSplitter(() => limit.open('flooding')))
    for (const splitter of splitters) for (let part = 0; part < 15; part++) splitter.push(Buffer.alloc(16_384, 'x'))
    const refused = splitters.filter(({ isOverflowing }) => isOverflowing)
    expect(refused.length).toBeGreaterThan(20)
    expect(refused.length).toBeLessThan(40)
    expect(limit.bytesOf('flooding')).toBeLessThanOrEqual(2 * MIB)
    const sound = createEventSplitter(() => limit.open('sound'))
    sound.push(Buffer.from(`id: 1\ndata: ${'x'.repeat(200_000)}`))
    expect(limit.bytesOf('sound')).toBeGreaterThan(0)
    expect(sound.push(Buffer.from('\n\n'))).toMatchObject({ events: 1 })
    expect(limit.bytesOf('sound')).toBe(0)
    for (const splitter of splitters) splitter.release()
    expect(limit.heldBytes).toBe(0)
  })

  test('an incomplete event is buffered', () => {
    const splitter = createEventSplitter()
    expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toMatchObject({ events: 1, lastEventId: '1' })
    expect(splitter.bufferedBytes).toBeGreaterThan(0)
  })
})

describe('one account used at uneven rates, with store outages and killed instances', () => {
  const idle = { free: 0, missingTokens: 0, rate: 0, ungranted: 1_000_000, drawable: 1_000_000, rank: 0 }

  test('a busy home holds enough tokens for an outage, all homes of an idle account a small share', () => {
    expect(targetFreeTokens({ ...idle, rate: 10 })).toBeGreaterThanOrEqual(10 * 8000)
    const shares = [0, 1, 2].map((rank) => targetFreeTokens({ ...idle, rank }))
    expect(shares.reduce((sum, share) => sum + share, 0)).toBeLessThanOrEqual(1_000_000 / 5)
  })

  test('near exhaustion one instance does not draw all remaining tokens in advance', () => {
    expect(grantChange({ ...idle, rate: 1000, ungranted: 40_000, drawable: 40_000 })).toBeLessThanOrEqual(20_000)
  })

  test('tokens for waiting requests are drawn in full or not at all', () => {
    expect(grantChange({ ...idle, missingTokens: 5000, ungranted: 5000, drawable: 5000 })).toBe(5000)
    expect(grantChange({ ...idle, missingTokens: 5001, ungranted: 5000, drawable: 5000 })).toBe(0)
  })

  test('an instance without callers returns tokens of a large grant', () => {
    expect(grantChange({ ...idle, free: 200_000 })).toBeLessThan(0)
  })

  test('the allowance does not exceed the free tokens', () => {
    expect(usageAllowance(1000, 500, 1_000_000)).toBe(500)
  })

  test('the allowances of idle instances add up to a small part of a small account', () => {
    const instances = 12
    expect(instances * usageAllowance(0, 100_000, 400_000)).toBeLessThanOrEqual(400_000 * 0.1)
  })

  test('a proposed limit and growth rate apply at once when lower, and only after confirmation when higher', () => {
    const ledger = createTokenLedger(() => 0)
    ledger.addGranted(1000)
    ledger.confirmLimit(500, 0.1)
    expect([ledger.usable(0), ledger.usable(1000)]).toEqual([500, 600])
    ledger.proposeLimit(300, 0.01)
    expect([ledger.usable(0), ledger.usable(1000)]).toEqual([300, 310])
    ledger.proposeLimit(900, 1)
    expect([ledger.usable(0), ledger.usable(1000)]).toEqual([300, 310])
    expect(ledger.reserve(301, 0)).toBe(false)
    ledger.confirmLimit(900, 1)
    expect([ledger.usable(0), ledger.usable(1000)]).toEqual([900, 1000])
  })

  test('only sealed tokens are reclaimed, less those that became usable after the seal', () => {
    const row = { lifetime: 'a.1', sequence: 3, sealedUntil: 5000, accounts: { school: { held: 100, limit: 30, opening: 0.01 }, museum: { held: 10, limit: 10, opening: 0 } } }
    expect([...reclaimableTokens(row, 5000)]).toEqual([['school', 70]])
    expect([...reclaimableTokens(row, 9000)]).toEqual([['school', 30]])
    expect([...reclaimableTokens(row, 12_000)]).toEqual([])
  })

  test('the usage limit of an instance without the store stays ahead of its use during an outage', () => {
    const rate = 10
    const held = targetFreeTokens({ ...idle, rate })
    const allowance = usageAllowance(rate, held, 10_000_000)
    for (let since = 0; since <= 5000; since += 100) {
      expect(Math.min(held, allowance + limitGrowthRate(rate, held - allowance) * since)).toBeGreaterThanOrEqual(Math.min(held, rate * (since + SEAL_DURATION_MS)))
    }
  })

  test('a kill loses at most two seconds of use, and at most three some seconds into an outage', () => {
    const rate = 10
    const allowance = usageAllowance(rate, 1_000_000, 10_000_000)
    expect(allowance).toBeLessThanOrEqual(rate * 2000)
    for (let since = 0; since <= 4000; since += 100) {
      const unsealed = allowance + limitGrowthRate(rate, targetFreeTokens({ ...idle, rate }) - allowance) * since
      expect(unsealed - rate * (since + SEAL_DURATION_MS)).toBeLessThanOrEqual(rate * 3000)
    }
  })
})

describe('failures that make all instances retry at once', () => {
  test('the fleet stays within ratio and slack in every window, for any fleet size', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.integer({ min: 1, max: 40 }), (instances, requestsPerSecond) => {
      const limits = { ratio: 0.2, slack: 58, windowMilliseconds: 10_000 }
      const shares = Array.from({ length: instances }, () => createRetryShares(limits, () => instances, -2 * limits.windowMilliseconds))
      const retries: number[] = []
      const seconds = 30
      for (let now = 0; now < seconds * 1000; now += 1000) {
        let acquired = 0
        for (const share of shares) {
          for (let request = 0; request < requestsPerSecond; request++) share.recordRequest('model', now)
          for (let attempt = 0; attempt < 50; attempt++) {
            const reserved = share.tryAcquireWithReturn('model', now)
            reserved?.consume()
            if (reserved !== undefined) acquired += 2
            else if (share.tryAcquireRetry('model', now)) acquired++
          }
        }
        retries.push(acquired)
      }
      for (let start = 0; start + 10 <= seconds; start++) {
        const inWindow = retries.slice(start, start + 10).reduce((sum, count) => sum + count, 0)
        expect(inWindow).toBeLessThanOrEqual(limits.ratio * requestsPerSecond * instances * 10 + limits.slack)
      }
    }))
  })
})
