import type { ListenSettings } from '@quinceshunt/schemas'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Starts listening and resolves with the base URL; rejects if the address can't be bound. */
export function listen (server: Server, settings: ListenSettings, tlsEnabled: boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.port, settings.host, () => {
      const { address, port, family } = server.address() as AddressInfo
      const host = family === 'IPv6' ? `[${address}]` : address
      resolve(`${tlsEnabled ? 'https' : 'http'}://${host}:${port}`)
    })
  })
}

/** Stops accepting connections, waits for `waitUntilIdle`, then closes the remaining connections. */
export async function closeServer (server: Server, waitUntilIdle: () => Promise<void> = async () => {}): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  server.closeIdleConnections()
  await waitUntilIdle()
  server.closeAllConnections()
  await closed
}
