import { describe, expect, test } from '@jest/globals'
import type { AttemptOutcome } from '@quinceshunt/requests'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { serveRequest, type AttemptResult, type Charge, type RequestCommand, type RequestResult } from '../requestPath.js'

const DEADLINE = 1000
const SCRIPT_LENGTH = 20

const charge: Charge = { promptTokens: 3, completionTokens: 4, estimated: false }

function certainlyNotRun (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'neverSent' || outcome.kind === 'refusedBeforeRunning'
}

const arbitraryOutcome: fc.Arbitrary<AttemptOutcome> = fc.oneof(
  fc.constantFrom<AttemptOutcome>({ kind: 'neverSent' }, { kind: 'refusedBeforeRunning' }, { kind: 'resetBeforeFirstByte' }, { kind: 'wrongRequestId' }),
  fc.record({ kind: fc.constant('brokenAfterBytes' as const), bytesReceived: fc.nat(5), resumable: fc.boolean() }),
  fc.record({ kind: fc.constant('crashed' as const), bytesReceived: fc.nat(5) }),
  fc.record({ kind: fc.constant('timeout' as const), bytesReceived: fc.nat(5) })
)

const arbitraryAttempt: fc.Arbitrary<AttemptResult<string>> = fc.oneof(
  { weight: 4, arbitrary: fc.tuple(arbitraryOutcome, fc.nat(2)).map(([outcome, unitsSentToCaller]): AttemptResult<string> => ({ kind: 'failed', outcome, unitsSentToCaller, charge: certainlyNotRun(outcome) ? undefined : charge })) },
  { weight: 1, arbitrary: fc.constant<AttemptResult<string>>({ kind: 'answered', answer: 'whole', charge }) },
  { weight: 1, arbitrary: fc.constant<AttemptResult<string>>({ kind: 'rejected', error: { status: 400, code: 'backend_rejected', message: '', run: 'no' }, charge: undefined }) },
  { weight: 1, arbitrary: fc.boolean().map((sent): AttemptResult<string> => ({ kind: 'callerGone', charge: sent ? charge : undefined })) }
)

const arbitraryScript = fc.record({
  idempotent: fc.boolean(),
  admissions: fc.array(fc.constantFrom('admitted', 'suspect', 'quarantined'), { minLength: SCRIPT_LENGTH, maxLength: SCRIPT_LENGTH }),
  reserved: fc.boolean(),
  slots: fc.array(fc.boolean(), { minLength: SCRIPT_LENGTH, maxLength: SCRIPT_LENGTH }),
  attempts: fc.array(arbitraryAttempt, { minLength: SCRIPT_LENGTH, maxLength: SCRIPT_LENGTH }),
  retries: fc.nat(6)
})

type Script = typeof arbitraryScript extends fc.Arbitrary<infer Value> ? Value : never

interface Trace {
  readonly result: RequestResult<string>
  readonly commands: readonly RequestCommand<string>[]
  readonly attempts: readonly AttemptResult<string>[]
}

/** Runs the request path with scripted responses to its commands. */
function runScript (script: Script): Trace {
  const commands: RequestCommand<string>[] = []
  const attempts: AttemptResult<string>[] = []
  const admissions = [...script.admissions]
  const slots = [...script.slots]
  const remainingAttempts = [...script.attempts]
  let retries = script.retries
  const decision = serveRequest<string>({ idempotent: script.idempotent, deadline: DEADLINE, tryAcquireRetry: () => retries-- > 0 })

  function respond (command: RequestCommand<string>): unknown {
    switch (command.kind) {
      case 'admit': return { kind: admissions.shift() }
      case 'reserve': return script.reserved ? { kind: 'reserved' } : { kind: 'refused', code: 'budget_exhausted', message: '', retryAt: 0 }
      case 'acquire':
        if (slots.shift() === true) return { kind: 'slot', slot: { backendServer: { id: `server-${slots.length}` } as SheetBackendServer, incarnation: '', release: () => {} } }
        return command.trial ? undefined : { kind: 'shed', status: 503, code: 'overloaded', message: '', retryAt: 0 }
      case 'attempt':
        attempts.push(remainingAttempts[0]!)
        return remainingAttempts.shift()
      case 'now': return 0
      default: return undefined
    }
  }

  let step = decision.next()
  while (step.done !== true) {
    commands.push(step.value)
    step = decision.next(respond(step.value))
  }
  return { result: step.value, commands, attempts }
}

