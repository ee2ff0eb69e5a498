import { steadyNow } from '../clock.js'
import type { BackendState, PendingAttempt } from '../decisions/backendState.js'
import type { FleetLoads } from '../decisions/fleetLoads.js'
import { createSharedClock } from '../decisions/sharedClock.js'
import { createBackendRooms, type BackendRooms, type BackendRoomsOptions, type RoomQueueEntry } from '../tasks/backendRooms.js'
import type { Peer } from '../tasks/fleetTask.js'
import { createTestBackend } from './backends.js'
import type { LoanNetwork } from './loanNetwork.js'
import { createRecordingLog } from './recordingLog.js'

const SERVICE = 'model'
const SLOTS = 6
const QUEUE = 24
const LATENCY_MS = 2
const FIGURE_AGE_MS = 1000

/** A simulated backend server that rejects requests when its slots and its queue are full. */
export interface PlainServer {
  running: number
  readonly waiting: (() => void)[]
  workMilliseconds: number
  /** Connections to it break. */
  isLost: boolean
  rejected: number
  served: number
}

/** A request of the simulation and what became of it. */
export interface SimulatedRequest {
  readonly account: string
  readonly priority: number
  readonly sentAt: number
  outcome: 'open' | 'served' | 'rejected' | 'denied' | 'broken'
  endedAt: number
  /** When the caller of a denied request may return. */
  retryAt: number
}

/** An instance of the simulation. */
export interface SimulatedInstance {
  readonly peer: Peer
  readonly rooms: BackendRooms
  readonly backends: readonly BackendState[]
  readonly log: ReturnType<typeof createRecordingLog>
}

/** Options of the simulation. */
export interface PlainServiceOptions {
  readonly instances: number
  /** Time that a request takes, for each server. */
  readonly workMilliseconds: readonly number[]
  readonly latencyTargetMilliseconds: number
  readonly network: LoanNetwork
  readonly queueForRoom: boolean
  readonly random: () => number
  /** True when the instances share load figures, which are a second old here. */
  readonly sharesLoads?: boolean
  readonly roomOptions?: Partial<BackendRoomsOptions>
}

/** Instances in front of a plain service without a network; runs on the timers of the test. */
export interface PlainService {
  readonly servers: readonly PlainServer[]
  readonly instances: readonly SimulatedInstance[]
  readonly requests: readonly SimulatedRequest[]
  /** Requests that all servers serve in a millisecond. */
  readonly capacity: number
  send (instance: number, account?: string, priority?: number, turn?: Partial<RoomQueueEntry>): SimulatedRequest
  stop (): void
}

