import { steadyNow } from '../clock.js'
import type { IncomingMessage } from 'node:http'
import { failureWeight, observe, rememberParts, silence, type BackendObservation, type PendingSend } from '../decisions/backendState.js'
import { PREFILL_TOKENS_PER_MILLISECOND, type Choice } from '../decisions/backendChoice.js'
import { createEventSplitter } from '../decisions/eventSplitter.js'
import { isRepeatable, type AttemptOutcome } from '../decisions/requestPlan.js'
import type { GatewayContext } from './gatewayContext.js'
import { closing } from './refusals.js'
import { fingerprint, type RequestState } from './requestTask.js'

/** Time to a first answer that is normal beyond the prefill, milliseconds. */
const EXPECTED_FIRST_ANSWER = { engine: 120, plain: 120 } as const
/** Multiple of the latency target after which a repeatable request is sent elsewhere when its backend server is silent. */
const SILENT_TARGETS = { plain: 0.9, stream: 1.6 } as const
/** Multiple of the pause target after which a resumable stream goes on elsewhere when its backend server is silent. */
const SILENT_PAUSES = 2.5
/** Shortest of these times, milliseconds. */
const SHORTEST_PATIENCE = 250
/** Largest body of an answer that is gathered before it is passed on, bytes. */
const LARGEST_GATHERED_ANSWER = 8_388_608
/** Wait after which an unanswered send tells that the backend server is silent, milliseconds. */
const SILENT_SEND = 600

/** Recent failures from which a failed answer is put down to the backend server rather than to the request. */
const FAILING_SERVER = 0.4

const STATUS = { ok: 200, lastOk: 299, serverError: 500 } as const

/** An answer that was gathered and may still be passed on. */
export interface HeldAnswer {
  readonly status: number
  deliver (): void
}

/** Sends a request to a backend server once, and passes its answer on as far as it can be used. */
export function runAttempt (context: GatewayContext, state: RequestState, choice: Choice): Promise<AttemptOutcome> {
  return new Promise((resolve) => startAttempt(context, state, choice, resolve))
}

