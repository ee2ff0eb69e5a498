import { Code, ConnectError, createClient, type Client, type Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { AdministrationService } from '@quinceshunt/schemas'
import { readFileSync } from 'node:fs'
import type { CommandIo } from './io.js'
import { resolveConnection } from './options.js'

/** Exceeds the maximum wait of "sheet apply", 60 s. */
const CALL_TIMEOUT_MILLISECONDS = 75_000

/** Client of the administration API. */
export type AdministrationClient = Client<typeof AdministrationService>

/** Creates a client from the options, the settings file and the environment. */
export function connectAdministration (io: CommandIo, args: { readonly settings?: string | undefined, readonly address?: string | undefined }): AdministrationClient {
  const { address, operatorKey, authorityFile } = resolveConnection(io, args)
  const authorize: Interceptor = (next) => async (request) => {
    request.header.set('authorization', `Bearer ${operatorKey}`)
    try {
      return await next(request)
    } catch (error) {
      throw addAddressToError(ConnectError.from(error), address)
    }
  }
  return createClient(AdministrationService, createConnectTransport({
    baseUrl: address,
    httpVersion: '1.1',
    useBinaryFormat: true,
    defaultTimeoutMs: CALL_TIMEOUT_MILLISECONDS,
    interceptors: [authorize],
    nodeOptions: authorityFile === '' ? {} : { ca: readFileSync(authorityFile) }
  }))
}

/** Adds the address to connection errors, which carry no message from the API; other errors are returned unchanged. */
function addAddressToError (error: ConnectError, address: string): ConnectError {
  const isConnectionError = error.cause !== undefined || error.code === Code.DeadlineExceeded
  if (!isConnectionError) return error
  return new ConnectError(`the administration process at ${address} does not answer: ${error.rawMessage}`, Code.Unavailable, undefined, undefined, error)
}
