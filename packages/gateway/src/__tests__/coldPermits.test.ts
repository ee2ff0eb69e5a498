import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import type { ColdLimit } from '../decisions/coldLimit.js'
import { createOwnShareIssuer, positionOf } from '../decisions/ownShare.js'
import { createPermitIssuer, noKnownLimit, type IssuingPower, type PermitIssuer } from '../decisions/permitIssuer.js'

const FIRST: IssuingPower = { fraction: 1, burst: 2 }
const SECOND: IssuingPower = { fraction: 0.5, burst: 1 }
const INSTANCES = 70
const COLD_BACKENDS = 20
const WARM_BACKENDS = 43
const REQUESTS_PER_SECOND = 340
const COLD_MS = 19_000
/** The second after the cold period is limited too; after it, backend servers take all requests. */
const DURATION_MS = COLD_MS + 1000
const SECOND_MS = 1000
/** Time for which a reply of a home is awaited; a permit is used within it. */
const MAX_USE_DELAY_MS = 120

type Home = { readonly issuer: PermitIssuer, readonly power: IssuingPower }

const ids = Array.from({ length: INSTANCES }, (_, index) => `instance${index}`)
/** Positions of all instances, by cold backend server. */
const positions = Array.from({ length: COLD_BACKENDS }, (_, backend) => ids.map((id) => positionOf(id, ids, `server${backend}`)))

interface Play {
  readonly seed: number
  readonly requestsPerSecond: number
  /** Home that an instance reaches at a time; undefined for none. */
  readonly homeOf: (instance: number, now: number) => Home | undefined
  /** How far the shared clock of an instance is off. */
  readonly clockError?: (instance: number, now: number) => number
}

function allowed (requestsPerSecond: number): number {
  return Math.floor(requestsPerSecond * 1.5 + 5)
}

/** Plays the page's load, with requests that try a random cold backend server first; returns when each cold one got requests. */
function playLoad ({ seed, requestsPerSecond, homeOf, clockError = () => 0 }: Play): readonly number[][] {
  const random = createSeededRandom(seed)
  const ownShares = ids.map(() => createOwnShareIssuer())
  const deniedUntil = new Map<string, number>()
  const arrivals: number[][] = Array.from({ length: COLD_BACKENDS }, () => [])
  for (let now = 0; now < DURATION_MS; now++) {
    if (random() >= REQUESTS_PER_SECOND / 1000) continue
    const instance = Math.floor(random() * INSTANCES)
    const backend = Math.floor(random() * (COLD_BACKENDS + WARM_BACKENDS))
    if (backend >= COLD_BACKENDS) continue
    const denialKey = `${instance}/${backend}`
    if ((deniedUntil.get(denialKey) ?? 0) > now) continue
    const backendProcess = `server${backend}/1`
    const sharedNow = now + clockError(instance, now)
    const cold: ColdLimit = { requestsPerSecond, until: sharedNow + COLD_MS - now }
    const home = homeOf(instance, now)
    const reply = home?.issuer.ask({ backendProcess, instanceId: ids[instance] ?? '', priority: 0, known: noKnownLimit, cold, demand: [] }, home.power, now)
    const permit = reply === undefined || reply.kind === 'unlimited'
      ? ownShares[instance]?.ask(backendProcess, { requestsPerSecond, instances: INSTANCES, position: positions[backend]?.[instance] ?? 0 }, sharedNow)
      : reply
    if (permit?.kind === 'granted') arrivals[backend]?.push(now + Math.floor(random() * MAX_USE_DELAY_MS))
    if (permit?.kind === 'denied') deniedUntil.set(denialKey, 'askAgainAt' in permit ? permit.askAgainAt : permit.freeAt - clockError(instance, now))
  }
  return arrivals.map((times) => times.sort((left, right) => left - right))
}

function mostInSecond (times: readonly number[]): number {
  return Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + SECOND_MS).length))
}

function createHome (power: IssuingPower): Home {
  return { issuer: createPermitIssuer(() => {}), power }
}

const plays = fc.record({ seed: fc.integer({ min: 1, max: 2 ** 31 }), requestsPerSecond: fc.double({ min: 0.3, max: 8, noNaN: true }) })

function expectKept (play: Play): void {
  for (const times of playLoad(play)) expect(mostInSecond(times)).toBeLessThanOrEqual(allowed(play.requestsPerSecond))
}

