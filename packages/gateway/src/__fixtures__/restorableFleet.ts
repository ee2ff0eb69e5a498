import { steadyNow } from '../clock.js'
import { startFleetTask, type FleetTask, type Peer } from '../tasks/fleetTask.js'
import { createLeaseWitness, type LeaseWitness } from '../tasks/leaseWitness.js'
import { createPeerMessageHandler, type DeliveryOutcome } from '../tasks/peerMessages.js'
import { watchStoreEra } from '../tasks/storeEra.js'
import type { TokenTask } from '../tasks/tokenAccounts.js'
import type { RowStore } from '../ports.js'
import { startTokenTask } from '../tasks/tokenTask.js'
import { createRecordingLog } from './recordingLog.js'

/** One process of an instance, with the tasks that keep prepaid tokens. */
export interface RestorableInstance {
  readonly tokens: TokenTask
  readonly fleet: FleetTask
  /** Ends the process without a word, like a kill. */
  kill (): void
}

/** Instances that share a store and reach each other. */
export interface RestorableFleet {
  /** Starts a process of an instance in place of its last one. `store` replaces the shared one. */
  start (instanceId: string, store?: RowStore): RestorableInstance
}

const LATENCY_MS = 2

/** Creates a fleet without instances. Each account has `prepaidTokens`. */
export function createRestorableFleet (sharedStore: RowStore, account: string, prepaidTokens: number): RestorableFleet {
  const handlers = new Map<string, ReturnType<typeof createPeerMessageHandler>>()
  let starts = 0

  async function post (address: string, path: string, message: unknown): Promise<DeliveryOutcome> {
    await new Promise((resolve) => setTimeout(resolve, LATENCY_MS))
    const handle = handlers.get(address)
    if (handle === undefined) return { kind: 'failed', mayHaveArrived: false, reason: 'connection refused' }
    const reply = handle(path, JSON.parse(JSON.stringify(message)))
    return reply === 'otherIncarnation' ? { kind: 'otherIncarnation' } : { kind: 'answered', reply: JSON.parse(JSON.stringify(await reply)) }
  }

  function start (instanceId: string, store = sharedStore): RestorableInstance {
    const log = createRecordingLog()
    const incarnationId = `${instanceId}.${++starts}`
    const address = `${instanceId}:80`
    let isKilled = false
    const { store: watched, era } = watchStoreEra(store, log)
    const fleet: FleetTask = startFleetTask({
      store: watched, era, log, instanceId, incarnationId, configurationVersion: () => 1, peerAddress: address, failureDomain: instanceId, onCrash: () => {}, onAnswer: () => {}, onLimit: () => {}, onBrittleness: () => {}, onMixedVersions: () => {}, onInstancesChanged: () => {}, answerToReport: () => undefined, latestAnswer: () => undefined, tellPeer: () => {}
    })
    const others = (key: string): readonly Peer[] => fleet.homes(key).filter((home) => home.instanceId !== instanceId)
    const tokens: TokenTask = startTokenTask({
      store: watched,
      log,
      instanceId,
      incarnationId,
      spansParts: true,
      homeRank: () => 0,
      borrow: async () => ({ tokens: 0, isShort: false }),
      giveBack: async () => {},
      tokensInTransit: () => 0,
      isStoreUnreachable: () => false,
      era,
      mayDraw: () => fleet.mayDraw,
      lossesSince: fleet.lossesSince,
      onRecovered: fleet.confirmRecovery,
      onLeaseRead: fleet.noteLease,
      onTotals: (totals) => { if (!isKilled) witness.tell(totals) }
    })
    const witness: LeaseWitness = createLeaseWitness({
      store: watched,
      era,
      log,
      instanceId,
      incarnationId,
      spansParts: true,
      witnesses: () => others(`lease/${instanceId}`),
      hasRecovered: fleet.hasRecovered,
      onRestated: fleet.confirmRecoveryOf,
      learnPredecessor: tokens.learnPredecessor,
      post: async (peerAddress, path, message) => isKilled ? { kind: 'failed', mayHaveArrived: false, reason: 'killed' } : await post(peerAddress, path, message)
    })
    handlers.set(address, createPeerMessageHandler({ incarnationId, tokens, limits: { issue: () => { throw new Error('no limits') }, receive: () => {} }, rooms: { issue: () => ({ kind: 'noted' }) }, streams: { receive: () => {}, answer: () => ({ areVersionsMixed: false }) }, retries: { answer: () => ({ isGranted: false }) }, receiveReports: () => {}, receiveLease: witness.receive, log, now: steadyNow }))
    tokens.setPrepaid(account, prepaidTokens)
    return {
      tokens,
      fleet,
      kill: () => {
        isKilled = true
        tokens.abandon()
        fleet.follower.stop()
        handlers.delete(address)
      }
    }
  }

  return { start }
}