function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Starts the simulation. */
export function startPlainService ({ instances: count, workMilliseconds, latencyTargetMilliseconds, network, queueForRoom, random, sharesLoads = false, roomOptions = {} }: PlainServiceOptions): PlainService {
  const servers: PlainServer[] = workMilliseconds.map((work) => ({ running: 0, waiting: [], workMilliseconds: work, isLost: false, rejected: 0, served: 0 }))
  const requests: SimulatedRequest[] = []
  const loads: FleetLoads = {
    othersAt: () => undefined,
    service: (_, now) => {
      if (!sharesLoads) return undefined
      const sent = requests.filter(({ sentAt, outcome }) => sentAt > now - FIGURE_AGE_MS - 1000 && sentAt <= now - FIGURE_AGE_MS && outcome !== 'denied')
      return { requests: 0, unansweredTokens: 0, sentPerSecond: sent.length, rejectedPerSecond: sent.filter(({ outcome }) => outcome === 'rejected').length, instances: count, asOf: now - FIGURE_AGE_MS }
    }
  }
  const peers = Array.from({ length: count }, (_, index) => ({ instanceId: `instance${index}`, address: `instance${index}:80`, failureDomain: 'north', incarnationId: `instance${index}.0` }))
  const instances = peers.map((peer): SimulatedInstance => {
    const clock = createSharedClock()
    clock.observe(steadyNow(), steadyNow())
    const backends = servers.map((_, server) => createTestBackend(`s${server}`, { slots: SLOTS }))
    const log = createRecordingLog()
    const rooms = createBackendRooms({ instanceId: peer.instanceId, clock, log, instances: () => count, homes: () => peers.slice(0, 3), backends: () => backends, announce: () => {}, count: () => {}, post: network.post, queueForRoom, loads: () => loads, ...roomOptions })
    network.listen(peer, { rooms })
    return { peer, rooms, backends, log }
  })

  async function serve (server: PlainServer): Promise<void> {
    if (server.running >= SLOTS) await new Promise<void>((resolve) => server.waiting.push(resolve))
    server.running++
    await pause(server.workMilliseconds)
    server.running--
    server.served++
    server.waiting.shift()?.()
  }

  async function findServer ({ rooms, backends }: SimulatedInstance, request: SimulatedRequest, turn: RoomQueueEntry): Promise<BackendState | undefined> {
    const ordered = [...backends].map((backend) => ({ backend, rank: backend.avoidedUntil > steadyNow() ? Infinity : backend.pending.size + random() / 2 })).sort((left, right) => left.rank - right.rank).map(({ backend }) => backend)
    const usable = ordered.filter(({ avoidedUntil }) => avoidedUntil <= steadyNow())
    if (!rooms.isNeeded(SERVICE)) return usable[0]
    const deniedUntil = rooms.deniedUntil(SERVICE, steadyNow(), turn)
    if (deniedUntil !== undefined) {
      request.retryAt = deniedUntil
      return undefined
    }
    const outcome = await rooms.acquire(SERVICE, usable, turn)
    if (outcome.kind === 'denied') {
      request.retryAt = outcome.retryAt
      return undefined
    }
    // The request is in progress from here on.
    queueMicrotask(() => outcome.room.release())
    return outcome.backend
  }

  async function run (index: number, request: SimulatedRequest, turn: RoomQueueEntry): Promise<void> {
    const instance = instances[index] as SimulatedInstance
    const end = (outcome: SimulatedRequest['outcome']): void => { Object.assign(request, { outcome, endedAt: steadyNow() }) }
    const backend = await findServer(instance, request, turn)
    if (backend === undefined) return end('denied')
    const server = servers[Number(backend.entry.id.slice(1))] as PlainServer
    const pending: PendingAttempt = { sentAt: steadyNow(), prefillTokens: 0, answered: false }
    backend.pending.add(pending)
    const endAtBackend = (how: 'answered' | 'failed' | 'full'): void => {
      backend.pending.delete(pending)
      instance.rooms.noteEnded(backend, how)
    }
    await pause(LATENCY_MS)
    if (server.isLost) {
      backend.avoidedUntil = steadyNow() + 2000
      endAtBackend('failed')
      return end('broken')
    }
    if (server.running >= SLOTS && server.waiting.length >= QUEUE) {
      server.rejected++
      await pause(LATENCY_MS)
      endAtBackend('full')
      return end('rejected')
    }
    await serve(server)
    await pause(LATENCY_MS)
    endAtBackend('answered')
    end('served')
  }

  return {
    servers,
    instances,
    requests,
    get capacity () { return servers.reduce((sum, { workMilliseconds: work, isLost }) => sum + (isLost ? 0 : SLOTS / work), 0) },
    send: (index, account = 'usual', priority = 0, turn = {}) => {
      const now = steadyNow()
      const request: SimulatedRequest = { account, priority, sentAt: now, outcome: 'open', endedAt: 0, retryAt: 0 }
      requests.push(request)
      run(index, request, { priority, account, waitUntil: now + latencyTargetMilliseconds / 3, onCallerLeft: () => () => {}, ...turn }).catch(() => {})
      return request
    },
    stop: () => { for (const { rooms } of instances) rooms.stop() }
  }
}
