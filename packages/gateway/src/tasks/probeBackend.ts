import { request, type IncomingHttpHeaders } from 'node:http'

/** Result of a probe. */
export type ProbeOutcome =
  /** It has sent a response, whatever its status. */
  | { readonly kind: 'reached', readonly response?: { readonly status: number, readonly headers: IncomingHttpHeaders } }
  /** `isSilent`: its connection has neither failed nor ended. */
  | { readonly kind: 'lost', readonly reason: string, readonly isSilent?: true }

/**
 * Asks a backend server for its health on a connection of its own, as kept ones may hang or live on. Any response shows that it is
 * reached: one without a free slot turns probes away.
 */
export function probeBackend (address: string, healthPath: string, timeoutMilliseconds: number): Promise<ProbeOutcome> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve) => {
    const outgoing = request({ agent: false, host, port: Number(port), method: 'GET', path: healthPath === '' ? '/' : healthPath })
    const finish = (outcome: ProbeOutcome): void => {
      clearTimeout(timer)
      resolve(outcome)
      outgoing.destroy()
    }
    const timer = setTimeout(() => finish({ kind: 'lost', reason: 'no response in time', isSilent: true }), timeoutMilliseconds)
    outgoing.on('error', (error) => finish({ kind: 'lost', reason: error.message }))
    outgoing.on('response', ({ statusCode = 0, headers }) => finish({ kind: 'reached', response: { status: statusCode, headers } }))
    outgoing.end()
  })
}