describe('20 cold backend servers of 63 before 70 instances', () => {
  // Guards against a crash of backend servers that return together and get their part of all requests.
  test('get no more than the rule allows in any second, and are not left idle', () => {
    fc.assert(fc.property(plays, ({ seed, requestsPerSecond }) => {
      const home = createHome(FIRST)
      const arrivals = playLoad({ seed, requestsPerSecond, homeOf: () => home })
      for (const times of arrivals) expect(mostInSecond(times)).toBeLessThanOrEqual(allowed(requestsPerSecond))
      // Each cold one is asked for by about five requests a second.
      const sent = arrivals.reduce((sum, times) => sum + times.length, 0)
      expect(sent).toBeGreaterThan(0.5 * Math.min(requestsPerSecond, 4) * COLD_BACKENDS * DURATION_MS / 1000)
    }), { numRuns: 20 })
  })

  test('keep to it when a third of the instances reach no peer', () => {
    fc.assert(fc.property(plays, ({ seed, requestsPerSecond }) => {
      const home = createHome(FIRST)
      expectKept({ seed, requestsPerSecond, homeOf: (instance) => instance % 3 === 0 ? undefined : home })
    }), { numRuns: 20 })
  })

  // Guards against instances that are cut off together and send one request each at the same moment.
  test('keep to it when no instance reaches another one', () => {
    fc.assert(fc.property(plays, ({ seed, requestsPerSecond }) => {
      expectKept({ seed, requestsPerSecond, homeOf: () => undefined })
    }), { numRuns: 20 })
  })

  test('keep to it when two homes issue at once', () => {
    fc.assert(fc.property(plays, ({ seed, requestsPerSecond }) => {
      const [first, second] = [createHome(FIRST), createHome(SECOND)]
      expectKept({ seed, requestsPerSecond, homeOf: (instance) => instance % 2 === 0 ? first : second })
    }), { numRuns: 20 })
  })

  // Guards against an issuer that is killed after a grant, and a successor that knows nothing of it.
  test('keep to it when the issuer is killed and a new process issues in its place', () => {
    fc.assert(fc.property(plays, ({ seed, requestsPerSecond }) => {
      const [killed, second, restarted] = [createHome(FIRST), createHome(SECOND), createHome(FIRST)]
      expectKept({ seed, requestsPerSecond, homeOf: (_, now) => now < 5000 ? killed : now < 9000 ? second : restarted })
    }), { numRuns: 20 })
  })

  // Guards against a cold period that a step of the shared clock ends early for some instances.
  test('keep to it when the shared clock of some instances steps', () => {
    fc.assert(fc.property(plays, fc.integer({ min: -30_000, max: 30_000 }), ({ seed, requestsPerSecond }, step) => {
      const home = createHome(FIRST)
      expectKept({ seed, requestsPerSecond, homeOf: () => home, clockError: (instance, now) => now > 4000 && instance % 4 === 0 ? step : 0 })
    }), { numRuns: 20 })
  })
})

describe('the issuer of permits', () => {
  const ask = (issuer: PermitIssuer, now: number, cold: ColdLimit | undefined, requestsPerSecond?: number): string => issuer.ask({ backendProcess: 'server/1', instanceId: 'instance', priority: 0, known: { requestsPerSecond, seenAt: now + 1 }, cold, demand: [] }, FIRST, now).kind

  test('limits by the smaller of the named limit and the cold one', () => {
    for (const [named, cold, expected] of [[2, 5, 2], [5, 2, 2], [undefined, 2, 2]] as const) {
      const issuer = createPermitIssuer(() => {})
      const granted = Array.from({ length: 1000 }, (_, index) => index * 10).filter((now) => ask(issuer, now, { requestsPerSecond: cold, until: 60_000 }, named) === 'granted')
      expect(granted.length).toBeGreaterThanOrEqual(expected * 10)
      expect(granted.length).toBeLessThanOrEqual(expected * 10 + 2)
    }
  })

  // Guards against a limit that an instance with older news shortens, and against one that ends with the cold period.
  test('keeps the latest end, and limits for a second after it', () => {
    const issuer = createPermitIssuer(() => {})
    ask(issuer, 0, { requestsPerSecond: 1, until: 10_000 })
    ask(issuer, 1, { requestsPerSecond: 1, until: 5000 })
    expect(ask(issuer, 10_950, undefined)).not.toBe('unlimited')
    expect(ask(issuer, 11_001, undefined)).toBe('unlimited')
  })

  test('ignores an end that is more than a day away or no number', () => {
    for (const until of [90_000_000, Infinity, NaN, -5000]) expect(ask(createPermitIssuer(() => {}), 0, { requestsPerSecond: 1, until })).toBe('unlimited')
  })
})
