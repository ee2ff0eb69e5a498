import { create } from '@bufbuild/protobuf'
import { Code, ConnectError, createContextKey, createContextValues, type ConnectRouter, type HandlerContext } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { systemClock } from '@quinceshunt/effects'
import { INSTANCE_HEADER, MemoryTable, REFUSAL_HEADER } from '@quinceshunt/table-store'
import { InstanceListService, ObjectService, PlatformControlService, PlatformServiceName, ReadCountersResponseSchema, TableService, type PlatformStandinSettings } from '@quinceshunt/schemas'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createFaultTable } from './faultTable.js'
import { createInstanceDirectory } from './instanceDirectory.js'
import { createRateLimit } from './rateLimit.js'

/** Maximum rows in one page of a scan, as documented in platform.proto. */
const MAX_SCAN_LIMIT = 1000
/** Fixed, so that a repeated run loses the same replies. */
const FAULT_SEED = 20_261_204
const requestContextKey = createContextKey<IncomingMessage | undefined>(undefined)

/** A listening platform stand-in. */
export interface PlatformServer {
  /** http://IP:PORT. */
  readonly address: string
  stop (): Promise<void>
}

type Settings = Pick<PlatformStandinSettings, 'listen' | 'instanceListLagMilliseconds' | 'writesPerSecond' | 'readsPerSecond'>

/** Starts all platform services on one port. */
export async function startPlatformServer (settings: Settings): Promise<PlatformServer> {
  const handler = connectNodeAdapter({
    routes: createRoutes(settings),
    contextValues: (request) => createContextValues().set(requestContextKey, request as IncomingMessage)
  })
  const server = createServer(handler)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.listen?.port ?? 0, settings.listen?.host ?? '127.0.0.1', resolve)
  })
  const { address, port } = server.address() as AddressInfo
  return { address: `http://${address}:${port}`, stop: () => stopServer(server) }
}

function stopServer (server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

function createRefusal (message: string, code: Code): ConnectError {
  return new ConnectError(message, code, { [REFUSAL_HEADER]: '1' })
}

function createRoutes (settings: Settings): (router: ConnectRouter) => void {
  const table = new MemoryTable()
  const objects = new Map<string, Uint8Array>()
  const directory = createInstanceDirectory(settings.instanceListLagMilliseconds)
  const faults = createFaultTable(FAULT_SEED)
  const writeLimit = createRateLimit(settings.writesPerSecond)
  const readLimit = createRateLimit(settings.readsPerSecond)
  const counters = create(ReadCountersResponseSchema)
  const unlimited = createRateLimit(0)

  /** Runs one call under the active faults and the rate limit. A delayed call takes effect even if its caller has disconnected. */
  async function serve<Result> (service: PlatformServiceName, rateLimit: (now: number) => number, context: HandlerContext, apply: () => Result): Promise<Result> {
    const callFaults = faults.selectCallFaults(service, context.requestHeader.get(INSTANCE_HEADER) ?? '')
    if (callFaults.refuse) throw createRefusal(`${PlatformServiceName[service]} is down`, Code.Unavailable)
    const startsAt = rateLimit(systemClock.now()) + callFaults.delayMilliseconds
    if (startsAt > systemClock.now()) await systemClock.waitUntil(startsAt)
    const result = apply()
    if (callFaults.loseReply) context.values.get(requestContextKey)?.socket.destroy()
    return result
  }

  return (router) => {
    router.service(TableService, {
      read: (request, context) => serve(PlatformServiceName.TABLE, readLimit, context, () => {
        counters.tableReads++
        return { rows: table.read(request.keys) }
      }),
      scan: (request, context) => serve(PlatformServiceName.TABLE, readLimit, context, () => {
        if (request.limit < 1 || request.limit > MAX_SCAN_LIMIT) throw createRefusal(`limit ${request.limit} is not allowed; expected 1 to ${MAX_SCAN_LIMIT}`, Code.InvalidArgument)
        counters.tableScans++
        return table.scan(request.prefix, request.startAfter, request.limit)
      }),
      transact: (request, context) => serve(PlatformServiceName.TABLE, writeLimit, context, () => {
        counters.tableTransactions++
        const outcome = table.transact(request.checks, request.writes)
        if (outcome.kind === 'conflict') return { applied: false, conflicts: [...outcome.rows] }
        counters.tableTransactionsApplied++
        return { applied: true, versions: [...outcome.versions] }
      })
    })
    router.service(ObjectService, {
      put: (request, context) => serve(PlatformServiceName.OBJECTS, unlimited, context, () => {
        const existing = objects.get(request.name)
        if (existing !== undefined && Buffer.compare(existing, request.content) !== 0) throw createRefusal(`object ${request.name} exists with other content`, Code.FailedPrecondition)
        counters.objectPuts++
        objects.set(request.name, request.content)
        return {}
      }),
      get: (request, context) => serve(PlatformServiceName.OBJECTS, unlimited, context, () => {
        counters.objectGets++
        const content = objects.get(request.name)
        return content === undefined ? { found: false } : { found: true, content }
      })
    })
    router.service(InstanceListService, {
      list: (_request, context) => serve(PlatformServiceName.INSTANCES, unlimited, context, () => {
        counters.instanceLists++
        const { instances, asOf } = directory.list(systemClock.now())
        return { instances: [...instances], asOfMilliseconds: BigInt(asOf) }
      })
    })
    router.service(PlatformControlService, {
      setFault: (request) => {
        faults.set(request)
        return {}
      },
      setInstance: (request) => {
        if (request.instance === undefined || request.instance.id === '') throw new ConnectError('instance.id: nothing is not allowed; name an instance', Code.InvalidArgument)
        if (request.remove) directory.remove(request.instance.id, systemClock.now())
        else directory.set(request.instance, systemClock.now())
        return {}
      },
      readCounters: () => counters
    })
  }
}
