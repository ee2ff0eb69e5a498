import type { TlsSettings } from '@quinceshunt/schemas'
import { readFileSync } from 'node:fs'
import type { SecureContextOptions, TlsOptions } from 'node:tls'

/** Returns the options of a TLS listener, undefined if TLS is disabled. If `mutual` is set, clients need a certificate of the authority. */
export function listenerTls (settings: TlsSettings | undefined, mutual: boolean): TlsOptions | undefined {
  if (settings?.enabled !== true) return undefined
  return { ...clientTls(settings), requestCert: mutual, rejectUnauthorized: mutual, minVersion: 'TLSv1.2' }
}

/** Returns the certificate, key and authority of a TLS client; empty if TLS is disabled. */
export function clientTls (settings: TlsSettings | undefined): SecureContextOptions {
  if (settings?.enabled !== true) return {}
  return {
    cert: readFileSync(settings.certificateFile),
    key: readFileSync(settings.keyFile),
    ...(settings.authorityFile === '' ? {} : { ca: readFileSync(settings.authorityFile) })
  }
}
