import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { connectPlatform, type Platform } from '@quinceshunt/table-store'
import { InstanceRole, InstanceState, PlatformControlService, PlatformFaultKind, PlatformServiceName, type ReadCountersResponse } from '@quinceshunt/schemas'
import { startProcess, type FleetProcess } from '../launcher/startProcess.js'

/** Fixtures call the platform with their own instance ID, so that faults injected for routers don't affect them. */
const FIXTURE_INSTANCE_ID = 'fixture'

/** Fault to inject into the platform. */
export interface PlatformFault {
  readonly kind: 'down' | 'slow' | 'loseReplies'
  /** Default: all services. */
  readonly service?: 'table' | 'objects' | 'instances'
  /** Affects only calls of this instance; default: calls of all routers and administration processes. */
  readonly instanceId?: string
  readonly delayMilliseconds?: number
  /** Probability that a call is affected, 0 to 1. */
  readonly probability?: number
}

/** Entry of the platform's instance list. */
export interface InstanceListEntry {
  readonly id: string
  readonly role: 'router' | 'backendServer'
  readonly address: string
  readonly failureDomain: string
  readonly leaving?: boolean
  readonly incarnation?: string
}

/** Platform stand-in of a fleet. */
export interface PlatformMember {
  readonly process: FleetProcess
  readonly address: string
  /** Client with an instance ID of its own, not affected by faults injected for routers. */
  readonly client: Platform
  /** Injects a fault for one instance or for all routers and administration processes. */
  setFault (fault: PlatformFault): Promise<void>
  /** Clears all faults. */
  clearFaults (): Promise<void>
  putInstance (instance: InstanceListEntry): Promise<void>
  removeInstance (id: string): Promise<void>
  readCounters (): Promise<ReadCountersResponse>
}

const SERVICE_NAMES = { table: PlatformServiceName.TABLE, objects: PlatformServiceName.OBJECTS, instances: PlatformServiceName.INSTANCES } as const
const FAULT_KINDS = { down: PlatformFaultKind.DOWN, slow: PlatformFaultKind.SLOW, loseReplies: PlatformFaultKind.LOSE_REPLIES } as const

/** Starts the platform; `instanceIds` returns the instances affected by faults without an instance ID. */
export async function startPlatform (settings: Record<string, unknown>, instanceIds: () => readonly string[]): Promise<PlatformMember> {
  const process = await startProcess({ binary: 'platformStandin', name: 'platform', settings })
  const address = process.listening['address']!
  const control: Client<typeof PlatformControlService> = createClient(PlatformControlService, createConnectTransport({ baseUrl: address, httpVersion: '1.1' }))
  const faultyInstanceIds = new Set<string>()

  return {
    process,
    address,
    client: connectPlatform({ address, timeoutMilliseconds: 5000, instanceId: FIXTURE_INSTANCE_ID }),
    setFault: async ({ kind, service, instanceId, delayMilliseconds = 0, probability = 1 }) => {
      for (const targetId of instanceId === undefined ? instanceIds() : [instanceId]) {
        faultyInstanceIds.add(targetId)
        await control.setFault({ service: service === undefined ? PlatformServiceName.UNSPECIFIED : SERVICE_NAMES[service], kind: FAULT_KINDS[kind], instanceId: targetId, delayMilliseconds, probability })
      }
    },
    clearFaults: async () => {
      for (const targetId of faultyInstanceIds) await control.setFault({ service: PlatformServiceName.UNSPECIFIED, kind: PlatformFaultKind.NONE, instanceId: targetId })
      faultyInstanceIds.clear()
    },
    putInstance: async (instance) => {
      await control.setInstance({
        instance: {
          id: instance.id,
          role: instance.role === 'router' ? InstanceRole.ROUTER : InstanceRole.BACKEND_SERVER,
          address: instance.address,
          failureDomain: instance.failureDomain,
          state: instance.leaving === true ? InstanceState.LEAVING : InstanceState.LIVE,
          incarnation: instance.incarnation ?? ''
        }
      })
    },
    removeInstance: async (id) => { await control.setInstance({ instance: { id }, remove: true }) },
    readCounters: async () => await control.readCounters({})
  }
}
