import type { ListenSettings } from '@quinceshunt/schemas'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Starts to listen; resolves with the base URL. */
export function listen (server: Server, settings: ListenSettings, secure: boolean): Promise<string> {
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(settings.port, settings.host, () => {
      const { address, port, family } = server.address() as AddressInfo
      const host = family === 'IPv6' ? `[${address}]` : address
      resolve(`${secure ? 'https' : 'http'}://${host}:${port}`)
    })
  })
}

/** Accepts no more connections, waits for the given condition, then closes those that are left. */
export async function closeServer (server: Server, idle: () => Promise<void> = async () => {}): Promise<void> {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()))
  server.closeIdleConnections()
  await idle()
  server.closeAllConnections()
  await closed
}
