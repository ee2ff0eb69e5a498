import { createContextValues } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { AdministrationService, type AdministrationSettings, type OperatorSettings } from '@quinceshunt/schemas'
import { readFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { AdministrationContext } from './administrationContext.js'
import { findOperator, operatorContextKey, requireRole } from './authentication.js'
import { reportErrors } from './connectErrors.js'
import { createBudgetHandlers } from './handlers/budgetHandlers.js'
import { createClaimHandlers } from './handlers/claimHandlers.js'
import { createFleetHandlers } from './handlers/fleetHandlers.js'
import { createKeyHandlers } from './handlers/keyHandlers.js'
import { createOrderHandlers } from './handlers/orderHandlers.js'
import { createSheetHandlers } from './handlers/sheetHandlers.js'
import { retryCalls } from './retryCalls.js'

/** A sheet with 240,000 budgets and keys has about 60 MB. */
const MAX_REQUEST_BYTES = 128 * 1024 * 1024
const UNAUTHORIZED_STATUS = 401

/** A running administration API. */
export interface AdministrationServer {
  /** http://IP:PORT or https://IP:PORT. */
  readonly address: string
  /** Stops accepting calls; resolves when the running ones have completed. */
  stop (): Promise<void>
}

/** Starts the administration API; resolves when it is listening. */
export async function startAdministrationServer (settings: AdministrationSettings, context: AdministrationContext): Promise<AdministrationServer> {
  const retryingContext = { ...context, platform: retryCalls(context.platform, context.clock) }
  const listener = authenticate(settings.operators, createListener(settings, retryingContext))
  const server = createHttpServer(settings, listener)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.listen?.port ?? 0, settings.listen?.host, resolve)
  })
  const { address, port, family } = server.address() as AddressInfo
  const host = family === 'IPv6' ? `[${address}]` : address
  return {
    address: `${settings.tls?.enabled === true ? 'https' : 'http'}://${host}:${port}`,
    stop: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}

function createListener (settings: AdministrationSettings, context: AdministrationContext): RequestListener {
  const adapter = connectNodeAdapter({
    routes: (router) => {
      router.service(AdministrationService, {
        ...createSheetHandlers(context), ...createBudgetHandlers(context), ...createKeyHandlers(context), ...createFleetHandlers(context), ...createClaimHandlers(context), ...createOrderHandlers(context)
      })
    },
    interceptors: [reportErrors(context.logger), requireRole],
    contextValues: (request) => createContextValues().set(operatorContextKey, findOperator(settings.operators, request.headers.authorization)),
    readMaxBytes: MAX_REQUEST_BYTES
  })
  return adapter as RequestListener
}

/** Rejects calls without a known operator key before their body is read. */
function authenticate (operators: readonly OperatorSettings[], next: RequestListener): RequestListener {
  return (request: IncomingMessage, response: ServerResponse & { req: IncomingMessage }) => {
    if (findOperator(operators, request.headers.authorization) !== undefined) return next(request, response)
    response.writeHead(UNAUTHORIZED_STATUS, { 'content-type': 'application/json', connection: 'close' })
    response.end(JSON.stringify({ code: 'unauthenticated', message: 'the operator key is missing or not known; send "Authorization: Bearer OPERATOR_KEY"' }))
  }
}

function createHttpServer (settings: AdministrationSettings, listener: RequestListener): Server {
  const { tls } = settings
  if (tls?.enabled !== true) return createServer(listener)
  return createTlsServer({ cert: readFileSync(tls.certificateFile), key: readFileSync(tls.keyFile) }, listener)
}
