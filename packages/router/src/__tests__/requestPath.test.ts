import { describe, expect, test } from '@jest/globals'
import type { AttemptOutcome } from '@quinceshunt/requests'
import type { SheetBackendServer } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { serveRequest, type AttemptResult, type Charge, type RequestCommand, type RequestResult } from '../requestPath.js'

const DEADLINE = 1000
const LENGTH = 20

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
  admissions: fc.array(fc.constantFrom('admitted', 'suspect', 'quarantined'), { minLength: LENGTH, maxLength: LENGTH }),
  reserved: fc.boolean(),
  slots: fc.array(fc.boolean(), { minLength: LENGTH, maxLength: LENGTH }),
  attempts: fc.array(arbitraryAttempt, { minLength: LENGTH, maxLength: LENGTH }),
  retries: fc.nat(6)
})

type Script = typeof arbitraryScript extends fc.Arbitrary<infer Value> ? Value : never

interface Trace {
  readonly result: RequestResult<string>
  readonly commands: readonly RequestCommand<string>[]
  readonly attempts: readonly AttemptResult<string>[]
}

/** Plays a script against the request path. */
function play (script: Script): Trace {
  const commands: RequestCommand<string>[] = []
  const attempts: AttemptResult<string>[] = []
  const admissions = [...script.admissions]
  const slots = [...script.slots]
  const scripted = [...script.attempts]
  let retries = script.retries
  const decision = serveRequest<string>({ idempotent: script.idempotent, deadline: DEADLINE, takeRetry: () => retries-- > 0 })

  function respond (command: RequestCommand<string>): unknown {
    switch (command.kind) {
      case 'admit': return { kind: admissions.shift() }
      case 'reserve': return script.reserved ? { kind: 'reserved' } : { kind: 'refused', code: 'budget_exhausted', message: '', retryAt: 0 }
      case 'acquire':
        if (slots.shift() === true) return { kind: 'slot', slot: { backendServer: { id: `server-${slots.length}` } as SheetBackendServer, release: () => {} } }
        return command.trial ? undefined : { kind: 'shed', status: 503, code: 'overloaded', message: '', retryAt: 0 }
      case 'attempt':
        attempts.push(scripted[0]!)
        return scripted.shift()
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

function count (trace: Trace, kind: RequestCommand<string>['kind']): number {
  return trace.commands.filter((command) => command.kind === kind).length
}

/** Whether an attempt may have been run at the backend server. */
function mayHaveRun (attempt: AttemptResult<string>): boolean {
  switch (attempt.kind) {
    case 'answered': return true
    case 'rejected': return false
    case 'callerGone': return attempt.charge !== undefined
    case 'failed': return !certainlyNotRun(attempt.outcome)
  }
}

/** Checks a property of all traces. */
function check (property: (trace: Trace, script: Script) => void, change: Partial<Script> = {}): void {
  fc.assert(fc.property(arbitraryScript, (script) => {
    const changed = { ...script, ...change }
    property(play(changed), changed)
  }), { numRuns: 2000 })
}

describe('serveRequest', () => {
  // Guards against reservations left open, and against billing twice or not at all.
  test('ends each reservation exactly once, by a bill exactly when the request may have run', () => {
    check((trace, script) => {
      const reserved = script.reserved && count(trace, 'reserve') === 1
      expect(count(trace, 'settle') + count(trace, 'releaseReservation')).toBe(reserved ? 1 : 0)
      expect(count(trace, 'settle') === 1).toBe(trace.attempts.some(mayHaveRun))
    })
  })

  // Guards against telling a caller that a request was not run when an earlier attempt may have run it.
  test('says "no" only when no attempt may have run', () => {
    check(({ result, attempts }) => {
      const told = result.kind === 'failed' ? result.error.run : result.kind === 'callerGone' ? result.run : undefined
      if (told === 'no') expect(attempts.filter(mayHaveRun)).toEqual([])
    })
  })

  // Guards against running a deposit or a pledge twice.
  test('never attempts a non-idempotent request again after one that may have run', () => {
    check(({ attempts }) => expect(attempts.slice(0, -1).filter(mayHaveRun)).toEqual([]), { idempotent: false })
  })

  // Guards against running content outside a trial after it has become suspect while the request waited in a queue.
  test('runs outside a trial only what was admitted after its slot came free', () => {
    check(({ commands }, script) => {
      let admissions = 0
      let admittedSinceSlot = false
      let trial = false
      for (const command of commands) {
        if (command.kind === 'admit') admittedSinceSlot = script.admissions[admissions++] === 'admitted'
        if (command.kind === 'acquire') {
          admittedSinceSlot = false
          trial = command.trial
        }
        if (command.kind === 'attempt' && command.resumeOffset === undefined) expect(trial || admittedSinceSlot).toBe(true)
      }
    })
  })

  // Guards against leaked slots on backend servers.
  test('releases every slot once', () => {
    check((trace, script) => {
      const granted = script.slots.slice(0, count(trace, 'acquire')).filter(Boolean).length
      expect(count(trace, 'releaseSlot')).toBe(granted)
    })
  })

  // Guards against retries that multiply an overload.
  test('makes at most one attempt more than the retries it was given', () => {
    check(({ attempts }, script) => expect(attempts.length).toBeLessThanOrEqual(1 + script.retries))
  })

  // Guards against sending a caller the start of another answer after part of the first.
  test('only resumes after part of an answer was sent', () => {
    check(({ commands, attempts }) => {
      commands.filter((command) => command.kind === 'attempt').forEach((command, index) => {
        const earlier = attempts[index - 1]
        if (earlier?.kind === 'failed' && earlier.unitsSentToCaller > 0) expect(command.resumeOffset).toBeDefined()
      })
    })
  })
})
