import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { BillRecordSchema, BudgetRecordSchema } from '@quinceshunt/schemas'
import { readFileSync, readdirSync } from 'node:fs'
import { runExperiment } from '../experiment/experiment.js'
import { parseExperimentFile } from '../fleet/experimentFile.js'
import { measureBudgets } from '../load/measureBudgets.js'
import { mixes } from '../load/mixes.js'
import { planRequests } from '../load/planRequests.js'
import type { SentRequest } from '../load/sendPlan.js'

const EXPERIMENTS_DIRECTORY = 'packages/bench/experiments'
const planOptions = { seed: 4, durationMilliseconds: 60_000, requestsPerSecond: 50, mix: mixes.taller, accounts: [{ id: 'a', share: 3 }, { id: 'b', share: 1 }] }

function sentRequest (fields: Partial<SentRequest>, at: number, answerTokens = 100): SentRequest {
  const requestClass = mixes.taller[1]!
  const planned = { number: 0, arrivalMilliseconds: at, requestClass, account: 'a', routerDraw: 0, content: '', answerTokens }
  return { planned, result: 'answered', detail: '', firstTokenMilliseconds: 1, betweenTokensMilliseconds: [], endedAtMilliseconds: at + 10, tokens: answerTokens, sendDelayMilliseconds: 0, ...fields }
}

describe('experiments', () => {
  // Guards against ratios between different repetitions, whose loads differ, and against a policy that always runs first.
  test('policies run in alternating order and ratios compare the same repetition', async () => {
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

  // Guards against load that differs between policies or deviates from the configured rate and shares.
  test('a plan depends only on its seed and options and keeps the configured rate and shares', () => {
    const plan = planRequests(planOptions)
    expect(planRequests(planOptions)).toEqual(plan)
    expect(planRequests({ ...planOptions, seed: 5 })).not.toEqual(plan)
    // Four standard deviations of a Poisson count with mean 3000.
    expect(Math.abs(plan.length - 3000)).toBeLessThan(220)
    expect(plan.filter((request) => request.account === 'a').length / plan.length).toBeCloseTo(0.75, 1)
    expect(plan.filter((request) => request.requestClass.kind === 'query').length / plan.length).toBeCloseTo(0.6, 1)
  })

  // Guards against misclassified refusals. The finished request cost 49 + 1 tokens, the running request reserved
  // 100 + 4 + 48, and the refused request costs 101 and would have reserved as much as the running one.
  test.each([
    [354, { falseRefusals: 1, upperBoundRefusals: 0 }],
    [353, { falseRefusals: 0, upperBoundRefusals: 1 }],
    [303, { falseRefusals: 0, upperBoundRefusals: 1 }],
    [302, { falseRefusals: 0, upperBoundRefusals: 0 }]
  ])('a refusal with %d prepaid tokens is classified by the remaining tokens', (budgetTokens, expected) => {
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

  test('the shipped experiment files are valid', () => {
    const files = readdirSync(EXPERIMENTS_DIRECTORY)
    expect(files.length).toBeGreaterThan(1)
    for (const file of files) expect(parseExperimentFile(file, readFileSync(`${EXPERIMENTS_DIRECTORY}/${file}`, 'utf8')).name).toBe(file.replace('.yaml', ''))
  })

  // Guards against a misspelt key that is ignored, so that the experiment compares two identical policies.
  test('an invalid file is rejected with all of its problems', () => {
    expect(() => parseExperimentFile('x.yaml', 'name: X\ndurationSeconds: 5\nload: { mix: taller }\npolicies: { a: { routerSetting: {} } }\nfaults: [{ kind: flood, atSeconds: 1 }]\n'))
      .toThrow(/name: use lower case[^]*load: give either[^]*policies\.a: Unrecognized key[^]*faults\.0\.kind/)
  })
})
