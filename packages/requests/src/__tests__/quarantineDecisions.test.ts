import { describe, expect, test } from '@jest/globals'
import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import type { Decision } from '@quinceshunt/effects'
import { Simulation } from '../__fixtures__/simulation.js'
import { releaseExplainedQuarantine } from '../endTrial.js'
import { decodeSuspect, suspectKey, suspectWrite, SUSPECT_PREFIX } from '../quarantineRecords.js'
import { recordCrash } from '../recordCrash.js'
import { SETTLING_PERIOD_MS, startTrial, type TrialStart } from '../startTrial.js'
import type { StoreCommand } from '../storeCommands.js'

/** Runs decisions one after the other to completion on a shared table. */
class QuarantineFixture {
  readonly simulation = new Simulation(() => {})
  readonly goneInstances = new Set<string>()
  readonly #trials = new Map<string, { readonly fingerprint: string, readonly startedAt: number }>()

  run<Result> (decision: Decision<StoreCommand, Result>): Result {
    let result: { value: Result } | undefined
    this.simulation.start('any', decision, (value: Result) => { result = { value } })
    this.simulation.finish(200)
    return result!.value
  }

  /** By default the crash ends the reporter's trial on the backend server, if it was started by then. */
  crash (incarnation: string, fingerprints: readonly string[], backendServer = 's1', observedAt = this.simulation.now, trialFingerprint = this.#trialAt(incarnation, backendServer, observedAt)): void {
    this.run(recordCrash({ backendServer, fingerprints, trialFingerprint: trialFingerprint === '' ? undefined : trialFingerprint, incarnation, observedAt }))
  }

  /** Fingerprint on trial, empty if there was none. */
  #trialAt (incarnation: string, backendServer: string, at: number): string {
    const trial = this.#trials.get(`${incarnation} ${backendServer}`)
    return trial !== undefined && trial.startedAt <= at ? trial.fingerprint : ''
  }

  start (fingerprint: string, incarnation: string, backendServer: string): TrialStart {
    const evidence = { holderIsGone: (holder: string) => this.goneInstances.has(holder), hasTrial: () => true, suspectedFingerprints: () => [], backendServerIncarnation: () => '' }
    return this.run(startTrial({ fingerprint, candidates: [backendServer], incarnation, known: undefined, evidence }))
  }

  /** Advances the time by the settling period and expects the trial to start. */
  startTrialAfterSettling (fingerprint: string, incarnation: string, backendServer: string): void {
    this.simulation.now += SETTLING_PERIOD_MS
    expect(this.start(fingerprint, incarnation, backendServer)).toMatchObject({ kind: 'started', backendServer })
    this.#trials.set(`${incarnation} ${backendServer}`, { fingerprint, startedAt: this.simulation.now })
  }

  record (fingerprint: string): SuspectRecord {
    return decodeSuspect(this.simulation.table.read([suspectKey(fingerprint)])[0]!).record!
  }

  records (): Map<string, SuspectRecord> {
    return new Map(this.simulation.table.scan(SUSPECT_PREFIX, '', 100).rows.map((row) => decodeSuspect(row).record!).map((record) => [record.fingerprint, record]))
  }
}