function startAttempt (context: GatewayContext, state: RequestState, choice: Choice, resolve: (outcome: AttemptOutcome) => void): void {
  const { wire, connections } = context
  const { response, incoming: callerRequest } = state
  const backend = choice.state
  const sentAt = steadyNow()
  const isStream = state.route.repetition.kind === 'resumableStream' || state.route.repetition.kind === 'onceStream'
  const canRepeat = isRepeatable(state.route.repetition) && state.sends + 1 < state.route.maximumSends
  const pending: PendingSend = { sentAt, prefillTokens: choice.prefillTokens, answered: false }
  const splitter = createEventSplitter()
  const gathered: Buffer[] = []
  let gatheredBytes = 0
  let head: { readonly incoming: IncomingMessage, readonly passes: boolean } | undefined
  let settled = false
  let lastProgressAt = sentAt
  let abortedAs: AttemptOutcome | undefined

  const headers = wire.forwardHeaders(callerRequest.rawHeaders, {
    account: state.account?.name ?? '',
    expectedBackendId: backend.entry.id,
    deadline: state.deadline,
    priority: state.fields.prompt === undefined ? undefined : Math.min(9, state.account?.priority ?? state.route.priority),
    lastEventId: state.lastEventId
  }, sentAt)
  backend.pending.add(pending)
  backend.sends++
  state.sends++
  if (state.fields.prompt !== undefined) rememberParts(backend, state.fields.prompt.parts, sentAt + context.settings.promptReuseWindowSeconds * 1000)

  const exchange = connections.start({
    address: backend.entry.address,
    method: callerRequest.method ?? 'GET',
    path: callerRequest.url ?? '/',
    headers,
    body: state.body
  }, { onHead, onData, onEnd, onBroken })
  const deadlineTimer = setTimeout(() => abort({ kind: 'timedOut', begun: state.begun }, 'out of time'), Math.max(1, state.deadline - sentAt))
  const patienceTimer = canRepeat ? setInterval(checkPatience, 50) : undefined
  const onCallerGone = (): void => { if (!response.writableFinished) leaveCaller() }
  response.on('close', onCallerGone)

  function settle (outcome: AttemptOutcome): void {
    if (settled) return
    settled = true
    clearTimeout(deadlineTimer)
    clearInterval(patienceTimer)
    response.removeListener('close', onCallerGone)
    backend.pending.delete(pending)
    resolve(outcome)
  }

  /** Ends the exchange; the outcome is settled when the connection has been dropped. */
  function abort (outcome: AttemptOutcome, reason: string): void {
    abortedAs ??= outcome
    // A slow answer is no silence while the backend server answers others.
    if (!pending.answered && silence(backend, steadyNow()) > SILENT_SEND) note({ kind: 'silent' })
    exchange.abort(reason)
  }

  function leaveCaller (): void {
    // A once-only call is left to its end: cutting it could leave it half done, and the caller has no further use of it.
    if (state.route.repetition.kind === 'once') {
      settle({ kind: 'callerGone' })
      return
    }
    abort({ kind: 'callerGone' }, 'the caller left')
  }

  function note (observation: BackendObservation): void {
    observe(backend, observation, steadyNow())
    if (observation.kind === 'silent' || observation.kind === 'unreachable') {
      connections.closeIdle(backend.entry.address)
      context.log.decision('backendAvoided', { backend: backend.entry.id, because: observation.kind, until: backend.avoidedUntil, request: state.fields.attemptId })
    }
  }

  function checkPatience (): void {
    const now = steadyNow()
    const isQuiet = silence(backend, now) > 0 || now - backend.heardAt > SHORTEST_PATIENCE
    const target = state.begun
      ? Math.max(SHORTEST_PATIENCE, state.route.pauseTargetMilliseconds * SILENT_PAUSES)
      : Math.max(SHORTEST_PATIENCE, state.route.latencyTargetMilliseconds * (isStream ? SILENT_TARGETS.stream : SILENT_TARGETS.plain))
    if (now - lastProgressAt < (isQuiet ? target : target * 2)) return
    abort({ kind: 'broken', reason: `silent for ${now - lastProgressAt} ms`, begun: state.begun }, 'silent')
  }

  function hear (): void {
    const now = steadyNow()
    backend.heardAt = now
    lastProgressAt = now
    if (pending.answered) return
    pending.answered = true
    const expected = choice.prefillTokens / PREFILL_TOKENS_PER_MILLISECOND + (isStream ? EXPECTED_FIRST_ANSWER.engine : EXPECTED_FIRST_ANSWER.plain)
    note({ kind: 'answered', delayMilliseconds: now - sentAt, expectedMilliseconds: expected })
  }

  function onHead (incoming: IncomingMessage): void {
    hear()
    const status = incoming.statusCode ?? 0
    const fields = wire.readAnswer(status, incoming.headers)
    if (fields.load !== undefined) backend.reported = { ...fields.load, receivedAt: steadyNow(), sendsAtReceipt: backend.sends }
    if (fields.attemptId !== '' && fields.attemptId !== state.fields.attemptId) {
      abort({ kind: 'broken', reason: 'answer of another request', begun: state.begun }, 'answer of another request')
      return
    }
    const isSuccess = status >= STATUS.ok && status <= STATUS.lastOk
    if (isSuccess && (!fields.isSigned || fields.isEncoded)) {
      abort({ kind: 'broken', reason: 'success without proof of the backend server', begun: state.begun }, 'unusable answer')
      return
    }
    const passes = isSuccess && isStream
    head = { incoming, passes }
    if (passes && !state.begun) {
      state.begun = true
      state.firstByteAt = steadyNow()
      const returned = wire.returnHeaders(incoming.rawHeaders)
      response.writeHead(status, withoutLength(returned, context))
    }
  }

  function onData (chunk: Buffer): void {
    hear()
    if (head === undefined) return
    if (!head.passes) {
      gathered.push(chunk)
      gatheredBytes += chunk.length
      if (gatheredBytes > LARGEST_GATHERED_ANSWER) abort({ kind: 'broken', reason: 'answer too large', begun: false }, 'answer too large')
      return
    }
    const whole = splitter.push(chunk)
    if (whole.bytes.length === 0) return
    state.deliveredEvents += whole.events
    if (whole.lastEventId !== '') state.lastEventId = whole.lastEventId
    if (!response.write(whole.bytes)) {
      exchange.pause()
      response.once('drain', () => exchange.resume())
    }
  }

  function onEnd (): void {
    if (head === undefined) return settle({ kind: 'broken', reason: 'answer without a head', begun: state.begun })
    const status = head.incoming.statusCode ?? 0
    if (head.passes) {
      if (splitter.heldBytes > 0) return onBroken(true, 'stream ended within an event')
      state.mayHaveRun = true
      succeed()
      response.end()
      return settle({ kind: 'delivered', status })
    }
    const fields = wire.readAnswer(status, head.incoming.headers)
    if (fields.isNotRun) {
      note({ kind: 'rejected' })
      if (fields.isMisplaced) context.backends.markMisplaced(backend.entry.id)
      return settle({ kind: 'notRun', reason: `the backend server rejected it with status ${status}` })
    }
    state.mayHaveRun = true
    const answer = gatherAnswer(head.incoming)
    if (status < STATUS.serverError) {
      succeed()
      if (state.begun) return settle({ kind: 'broken', reason: `status ${status} to a resumed stream`, begun: true })
      answer.deliver()
      return settle({ kind: 'delivered', status })
    }
    if (!fields.isSigned || fields.looksNotRun) {
      note({ kind: 'failedAnswer' })
      return settle({ kind: 'broken', reason: `status ${status} without proof of the backend server`, begun: state.begun })
    }
    const serverFails = failureWeight(backend, steadyNow()) >= FAILING_SERVER
    note({ kind: 'failedAnswer' })
    if (!state.begun) state.heldAnswer = answer
    return settle(state.begun ? { kind: 'broken', reason: `status ${status} to a resumed stream`, begun: true } : { kind: 'failedAnswer', status, serverFails })
  }

  function succeed (): void {
    if (context.crashWatch.hasSuspects) context.crashWatch.recordAnswer(fingerprint(state))
  }

  function gatherAnswer (incoming: IncomingMessage): HeldAnswer {
    const body = Buffer.concat(gathered)
    const status = incoming.statusCode ?? 0
    const returned = withoutLength(wire.returnHeaders(incoming.rawHeaders), context)
    const hasNoBody = callerRequest.method === 'HEAD' || status === 204 || status === 304
    return {
      status,
      deliver: () => {
        if (response.headersSent || response.destroyed) return
        state.firstByteAt = steadyNow()
        response.writeHead(status, hasNoBody ? returned : [...returned, 'Content-Length', String(body.length)])
        response.end(hasNoBody ? undefined : body)
      }
    }
  }

  function onBroken (sent: boolean, reason: string): void {
    if (abortedAs !== undefined) {
      state.mayHaveRun ||= sent
      return settle(abortedAs)
    }
    if (!sent) {
      note({ kind: 'unreachable' })
      return settle({ kind: 'notSent', reason })
    }
    state.mayHaveRun = true
    note({ kind: 'broken' })
    if (!state.begun) context.fleet.reportCrash(fingerprint(state))
    settle({ kind: 'broken', reason, begun: state.begun })
  }
}

/** Headers without a length, which is set anew for what is passed on. */
function withoutLength (headers: readonly string[], context: GatewayContext): string[] {
  const kept: string[] = []
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]?.toLowerCase() !== 'content-length') kept.push(headers[index] ?? '', headers[index + 1] ?? '')
  }
  for (const [name, value] of Object.entries(closing(context))) kept.push(name, value)
  return kept
}
