import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { BillRecordSchema, BudgetRecordSchema } from '@quinceshunt/schemas'
import { readFileSync, readdirSync } from 'node:fs'
import { runExperiment } from '../experiment/experiment.js'
import { parseExperimentFile } from '../fleet/experimentFile.js'
import { measureBudgets } from '../load/falseRefusals.js'
import { mixes } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import type { SentRequest } from '../load/sendPlan.js'

const EXPERIMENTS_FOLDER = 'packages/bench/experiments'
const planOptions = { seed: 4, durationMilliseconds: 60_000, requestsPerSecond: 50, mix: mixes.taller, accounts: [{ id: 'a', share: 3 }, { id: 'b', share: 1 }] }

function sentRequest (fields: Partial<SentRequest>, at: number, answerTokens = 100): SentRequest {
  const requestClass = mixes.taller[1]!
  const planned = { number: 0, atMilliseconds: at, requestClass, account: 'a', routerShare: 0, content: '', answerTokens }
  return { planned, result: 'answered', detail: '', firstTokenMilliseconds: 1, betweenTokensMilliseconds: [], endedAtMilliseconds: at + 10, tokens: answerTokens, sendDelayMilliseconds: 0, ...fields }
}

describe('experiments', () => {
  // Guards against ratios that compare different repetitions, and against a policy that always runs first.
  test('policies alternate and ratios pair the repetitions', async () => {
    const order: string[] = []
    const result = await runExperiment({
      name: 'x',
      description: '',
      policies: ['one', 'two'],
      repetitions: 3,
      seed: 10,
      run: async (policy, { seed }) => {
        order.push(policy)
        return { value: policy === 'one' ? seed : 3 * seed }
      }
    })
    expect(order).toEqual(['one', 'two', 'two', 'one', 'one', 'two'])
    expect(result.measures[0]?.policies[1]?.ratio).toEqual({ median: 3, lowest: 3, highest: 3 })
  })

  // Guards against load that differs between policies, or that is not of the rate and mix asked for.
  test('a plan is determined by its seed and keeps rate and shares', () => {
    const plan = planRequests(planOptions)
    expect(planRequests(planOptions)).toEqual(plan)
    expect(planRequests({ ...planOptions, seed: 5 })).not.toEqual(plan)
    // Four standard deviations of a Poisson count of 3000.
    expect(Math.abs(plan.length - 3000)).toBeLessThan(220)
    expect(plan.filter((request) => request.account === 'a').length / plan.length).toBeCloseTo(0.75, 1)
    expect(plan.filter((request) => request.requestClass.kind === 'query').length / plan.length).toBeCloseTo(0.6, 1)
  })

  // Guards against counting a true refusal as false and the reverse. The finished request cost 49 + 1 tokens, the running
  // one has reserved 100 + 4 + 48, and the refused one costs 101 and would have reserved as much as the running one.
  test.each([
    [354, { falseRefusals: 1, upperBoundRefusals: 0 }],
    [353, { falseRefusals: 0, upperBoundRefusals: 1 }],
    [303, { falseRefusals: 0, upperBoundRefusals: 1 }],
    [302, { falseRefusals: 0, upperBoundRefusals: 0 }]
  ])('refusals with %d prepaid tokens', (budgetTokens, expected) => {
    const sent = [
      sentRequest({}, 0, 49),
      sentRequest({ endedAtMilliseconds: 500 }, 50),
      sentRequest({ result: 'refused', detail: 'budget_exhausted' }, 100),
      sentRequest({}, 200)
    ]
    const ledger = {
      budgets: new Map([['a-budget', create(BudgetRecordSchema, { prepaidTokens: BigInt(budgetTokens), committedTokens: 200n })]]),
      leases: [],
      bills: [create(BillRecordSchema, { budgetId: 'a-budget', chargedTokens: BigInt(budgetTokens + 7) })]
    }
    expect(measureBudgets(sent, [{ id: 'a', budgetTokens }], ledger)).toEqual({ budgetRefusals: 1, ...expected, overspendTokens: 7, committedUnsettledTokens: 200 })
  })

  test('the example files are valid', () => {
    const files = readdirSync(EXPERIMENTS_FOLDER)
    expect(files.length).toBeGreaterThan(1)
    for (const file of files) expect(parseExperimentFile(file, readFileSync(`${EXPERIMENTS_FOLDER}/${file}`, 'utf8')).name).toBe(file.replace('.yaml', ''))
  })

  // Guards against misspelt keys that would silently compare two equal policies.
  test('a bad file is refused with all of its faults', () => {
    expect(() => parseExperimentFile('x.yaml', 'name: X\ndurationSeconds: 5\nload: { mix: taller }\npolicies: { a: { routerSetting: {} } }\nfaults: [{ kind: flood, atSeconds: 1 }]\n'))
      .toThrow(/name: use lower case[^]*load: give either[^]*policies\.a: Unrecognized key[^]*faults\.0\.kind/)
  })
})
