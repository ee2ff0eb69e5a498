import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { BudgetFleet, type PeerFault, type TableFault } from '../__fixtures__/budgetFleet.js'

const INSTANCE_COUNT = 3
const PREPAID_TOKENS = 4_000
const TOP_UP_TOKENS = 1_500
const KEY_COUNT = 4
/** Long enough for repeated requests, renewals and settlements to finish after all faults have ended. */
const QUIESCE_MS = 5_000
const STOP_TIMEOUT_MS = 10_000

type Step =
  | { readonly kind: 'run', readonly instance: number, readonly ceiling: number, readonly charge: number, readonly key: number | undefined, readonly milliseconds: number }
  | { readonly kind: 'table', readonly fault: TableFault }
  | { readonly kind: 'peers', readonly fault: PeerFault }
  | { readonly kind: 'topUp', readonly id: number }
  | { readonly kind: 'pause' | 'resume' | 'kill' | 'stop', readonly instance: number }
  | { readonly kind: 'wait', readonly milliseconds: number }

const instanceNumber = fc.nat(INSTANCE_COUNT - 1)
const runStep = fc.record({
  kind: fc.constant('run' as const),
  instance: instanceNumber,
  ceiling: fc.integer({ min: 50, max: 900 }),
  charge: fc.integer({ min: 0, max: 1_000 }),
  key: fc.option(fc.nat(KEY_COUNT - 1), { nil: undefined }),
  milliseconds: fc.integer({ min: 0, max: 1_500 })
})
const waitStep = fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.integer({ min: 1, max: 3_000 }) })
const faultStep = fc.oneof(
  fc.record({ kind: fc.constant('table' as const), fault: fc.constantFrom<TableFault>('none', 'down', 'loseReplies', 'lateWrites', 'slow') }),
  fc.record({ kind: fc.constant('peers' as const), fault: fc.constantFrom<PeerFault>('none', 'cut', 'loseReplies', 'duplicate') }),
  fc.record({ kind: fc.constant('topUp' as const), id: fc.nat(1) }),
  fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const), instance: instanceNumber })
)
const stopStep = fc.record({ kind: fc.constant('stop' as const), instance: instanceNumber })
const killStep = fc.record({ kind: fc.constant('kill' as const), instance: instanceNumber })

function stepSequences (...terminations: Array<fc.Arbitrary<Step>>): fc.Arbitrary<Step[]> {
  const steps: Array<fc.WeightedArbitrary<Step>> = [{ arbitrary: runStep, weight: 10 }, { arbitrary: waitStep, weight: 6 }, { arbitrary: faultStep, weight: 5 }]
  return fc.array(fc.oneof(...steps, ...terminations.map((arbitrary) => ({ arbitrary, weight: 1 }))), { minLength: 10, maxLength: 60 })
}

/** Checks the invariants that hold at any time. */
async function checkInvariants (fleet: BudgetFleet, prepaid: bigint): Promise<void> {
  const summary = await fleet.summary('budget')
  expect(summary.budget.prepaidTokens).toBe(prepaid)
  expect(summary.budget.committedTokens).toBeLessThanOrEqual(prepaid)
  expect(summary.spentTokens).toBeLessThanOrEqual(summary.budget.committedTokens)
  expect(summary.unattributedTokens).toBe(0n)
  for (const { outstandingTokens } of summary.leases) expect(outstandingTokens).toBeGreaterThanOrEqual(0n)
  const bills = fleet.bills()
  expect(new Set(bills.map(({ requestId }) => requestId)).size).toBe(bills.length)
  expect(bills.reduce((sum, bill) => sum + bill.chargedTokens, 0n)).toBe(summary.spentTokens)
  // Spend as callers have seen it: requests that were run, whether or not their bills have been written.
  const servedTokens = new Map(fleet.runs.map(({ requestId, tokens }) => [requestId, tokens]))
  for (const { requestId, tokens } of fleet.runs) if (tokens < servedTokens.get(requestId)!) servedTokens.set(requestId, tokens)
  expect([...servedTokens.values()].reduce((sum, tokens) => sum + tokens, 0n)).toBeLessThanOrEqual(prepaid)
}

