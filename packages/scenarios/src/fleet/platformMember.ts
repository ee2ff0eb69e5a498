import { createClient, type Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { connectPlatform, type Platform } from '@quinceshunt/table-store'
import { InstanceRole, InstanceState, PlatformControlService, PlatformFaultKind, PlatformServiceName, type ReadCountersResponse } from '@quinceshunt/schemas'
import { startProcess, type FleetProcess } from '../launcher/startProcess.js'

/** Instance ID under which fixtures call the platform, so that faults of routers don't hit them. */
const FIXTURE_INSTANCE = 'fixture'

/** A fault of the platform. */
export interface PlatformFault {
  readonly kind: 'down' | 'slow' | 'loseReplies'
  /** Default: all services. */
  readonly service?: 'table' | 'objects' | 'instances'
  /** Only calls of this instance; default: calls of every instance of `instances`. */
  readonly instanceId?: string
  readonly delayMilliseconds?: number
  /** 0 to 1. */
  readonly probability?: number
}

/** Entry of the instance list. */
export interface ListedInstance {
  readonly id: string
  readonly role: 'router' | 'backendServer'
  readonly address: string
  readonly failureDomain: string
  readonly leaving?: boolean
  readonly incarnation?: string
}

/** The platform stand-in of a fleet. */
export interface PlatformMember {
  readonly process: FleetProcess
  readonly address: string
  /** The platform as an instance of its own sees it, whatever faults routers meet. */
  readonly ports: Platform
  /** Sets a fault for one instance or for all routers and administration processes. */
  setFault (fault: PlatformFault): Promise<void>
  /** Clears all faults. */
  clearFaults (): Promise<void>
  list (instance: ListedInstance): Promise<void>
  unlist (id: string): Promise<void>
  counters (): Promise<ReadCountersResponse>
}

const SERVICES = { table: PlatformServiceName.TABLE, objects: PlatformServiceName.OBJECTS, instances: PlatformServiceName.INSTANCES } as const
const FAULTS = { down: PlatformFaultKind.DOWN, slow: PlatformFaultKind.SLOW, loseReplies: PlatformFaultKind.LOSE_REPLIES } as const

/** Starts the platform; `instanceIds` are those that a fault without an instance hits. */
export async function startPlatform (settings: Record<string, unknown>, instanceIds: () => readonly string[]): Promise<PlatformMember> {
  const process = await startProcess({ binary: 'platformStandin', name: 'platform', settings })
  const address = process.listening['address']!
  const control: Client<typeof PlatformControlService> = createClient(PlatformControlService, createConnectTransport({ baseUrl: address, httpVersion: '1.1' }))
  const faulty = new Set<string>()

  return {
    process,
    address,
    ports: connectPlatform({ address, timeoutMilliseconds: 5000, instanceId: FIXTURE_INSTANCE }),
    setFault: async ({ kind, service, instanceId, delayMilliseconds = 0, probability = 1 }) => {
      for (const target of instanceId === undefined ? instanceIds() : [instanceId]) {
        faulty.add(target)
        await control.setFault({ service: service === undefined ? PlatformServiceName.UNSPECIFIED : SERVICES[service], kind: FAULTS[kind], instanceId: target, delayMilliseconds, probability })
      }
    },
    clearFaults: async () => {
      for (const target of faulty) await control.setFault({ service: PlatformServiceName.UNSPECIFIED, kind: PlatformFaultKind.NONE, instanceId: target })
      faulty.clear()
    },
    list: async (instance) => {
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
    unlist: async (id) => { await control.setInstance({ instance: { id }, remove: true }) },
    counters: async () => await control.readCounters({})
  }
}
