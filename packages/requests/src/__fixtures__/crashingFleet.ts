import { SuspectState, type SuspectRecord } from '@quinceshunt/schemas'
import { endTrial, releaseExplainedQuarantine } from '../endTrial.js'
import { updateSuspect, isSuspected, laterSuspect, decodeSuspect, suspectKey, SUSPECT_PREFIX } from '../quarantineRecords.js'
import { recordCrash } from '../recordCrash.js'
import { startTrial, type TrialEvidence } from '../startTrial.js'
import { Simulation } from './simulation.js'

/** Fingerprint of the request that crashes each backend server that runs it. */
export const POISON = 'poison'
/** Fingerprints of requests that never crash a backend server. */
export const UNRELATED = ['unrelated-1', 'unrelated-2', 'unrelated-3'] as const
const SERVERS = ['server-1', 'server-2', 'server-3'] as const
const SCAN_LIMIT = 1000

interface RunningRequest { readonly instance: string, readonly fingerprint: string, readonly trial: boolean }
interface Server { incarnation: number, running: RunningRequest[] }
interface Instance {
  readonly known: Map<string, SuspectRecord>
  readonly trials: Set<string>
  /** Number of crash reports not yet written, by fingerprint. */
  readonly unwrittenReports: Map<string, number>
}

/** Simulated instances that send poison and unrelated requests to backend servers, using the decisions under test. */
export class CrashingFleet {
  readonly simulation = new Simulation((_before, write) => {
    if (write.key !== suspectKey(POISON)) return
    const { record } = decodeSuspect({ key: write.key, version: 1n, value: write.value })
    if (record?.state === SuspectState.CLEARED) this.violations.push('the poison was cleared')
  })

  readonly violations: string[] = []
  /** Number of crashes, and of poison copies running on other backend servers at the first one. */
  crashes = 0
  copiesAtFirstCrash = 0
  /** True once an instance died before it reported poison requests that it had in flight. */
  evidenceLost = false
  readonly #instances = new Map<string, Instance>()
  readonly #servers = new Map<string, Server>(SERVERS.map((id) => [id, { incarnation: 1, running: [] }]))

  constructor (instances: readonly string[]) {
    for (const name of instances) this.#instances.set(name, { known: new Map(), trials: new Set(), unwrittenReports: new Map() })
  }