function countCommands (trace: Trace, kind: RequestCommand<string>['kind']): number {
  return trace.commands.filter((command) => command.kind === kind).length
}

/** Whether the backend server may have run the attempt. */
function mayHaveRun (attempt: AttemptResult<string>): boolean {
  switch (attempt.kind) {
    case 'answered': return true
    case 'rejected': return false
    case 'callerGone': return attempt.charge !== undefined
    case 'failed': return !certainlyNotRun(attempt.outcome)
  }
}

/** Checks a property of the traces of arbitrary scripts. */
function checkProperty (property: (trace: Trace, script: Script) => void, overrides: Partial<Script> = {}): void {
  fc.assert(fc.property(arbitraryScript, (script) => {
    const scriptWithOverrides = { ...script, ...overrides }
    property(runScript(scriptWithOverrides), scriptWithOverrides)
  }), { numRuns: 2000 })
}

describe('serveRequest', () => {
  // Otherwise reservations leak, or requests are billed twice or not at all.
  test('ends each reservation exactly once, with a bill if and only if the request may have run', () => {
    checkProperty((trace, script) => {
      const reserved = script.reserved && countCommands(trace, 'reserve') === 1
      expect(countCommands(trace, 'settle') + countCommands(trace, 'releaseReservation')).toBe(reserved ? 1 : 0)
      expect(countCommands(trace, 'settle') === 1).toBe(trace.attempts.some(mayHaveRun))
    })
  })

  // An earlier attempt may have run the request even if the last one did not.
  test('reports run "no" only if no attempt may have run', () => {
    checkProperty(({ result, attempts }) => {
      const reportedRun = result.kind === 'failed' ? result.error.run : result.kind === 'callerGone' ? result.run : undefined
      if (reportedRun === 'no') expect(attempts.filter(mayHaveRun)).toEqual([])
    })
  })

  // Otherwise a deposit or a pledge could be made twice.
  test('does not retry a non-idempotent request after an attempt that may have run', () => {
    checkProperty(({ attempts }) => expect(attempts.slice(0, -1).filter(mayHaveRun)).toEqual([]), { idempotent: false })
  })

  // Content can become suspect while a request is queued for a slot.
  test('does not run a request outside a trial unless it was admitted after it got its slot', () => {
    checkProperty(({ commands }, script) => {
      let admissions = 0
      let admittedSinceSlot = false
      let isTrial = false
      for (const command of commands) {
        if (command.kind === 'admit') admittedSinceSlot = script.admissions[admissions++] === 'admitted'
        if (command.kind === 'acquire') {
          admittedSinceSlot = false
          isTrial = command.trial
        }
        if (command.kind === 'attempt' && command.resumeOffset === undefined) expect(isTrial || admittedSinceSlot).toBe(true)
      }
    })
  })

  test('does not leak slots or release them twice', () => {
    checkProperty((trace, script) => {
      const granted = script.slots.slice(0, countCommands(trace, 'acquire')).filter(Boolean).length
      expect(countCommands(trace, 'releaseSlot')).toBe(granted)
    })
  })

  // Unlimited retries amplify an overload.
  test('makes at most one attempt more than the retries granted by the retry budget', () => {
    checkProperty(({ attempts }, script) => expect(attempts.length).toBeLessThanOrEqual(1 + script.retries))
  })

  // A new attempt would send the start of another response after part of the first one.
  test('resumes instead of starting over once part of a response was sent', () => {
    checkProperty(({ commands, attempts }) => {
      commands.filter((command) => command.kind === 'attempt').forEach((command, index) => {
        const earlier = attempts[index - 1]
        if (earlier?.kind === 'failed' && earlier.unitsSentToCaller > 0) expect(command.resumeOffset).toBeDefined()
      })
    })
  })
})
