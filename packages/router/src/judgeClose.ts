import type { CloseVerdict, FoundProcess, WriterEvidence } from '@quinceshunt/caller-connections'
import { assertNever } from '@quinceshunt/effects'
import type { ProcessReply } from './processQuestions.js'
import type { RouterServices } from './routerServices.js'
import type { Slot } from './services.js'

/** Of HTTP. */
const USUAL_PORT = 80

/** Judges a response without a length or chunks whose connection was closed in order. */
export async function judgeClose ({ backends, closedResponses, metrics, logger }: RouterServices, { backendServer: { id, address }, incarnation }: Slot, requestId: string): Promise<CloseVerdict> {
  const closedAt = performance.now()
  const writer: WriterEvidence = {
    // A forwarder may keep a connection open for a process that has ended.
    hasOpen: () => false,
    find: async () => findWriter(incarnation, await backends.askProcess(address, closedAt))
  }
  // A URL leaves out the usual port.
  const { hostname, port } = new URL(address)
  const verdict = await closedResponses.judge(`${hostname}:${port === '' ? USUAL_PORT : port}`, incarnation === '' ? undefined : writer)
  metrics.count('closed_responses_total', { verdict: verdict.kind })
  if (verdict.kind === 'broken') logger.warn({ requestId, step: 'read answer', peer: id, because: verdict.because }, 'a response ended with its backend server')
  return verdict
}

/** The incarnation had reported before the request was sent, so that it has written the response if it lives after it. */
function findWriter (incarnation: string, reply: ProcessReply): FoundProcess {
  switch (reply.kind) {
    case 'told': return reply.incarnation === incarnation ? { kind: 'same' } : { kind: 'gone', because: 'another process replies' }
    case 'untold': return { kind: 'gone', because: reply.reason }
    default: return assertNever(reply)
  }
}