  send (name: string, fingerprint: string, first: number): void {
    const instance = this.#instances.get(name)!
    if (this.simulation.dead.has(name) || instance.trials.has(fingerprint) || (instance.unwrittenReports.get(fingerprint) ?? 0) > 0) return
    const candidates = SERVERS.map((_server, index) => SERVERS[(first + index) % SERVERS.length]!)
    const known = instance.known.get(fingerprint)
    if (known?.state === SuspectState.QUARANTINED) return
    if (!isSuspected(known)) return this.#run(name, fingerprint, candidates[0]!, false)
    instance.trials.add(fingerprint)
    this.simulation.start(name, startTrial({ fingerprint, candidates, incarnation: name, known, evidence: this.#evidence(instance) }), (start) => {
      if (start.kind === 'started') return this.#run(name, fingerprint, start.backendServer, true)
      instance.trials.delete(fingerprint)
      if (start.kind !== 'wait') this.#learn(name, start.record)
    })
  }

  finishUnrelated (server: number, pick: number): void {
    const id = SERVERS[server % SERVERS.length]!
    const { running } = this.#servers.get(id)!
    const unrelated = running.filter((request) => request.fingerprint !== POISON)
    const request = unrelated[pick % Math.max(1, unrelated.length)]
    if (request === undefined) return
    running.splice(running.indexOf(request), 1)
    if (!request.trial) return
    this.simulation.start(request.instance, endTrial(request.fingerprint, id, request.instance, 'passed'), (record) => {
      this.#instances.get(request.instance)!.trials.delete(request.fingerprint)
      this.#learn(request.instance, record)
    })
  }

  /** Crashes a backend server if the poison runs there; every instance with requests there reports the crash to its peers. */
  crash (server: number): void {
    const id = SERVERS[server % SERVERS.length]!
    const state = this.#servers.get(id)!
    const poison = state.running.filter(({ fingerprint }) => fingerprint === POISON)
    if (poison.length === 0) return
    this.crashes += 1
    if (this.crashes === 1) this.copiesAtFirstCrash = this.#countPoisonCopies() - poison.length
    const lost = state.running
    state.running = []
    state.incarnation += 1
    for (const name of new Set(lost.map(({ instance }) => instance))) this.#report(name, id, lost.filter(({ instance }) => instance === name))
  }

  killInstance (name: string): void {
    const poisonUnreported = (this.#instances.get(name)!.unwrittenReports.get(POISON) ?? 0) > 0 || [...this.#servers.values()].some(({ running }) => running.some((request) => request.instance === name && request.fingerprint === POISON))
    this.evidenceLost ||= poisonUnreported
    this.simulation.kill(name)
    for (const state of this.#servers.values()) state.running = state.running.filter(({ instance }) => instance !== name)
  }

  poll (name: string): void {
    if (this.simulation.dead.has(name)) return
    const rows = this.simulation.table.scan(SUSPECT_PREFIX, '', SCAN_LIMIT).rows.map((row) => decodeSuspect(row).record!)
    const { known, trials } = this.#instances.get(name)!
    for (const record of rows) this.#learn(name, record)
    for (const record of rows) {
      const orphanedTrial = record.state === SuspectState.ON_TRIAL && record.trialIncarnation === name && !trials.has(record.fingerprint)
      const decision = orphanedTrial ? endTrial(record.fingerprint, record.trialBackendServer, name, 'notRun') : releaseExplainedQuarantine(record, known)
      if (orphanedTrial) trials.add(record.fingerprint)
      this.simulation.start(name, decision, (changed) => {
        if (orphanedTrial) trials.delete(record.fingerprint)
        this.#learn(name, changed)
      })
    }
  }

  /** Resends all requests from one instance for the given number of rounds; returns the records it then knows. */
  resendUntilDecided (name: string, rounds: number): ReadonlyMap<string, SuspectRecord> {
    for (let round = 0; round < rounds; round++) {
      this.simulation.finish(2000)
      for (const instance of this.#instances.keys()) this.poll(instance)
      for (const fingerprint of [POISON, ...UNRELATED]) {
        this.send(name, fingerprint, round)
        this.simulation.finish(2000)
      }
      SERVERS.forEach((_id, server) => this.crash(server))
      SERVERS.forEach((_id, server) => [...UNRELATED, ...UNRELATED].forEach(() => this.finishUnrelated(server, 0)))
      this.simulation.now += 2000
    }
    this.simulation.finish(2000)
    this.poll(name)
    return this.#instances.get(name)!.known
  }

  #run (instance: string, fingerprint: string, backendServer: string, trial: boolean): void {
    const { running } = this.#servers.get(backendServer)!
    const trials = [...this.#servers.values()].flatMap((server) => server.running.filter((request) => request.trial))
    if (trial && running.some((request) => request.trial)) this.violations.push('two trials on one backend server')
    if (trial && trials.some((request) => request.fingerprint === fingerprint)) this.violations.push('two trials of one fingerprint')
    running.push({ instance, fingerprint, trial })
  }

  #report (name: string, backendServer: string, lost: readonly RunningRequest[]): void {
    const instance = this.#instances.get(name)!
    const fingerprints = lost.map(({ fingerprint }) => fingerprint)
    for (const fingerprint of fingerprints) {
      instance.unwrittenReports.set(fingerprint, (instance.unwrittenReports.get(fingerprint) ?? 0) + 1)
      const known = instance.known.get(fingerprint)
      if (isSuspected(known) || known?.state === SuspectState.QUARANTINED) continue
      const suspect = updateSuspect(fingerprint, known, this.simulation.now, { state: SuspectState.SUSPECT, crashCount: (known?.crashCount ?? 0) + 1 })
      for (const peer of this.#instances.keys()) this.#learn(peer, suspect)
    }
    this.simulation.start(name, recordCrash({ backendServer, fingerprints, trialFingerprint: lost.find(({ trial }) => trial)?.fingerprint, incarnation: name, observedAt: this.simulation.now }), (records) => {
      for (const { fingerprint, trial } of lost) {
        instance.unwrittenReports.set(fingerprint, instance.unwrittenReports.get(fingerprint)! - 1)
        if (trial) instance.trials.delete(fingerprint)
      }
      for (const record of records) for (const peer of this.#instances.keys()) this.#learn(peer, record)
    })
  }

  #learn (name: string, record: SuspectRecord | undefined): void {
    const { known } = this.#instances.get(name)!
    if (record !== undefined) known.set(record.fingerprint, laterSuspect(known.get(record.fingerprint), record)!)
  }

  #evidence (instance: Instance): TrialEvidence {
    return {
      holderIsGone: (incarnation) => this.simulation.dead.has(incarnation),
      hasTrial: (fingerprint) => instance.trials.has(fingerprint),
      suspectedFingerprints: () => [...instance.known.values()].filter(isSuspected).map(({ fingerprint }) => fingerprint),
      backendServerIncarnation: (backendServer) => String(this.#servers.get(backendServer)!.incarnation)
    }
  }

  #countPoisonCopies (): number {
    return [...this.#servers.values()].flatMap(({ running }) => running).filter(({ fingerprint }) => fingerprint === POISON).length
  }
}
