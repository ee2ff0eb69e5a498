import { jest } from '@jest/globals'
import { steadyNow } from '../clock.js'
import { accountHomes } from '../decisions/accountHomes.js'
import type { ConnectionOrigin } from '../decisions/processProofs.js'
import { createSharedClock } from '../decisions/sharedClock.js'
import type { StartEvidence } from '../decisions/streamOrigins.js'
import type { Peer } from '../tasks/fleetTask.js'
import { createStreamVersions, type StreamVersions } from '../tasks/streamVersions.js'
import { createLoanNetwork, type LinkFault } from './loanNetwork.js'
import { createRecordingLog } from './recordingLog.js'

/** When the callers of `begin` give up. */
export const CALLER_TIMEOUT_MS = 15_000
/** Number of instances, in three failure domains. */
export const INSTANCES = 6

/** An instance of the fleet. */
export interface StreamInstance {
  peer: Peer
  streams: StreamVersions
  isRunning: boolean
}

/** Instances that tell one another where streams of the service `model` began. */
export interface StreamFleet {
  readonly instances: StreamInstance[]
  /** Rows that tell all instances until when versions differ. */
  readonly announced: ReadonlyMap<string, number>
  /** How often an instance has found the homes of a stream. */
  readonly homeSearches: number
  /** Instances that learn nothing from the store. */
  readonly cutOffFromStore: Set<number>
  /** Lists a backend server at all instances that run, or at some of them. */
  list (id: string, version: string, at?: readonly number[]): void
  remove (id: string, at?: readonly number[]): void
  kill (index: number): void
  restart (index: number): void
  /** Another process answers at the address of an instance; the list of instances still has the one before. */
  replaceUnlisted (index: number): void
  /** Begins a stream at the version that is listed. */
  begin (index: number, attemptId: string, backendId: string, evidence?: StartEvidence): void
}

/** Starts a fleet on the fake timers of the test. */
export function startStreamFleet (chooseFault: (sender: number) => LinkFault = () => ({ kind: 'none' }), isProven: (connection: ConnectionOrigin) => boolean = () => false): StreamFleet {
  let sender = 0
  let homeSearches = 0
  const network = createLoanNetwork(() => chooseFault(sender), steadyNow)
  const announced = new Map<string, number>()
  const listed = new Map<string, string>()
  const cutOffFromStore = new Set<number>()
  const instances: StreamInstance[] = []
  const running = (): readonly number[] => instances.flatMap(({ isRunning }, index) => isRunning && !cutOffFromStore.has(index) ? [index] : [])

  function start (index: number, starts: number): void {
    const peer = { instanceId: `instance${index}`, address: `instance${index}:80`, failureDomain: `domain${index % 3}`, incarnationId: `instance${index}.${starts}` }
    const clock = createSharedClock()
    clock.observe(steadyNow(), steadyNow())
    const streams = createStreamVersions({
      instanceId: peer.instanceId,
      clock,
      log: createRecordingLog(),
      homes: (attemptId) => {
        homeSearches++
        return accountHomes(attemptId, instances.map((instance) => instance.peer))
      },
      currentIncarnation: (instanceId) => instances.find((instance) => instance.peer.instanceId === instanceId)?.peer.incarnationId,
      isListCurrent: () => true,
      readList: async () => !cutOffFromStore.has(index),
      isProven,
      announceMixed: (service, until) => {
        announced.set(service, until)
        for (const other of running()) instances[other]?.streams.learnMixed(service, until)
      },
      count: () => {},
      post: async (...message) => {
        sender = index
        return await network.post(...message)
      }
    })
    instances[index] = { peer, streams, isRunning: true }
    network.listen(peer, { streams })
    for (const [service, until] of announced) streams.learnMixed(service, until)
    for (const [id, version] of listed) streams.noteListed({ id, service: 'model', version }, undefined)
    for (const other of running()) if (other !== index) instances[other]?.streams.noteInstancesChanged()
  }

  for (let index = 0; index < INSTANCES; index++) start(index, 0)
  return {
    instances,
    announced,
    get homeSearches () { return homeSearches },
    cutOffFromStore,
    list: (id, version, at = running()) => {
      const previous = listed.get(id)
      listed.set(id, version)
      for (const index of at) instances[index]?.streams.noteListed({ id, service: 'model', version }, previous === undefined ? undefined : { id, service: 'model', version: previous })
    },
    remove: (id, at = running()) => {
      const version = listed.get(id)
      listed.delete(id)
      if (version !== undefined) for (const index of at) instances[index]?.streams.noteRemoved({ id, service: 'model', version })
    },
    kill: (index) => {
      const instance = instances[index] as StreamInstance
      instance.isRunning = false
      network.kill(instance.peer.address)
    },
    restart: (index) => {
      const starts = Number(instances[index]?.peer.incarnationId.split('.')[1])
      start(index, starts + 1)
    },
    replaceUnlisted: (index) => {
      const { peer, streams } = instances[index] as StreamInstance
      network.listen({ ...peer, incarnationId: `${peer.instanceId}.unlisted` }, { streams })
    },
    begin: (index, attemptId, backendId, evidence = { kind: 'listed' }) => {
      instances[index]?.streams.begin({ attemptId, service: 'model', backendId, version: listed.get(backendId) ?? '', evidence, callerTimeoutAt: steadyNow() + CALLER_TIMEOUT_MS })
    }
  }
}

/** Indexes of a stream's homes. */
export function homesOf (fleet: StreamFleet, attemptId: string): readonly number[] {
  return accountHomes(attemptId, fleet.instances.map(({ peer }) => peer)).map(({ instanceId }) => Number(instanceId.slice('instance'.length)))
}

/** What an instance finds out; undefined when it does not know the version. */
export async function findVersion (fleet: StreamFleet, index: number, attemptId: string): Promise<string | undefined> {
  const finding = fleet.instances[index]?.streams.find(attemptId, 'model')
  await jest.advanceTimersByTimeAsync(200)
  const start = await finding
  return start?.kind === 'begun' ? start.version : undefined
}