describe('crash quarantine decisions', () => {
  // Guards against a trial that starts before other instances have reported the copies they had in flight.
  test('a trial does not start before the settling period has passed', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x'])
    expect(fixture.start('x', 'one', 's2')).toEqual({ kind: 'wait', reason: 'settling' })
  })

  // Guards against a trial decided by a report of an earlier crash, or by an instance that can't know whether the trial was running.
  test('a trial is decided only by its holder\'s report of a crash during the trial', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x'])
    const earlier = fixture.simulation.now
    fixture.startTrialAfterSettling('x', 'one', 's2')
    fixture.crash('one', ['x'], 's2', earlier)
    expect(fixture.record('x').state).toBe(SuspectState.ON_TRIAL)
    fixture.crash('two', ['x'], 's2')
    expect(fixture.record('x').state).toBe(SuspectState.ON_TRIAL)
    fixture.crash('one', ['x'], 's2')
    expect(fixture.record('x').state).toBe(SuspectState.QUARANTINED)
  })

  // Guards against a second trial on a backend server: the crash of an earlier copy ended a trial that had just started there.
  test('the crash of an earlier copy in the millisecond in which the trial starts does not decide the trial', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x'])
    fixture.startTrialAfterSettling('x', 'one', 's2')
    fixture.crash('one', ['x', 'bystander'], 's2', fixture.simulation.now, '')
    expect(fixture.record('x')).toMatchObject({ state: SuspectState.ON_TRIAL, crashCount: 2 })
    fixture.crash('one', ['x'], 's2')
    expect(fixture.record('x').state).toBe(SuspectState.QUARANTINED)
  })

  // Guards against an unrelated request that stays quarantined because its trial's holder died and the neighbour was reported later.
  test('a report that arrives after a trial of a gone holder was decided still names the neighbours of that crash', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x', 'poison'])
    fixture.startTrialAfterSettling('x', 'two', 's2')
    const crashedAt = fixture.simulation.now += 1
    fixture.crash('three', ['bystander'], 's2')
    fixture.goneInstances.add('two')
    fixture.start('x', 'one', 's3')
    expect(fixture.record('x').state).toBe(SuspectState.QUARANTINED)
    fixture.crash('one', ['poison'], 's2', crashedAt)
    expect(fixture.record('x')).toMatchObject({ state: SuspectState.SUSPECT, neighbours: expect.arrayContaining(['poison']) })
  })

  // Guards against another trial of a poison request because its holder died together with the backend server.
  test('a report of another instance decides a trial whose holder is gone', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x'])
    fixture.startTrialAfterSettling('x', 'one', 's2')
    fixture.simulation.now += 1
    fixture.crash('two', ['bystander'], 's2')
    expect(fixture.start('x', 'two', 's3')).toEqual({ kind: 'wait', reason: 'onTrial' })
    expect(fixture.record('x').state).toBe(SuspectState.ON_TRIAL)
    fixture.goneInstances.add('one')
    fixture.start('x', 'two', 's3')
    expect(fixture.record('x').state).toBe(SuspectState.QUARANTINED)
  })

  // Guards against quarantining an unrelated request, or retrying a poison request, when either may have caused the crash.
  test.each([['two', SuspectState.QUARANTINED], ['one', SuspectState.CLEARED]])('a suspect whose trial crashed with another suspect in flight, reported by %s, is held until the other one is decided', (reporter, neighbourState) => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x', 'y'])
    fixture.startTrialAfterSettling('x', 'one', 's2')
    if (reporter === 'one') fixture.crash('one', ['x', 'y'], 's2')
    else {
      fixture.crash('one', ['x'], 's2')
      fixture.crash('two', ['y'], 's2', fixture.simulation.now + 100)
    }
    expect(fixture.record('x').state).toBe(SuspectState.SUSPECT)
    fixture.simulation.now += 2 * SETTLING_PERIOD_MS
    expect(fixture.start('x', 'one', 's3')).toEqual({ kind: 'wait', reason: 'held' })
    const decided = { ...fixture.record('y'), state: neighbourState }
    fixture.simulation.table.transact([], [{ key: suspectKey('y'), value: suspectWrite(decided).value, delete: false }])
    expect(fixture.start('x', 'one', 's3').kind).toBe(neighbourState === SuspectState.CLEARED ? 'quarantined' : 'started')
  })

  // Guards against an unrelated request that stays quarantined after a neighbour, not yet a suspect at the crash, proved to be the cause.
  test('a quarantine is released once a neighbour is quarantined, but not if each is a neighbour of the other', () => {
    const fixture = new QuarantineFixture()
    fixture.crash('one', ['x'])
    fixture.startTrialAfterSettling('x', 'one', 's2')
    fixture.crash('one', ['x', 'poison'], 's2')
    expect(fixture.record('x').state).toBe(SuspectState.QUARANTINED)
    expect(fixture.run(releaseExplainedQuarantine(fixture.record('x'), fixture.records()))).toBeUndefined()
    fixture.startTrialAfterSettling('poison', 'two', 's3')
    fixture.crash('two', ['poison'], 's3')
    const records = fixture.records()
    const mutual = new Map(records).set('poison', { ...records.get('poison')!, neighbours: ['x'] })
    expect(fixture.run(releaseExplainedQuarantine(records.get('x')!, mutual))).toBeUndefined()
    expect(fixture.run(releaseExplainedQuarantine(records.get('x')!, records))).toMatchObject({ state: SuspectState.SUSPECT })
  })
})
