import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { generate } from 'selfsigned'

const LOOPBACK = '127.0.0.1'

/** Certificate for the loopback address, its key and its certificate authority, as PEM text and as files. */
export interface Certificates {
  readonly certificate: string
  readonly key: string
  readonly authority: string
  readonly certificateFile: string
  readonly keyFile: string
  readonly authorityFile: string
}

/** Creates a certificate authority and a certificate valid for both server and client authentication. */
export async function createCertificates (): Promise<Certificates> {
  const authority = await generate([{ name: 'commonName', value: 'fixture authority' }], {
    keyType: 'ec',
    algorithm: 'sha256',
    extensions: [{ name: 'basicConstraints', cA: true, critical: true }, { name: 'keyUsage', keyCertSign: true, digitalSignature: true, critical: true }]
  })
  const member = await generate([{ name: 'commonName', value: 'fixture member' }], {
    keyType: 'ec',
    algorithm: 'sha256',
    ca: { key: authority.private, cert: authority.cert },
    extensions: [
      { name: 'basicConstraints', cA: false },
      { name: 'extKeyUsage', serverAuth: true, clientAuth: true },
      { name: 'subjectAltName', altNames: [{ type: 7, ip: LOOPBACK }] }
    ]
  })
  const folder = mkdtempSync(join(tmpdir(), 'quinceshunt-certificates-'))
  const store = (name: string, content: string): string => {
    const file = join(folder, name)
    writeFileSync(file, content, { mode: 0o600 })
    return file
  }
  return {
    certificate: member.cert,
    key: member.private,
    authority: authority.cert,
    certificateFile: store('certificate.pem', member.cert),
    keyFile: store('key.pem', member.private),
    authorityFile: store('authority.pem', authority.cert)
  }
}
