import { describe, expect, test } from '@jest/globals'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import type { Decision } from '@quinceshunt/effects'
import { Simulation } from '../__fixtures__/simulation.js'
import { releaseExplained } from '../endTrial.js'
import { storedSuspect, suspectKey, suspectWrite, SUSPECT_PREFIX } from '../quarantineRecords.js'
import { recordCrash } from '../recordCrash.js'
import { SETTLE_MILLISECONDS, startTrial, type TrialStart } from '../startTrial.js'
import type { StoreCommand } from '../storeCommands.js'

/** One table, on which decisions run to their end one after the other. */
class Bench {
  readonly simulation = new Simulation(() => {})
  readonly gone = new Set<string>()

  run<Result> (decision: Decision<StoreCommand, Result>): Result {
    let result: { value: Result } | undefined
    this.simulation.start('any', decision, (value: Result) => { result = { value } })
    this.simulation.finish(200)
    return result!.value
  }

  crash (incarnation: string, fingerprints: readonly string[], backendServer = 's1', at = this.simulation.now): void {
    this.run(recordCrash({ backendServer, fingerprints, incarnation, at }))
  }

  start (fingerprint: string, incarnation: string, backendServer: string): TrialStart {
    const evidence = { holderIsGone: (holder: string) => this.gone.has(holder), hasTrial: () => true, backendServerIncarnation: () => '' }
    return this.run(startTrial({ fingerprint, candidates: [backendServer], incarnation, known: undefined, evidence }))
  }

  /** Puts a fingerprint on trial after it has settled. */
  try (fingerprint: string, incarnation: string, backendServer: string): void {
    this.simulation.now += SETTLE_MILLISECONDS
    expect(this.start(fingerprint, incarnation, backendServer)).toMatchObject({ kind: 'started', backendServer })
  }

  record (fingerprint: string): SuspectRecord {
    return storedSuspect(this.simulation.table.read([suspectKey(fingerprint)])[0]!).record!
  }

  records (): Map<string, SuspectRecord> {
    return new Map(this.simulation.table.scan(SUSPECT_PREFIX, '', 100).rows.map((row) => storedSuspect(row).record!).map((record) => [record.fingerprint, record]))
  }
}

describe('crash quarantine, case by case', () => {
  // Guards against a trial that starts before other instances have reported their copies.
  test('a suspect is not tried before it has settled', () => {
    const bench = new Bench()
    bench.crash('one', ['x'])
    expect(bench.start('x', 'one', 's2')).toEqual({ kind: 'wait', reason: 'settling' })
  })

  // Guards against a trial evaluated by the report of an earlier crash, or by an instance that can't know whether it ran.
  test('only the holder\'s report of a crash during the trial evaluates it', () => {
    const bench = new Bench()
    bench.crash('one', ['x'])
    const earlier = bench.simulation.now
    bench.try('x', 'one', 's2')
    bench.crash('one', ['x'], 's2', earlier)
    expect(bench.record('x').state).toBe(SuspectState.ON_TRIAL)
    bench.crash('two', ['x'], 's2')
    expect(bench.record('x').state).toBe(SuspectState.ON_TRIAL)
    bench.crash('one', ['x'], 's2')
    expect(bench.record('x').state).toBe(SuspectState.QUARANTINED)
  })

  // Guards against a poison request that is tried again because its holder died with the backend server.
  test('another instance\'s report counts once the holder is gone', () => {
    const bench = new Bench()
    bench.crash('one', ['x'])
    bench.try('x', 'one', 's2')
    bench.crash('two', ['bystander'], 's2')
    expect(bench.start('x', 'two', 's3')).toEqual({ kind: 'wait', reason: 'onTrial' })
    expect(bench.record('x').state).toBe(SuspectState.ON_TRIAL)
    bench.gone.add('one')
    bench.start('x', 'two', 's3')
    expect(bench.record('x').state).toBe(SuspectState.QUARANTINED)
  })

  // Guards against an unrelated request that is quarantined, or a poison request that is tried again, on evidence that fits both.
  test.each([['two', SuspectState.QUARANTINED], ['one', SuspectState.CLEARED]])('a crash beside another suspect, reported by %s, is held until that one is decided', (reporter, neighbourState) => {
    const bench = new Bench()
    bench.crash('one', ['x', 'y'])
    bench.try('x', 'one', 's2')
    if (reporter === 'one') bench.crash('one', ['x', 'y'], 's2')
    else {
      bench.crash('one', ['x'], 's2')
      bench.crash('two', ['y'], 's2', bench.simulation.now + 100)
    }
    expect(bench.record('x').state).toBe(SuspectState.SUSPECT)
    bench.simulation.now += 2 * SETTLE_MILLISECONDS
    expect(bench.start('x', 'one', 's3')).toEqual({ kind: 'wait', reason: 'held' })
    const decided = { ...bench.record('y'), state: neighbourState }
    bench.simulation.table.transact([], [{ key: suspectKey('y'), value: suspectWrite(decided).value, delete: false }])
    expect(bench.start('x', 'one', 's3').kind).toBe(neighbourState === SuspectState.CLEARED ? 'quarantined' : 'started')
  })

  // Guards against an unrelated request that stays quarantined although a neighbour, unknown at that time, has proved to be the cause.
  test('a quarantine is released once a neighbour at its crash is quarantined, but not when each names the other', () => {
    const bench = new Bench()
    bench.crash('one', ['x'])
    bench.try('x', 'one', 's2')
    bench.crash('one', ['x', 'poison'], 's2')
    expect(bench.record('x').state).toBe(SuspectState.QUARANTINED)
    expect(bench.run(releaseExplained(bench.record('x'), bench.records()))).toBeUndefined()
    bench.try('poison', 'two', 's3')
    bench.crash('two', ['poison'], 's3')
    const records = bench.records()
    const mutual = new Map(records).set('poison', { ...records.get('poison')!, neighbours: ['x'] })
    expect(bench.run(releaseExplained(records.get('x')!, mutual))).toBeUndefined()
    expect(bench.run(releaseExplained(records.get('x')!, records))).toMatchObject({ state: SuspectState.SUSPECT })
  })
})
