import { create } from '@bufbuild/protobuf'
import { systemClock } from '@quinceshunt/effects'
import { createMemoryPlatform, type Platform } from '@quinceshunt/table-store'
import { InstanceEntrySchema, InstanceRole, PeerIdentitySchema, type PeerIdentity, type SuspectRecord } from '@quinceshunt/schemas'
import { createLogger, createMetrics, PlatformUnavailableError } from '@quinceshunt/telemetry'
import { createQuarantineTask } from '../quarantineTask.js'
import type { PeerDirectory } from '../taskContracts.js'

type Task = ReturnType<typeof createQuarantineTask>

/** Quarantine tasks of several instances that share a table, with backend servers `server-1` to `server-4` in one failure domain. */
export class QuarantineFleet {
  storeIsUp = true
  readonly #members = new Map<string, { identity: PeerIdentity, task: Task }>()
  readonly #memory = createMemoryPlatform(['server-1', 'server-2', 'server-3', 'server-4'].map((id) =>
    create(InstanceEntrySchema, { id, role: InstanceRole.BACKEND_SERVER, failureDomain: 'caldas-1', incarnation: `${id}.1` })))

  /** Starts an instance; starting the same ID again simulates a restart without the earlier state. */
  start (instanceId: string, lifetime = 1): Task {
    const identity = create(PeerIdentitySchema, { instanceId, incarnation: `${instanceId}.${lifetime}`, address: instanceId })
    const peers: PeerDirectory = {
      peers: () => [...this.#members.values()].map((member) => member.identity).filter((peer) => peer.instanceId !== instanceId),
      client: (address) => ({
        reportSuspects: async ({ suspects }: { suspects: readonly SuspectRecord[] }) => { this.#members.get(address)!.task.receiveSuspects(suspects) }
      }) as unknown as ReturnType<PeerDirectory['client']>,
      otherAddresses: () => [],
      hasLostPeers: () => false
    }
    const logger = createLogger({ name: 'test', instanceId, level: 'silent' })
    const task = createQuarantineTask({ identity, platform: this.#platform(), clock: systemClock, logger, metrics: createMetrics() }, peers)
    this.#members.set(instanceId, { identity, task })
    return task
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#members.values()].map(({ task }) => task.stop()))
  }

  #platform (): Platform {
    const guard = <Parameters extends unknown[], Result>(call: (...parameters: Parameters) => Promise<Result>) => async (...parameters: Parameters): Promise<Result> => {
      if (!this.storeIsUp) throw new PlatformUnavailableError('down')
      return await call(...parameters)
    }
    const { table } = this.#memory
    return { ...this.#memory, table: { read: guard(table.read), scan: guard(table.scan), transact: guard(table.transact) } }
  }
}
