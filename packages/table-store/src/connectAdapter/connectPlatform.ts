import { Code, ConnectError, createClient, type Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { InstanceListService, ObjectService, TableService } from '@quinceshunt/schemas'
import { PlatformOutcomeUnknownError, PlatformUnavailableError } from '@quinceshunt/telemetry'
import type { InstanceList, ObjectStore, Platform, TableStore } from '../ports.js'

/** Header with the calling instance's ID, so that the platform stand-in can isolate single instances. */
export const INSTANCE_HEADER = 'x-quinceshunt-instance'

/** Options of the connection to the platform. */
export interface ConnectPlatformOptions {
  /** http://IP:PORT. */
  readonly address: string
  /** Timeout of one call. */
  readonly timeoutMilliseconds: number
  /** This process's instance ID. */
  readonly instanceId: string
  /** Called after each call, for metrics. */
  readonly onCall?: (operation: string, milliseconds: number, succeeded: boolean) => void
}

/** Codes with which the platform refuses a call before it takes effect. */
const REFUSED_CODES: ReadonlySet<Code> = new Set([Code.Unavailable, Code.ResourceExhausted, Code.InvalidArgument, Code.FailedPrecondition])
/** Set by the platform on a refusal, to distinguish it from a connection that failed after the call took effect. */
export const REFUSAL_HEADER = 'x-platform-refused'

/** Creates clients of the platform's services over the Connect protocol. */
export function connectPlatform (options: ConnectPlatformOptions): Platform {
  const setInstanceHeader: Interceptor = (next) => (request) => {
    request.header.set(INSTANCE_HEADER, options.instanceId)
    return next(request)
  }
  const transport = createConnectTransport({
    baseUrl: options.address,
    httpVersion: '1.1',
    useBinaryFormat: true,
    defaultTimeoutMs: options.timeoutMilliseconds,
    interceptors: [setInstanceHeader]
  })
  const tableClient = createClient(TableService, transport)
  const objectClient = createClient(ObjectService, transport)
  const instanceClient = createClient(InstanceListService, transport)

  async function call<Result> (operation: string, sendCall: () => Promise<Result>): Promise<Result> {
    const startedAt = performance.now()
    let succeeded = false
    try {
      const result = await sendCall()
      succeeded = true
      return result
    } catch (error) {
      throw toPlatformError(operation, options.address, error)
    } finally {
      options.onCall?.(operation, performance.now() - startedAt, succeeded)
    }
  }

  const table: TableStore = {
    read: async (keys) => (await call('table read', () => tableClient.read({ keys: [...keys] }))).rows,
    scan: (prefix, startAfter, limit) => call('table scan', () => tableClient.scan({ prefix, startAfter, limit })),
    transact: async (checks, writes) => {
      const response = await call('table transact', () => tableClient.transact({ checks: [...checks], writes: [...writes] }))
      return response.applied ? { kind: 'applied', versions: response.versions } : { kind: 'conflict', rows: response.conflicts }
    }
  }
  const objects: ObjectStore = {
    put: async (name, content) => { await call('object put', () => objectClient.put({ name, content })) },
    get: async (name) => {
      const response = await call('object get', () => objectClient.get({ name }))
      return response.found ? response.content : undefined
    }
  }
  const instances: InstanceList = {
    list: async () => {
      const response = await call('instance list', () => instanceClient.list({}))
      return { instances: response.instances, asOf: Number(response.asOfMilliseconds) }
    }
  }
  return { table, objects, instances }
}

function toPlatformError (step: string, peer: string, cause: unknown): Error {
  const error = ConnectError.from(cause)
  const details = { cause: error, props: { step, peer } }
  const refused = REFUSED_CODES.has(error.code) && error.metadata.has(REFUSAL_HEADER)
  if (refused || step !== 'table transact') return new PlatformUnavailableError(`${step} failed: ${error.rawMessage}`, details)
  return new PlatformOutcomeUnknownError(`${step} was not answered; it may have taken effect: ${error.rawMessage}`, details)
}