async function runSteps (steps: readonly Step[], transferPath: number): Promise<void> {
  const fleet = new BudgetFleet(INSTANCE_COUNT, { transferPath, refusalPreference: 1 + steps.length % 2, leaseMilliseconds: 3_000 })
  const topUps = new Set<string>()
  const topUp = async (id: string, tokens: number): Promise<void> => {
    topUps.add(id)
    await fleet.topUp('budget', id, tokens)
  }
  const prepaid = (): bigint => BigInt(PREPAID_TOKENS + TOP_UP_TOKENS * (topUps.size - 1))
  await topUp('first', PREPAID_TOKENS)
  for (const [index, step] of steps.entries()) {
    const instance = 'instance' in step ? fleet.instances[step.instance]! : undefined
    if (step.kind === 'run') {
      const requestId = step.key === undefined ? `request-${index}` : `keyed-${step.key}`
      fleet.run(instance!, { ...step, charge: Math.min(step.charge, step.ceiling), requestId, budgetId: 'budget', keyed: step.key !== undefined })
    }
    if (step.kind === 'table') fleet.tableFault = step.fault
    if (step.kind === 'peers') fleet.peerFault = step.fault
    if (step.kind === 'topUp') await topUp(`top-up-${step.id}`, TOP_UP_TOKENS)
    if (step.kind === 'pause') instance!.gate.paused = true
    if (step.kind === 'resume') instance!.gate.resume()
    if (step.kind === 'kill') instance!.gate.dead = true
    if (step.kind === 'stop') await fleet.stop(instance!, STOP_TIMEOUT_MS)
    if (step.kind === 'wait') {
      await fleet.time.advance(step.milliseconds)
      await checkInvariants(fleet, prepaid())
    }
  }
  await quiesce(fleet)
  await checkInvariants(fleet, prepaid())
  await checkFinalState(fleet, steps.some(({ kind }) => kind === 'stop'))
}

async function quiesce (fleet: BudgetFleet): Promise<void> {
  fleet.tableFault = 'none'
  fleet.peerFault = 'none'
  for (const { gate } of fleet.instances) gate.resume()
  await fleet.time.advance(QUIESCE_MS)
  for (const instance of fleet.instances) await fleet.stop(instance, STOP_TIMEOUT_MS)
}

async function checkFinalState (fleet: BudgetFleet, stoppedEarly: boolean): Promise<void> {
  const billed = new Set(fleet.bills().map(({ requestId }) => requestId))
  const dead = fleet.instances.filter(({ gate }) => gate.dead)
  const lostBills = fleet.instances.reduce((sum, instance) => sum + instance.lostBills, 0)
  for (const { requestId, outcome } of fleet.runs) {
    if (outcome === 'written' || (dead.length === 0 && lostBills === 0)) expect([requestId, billed.has(requestId)]).toEqual([requestId, true])
  }
  // An instance that reaches neither the table nor a peer by its deadline leaves its leases open.
  if (dead.length > 0 || lostBills > 0 || fleet.totalCount('budget_leases_left_open') > 0) return
  const summary = await fleet.summary('budget')
  const withheldAtClosing = fleet.totalCount('budget_tokens_withheld_at_closing')
  const outstanding = summary.leases.reduce((sum, lease) => sum + lease.outstandingTokens, 0n)
  // A receiver that is paused while the giver stops can't record transfers; no other tokens may be withheld.
  expect(outstanding).toBeLessThanOrEqual(stoppedEarly ? BigInt(withheldAtClosing) : 0n)
  expect(summary.budget.committedTokens - summary.spentTokens).toBe(outstanding)
}

/** Time after the end of an outage in which the transaction in progress is repeated and the bills are written. */
const MAX_BILLING_DELAY_MS = 1_000

// Guards against bills that wait for the next bill or for the renewal of the lease, because they came while tokens were drawn.
test('bills of requests that end while a draw waits for the table are written soon after it answers', async () => {
  const fleet = new BudgetFleet(1)
  const [instance] = fleet.instances
  const run = (requestId: string): void => fleet.run(instance!, { requestId, budgetId: 'budget', ceiling: 150, charge: 100, keyed: false, milliseconds: 100 })
  await fleet.topUp('budget', 'first', 100_000)
  run('before')
  await fleet.time.advance(1_000)
  fleet.tableFault = 'down'
  run('during')
  await fleet.time.advance(2_000)
  expect(fleet.runs.map(({ requestId }) => requestId)).toEqual(['before', 'during'])
  fleet.tableFault = 'none'
  await fleet.time.advance(MAX_BILLING_DELAY_MS)
  expect(fleet.bills().map(({ requestId }) => requestId)).toEqual(['before', 'during'])
})

describe('budget tasks of a fleet', () => {
  const settings = { numRuns: Number(process.env['BUDGET_RUNS'] ?? 60), endOnFailure: true }

  // Faults of the table and the network must not cause overspend, double or lost bills, or lost tokens while all instances live.
  test.each([1, 2])('do not lose or overspend tokens if all instances survive (transfer path %d)', async (transferPath) => {
    await fc.assert(fc.asyncProperty(stepSequences(), async (steps) => {
      await runSteps(steps, transferPath)
    }), settings)
  }, 120_000)

  // The same faults while instances stop, hand over and adopt leases, and die.
  test('never overspend or bill twice if instances stop and die', async () => {
    await fc.assert(fc.asyncProperty(stepSequences(stopStep, killStep), async (steps) => {
      await runSteps(steps, 1)
    }), settings)
  }, 120_000)

  // Handovers must not lose bills: unless an instance dies, every request that was run must be billed.
  test('do not lose bills if instances stop', async () => {
    await fc.assert(fc.asyncProperty(stepSequences(stopStep), async (steps) => {
      await runSteps(steps, 1)
    }), settings)
  }, 120_000)
})
