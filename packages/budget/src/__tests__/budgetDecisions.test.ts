import { describe, expect, test } from '@jest/globals'
import { create } from '@bufbuild/protobuf'
import { BudgetSettingsSchema, RefusalPreference, TransferAllowanceRequestSchema } from '@quinceshunt/schemas'
import fc from 'fast-check'
import { createAllowancePolicy, sizeDraw, sizeTransfer } from '../allowancePolicy.js'
import { putRow } from '../budgetRecords.js'
import { closeLease, type CloseLeaseInput } from '../closeLease.js'
import { emptyLeaseSnapshot, type LeaseSnapshot } from '../leaseLedger.js'
import { drawAllowance } from '../drawAllowance.js'
import { promptTokenUpperBound } from '../reservationCeiling.js'
import { resolveLease, type LeaseResolution } from '../resolveLease.js'
import { settleLeases } from '../settleLeases.js'
import { summariseBudget } from '../summariseBudget.js'
import { topUpBudget } from '../topUpBudget.js'
import { TransferLog } from '../transferLog.js'
import { charge, leaseInput, LossyTable, tableWithLease, transfer } from '../__fixtures__/lossyTable.js'

const closingInput: CloseLeaseInput = {
  budgetId: 'budget', incarnation: 'holder', transferredOutTokens: 0n, charges: [], transfers: [], whenTransfersPending: 'withhold', now: 2000n
}

function resolution (changes: Partial<LeaseResolution> = {}): LeaseResolution {
  return { budgetId: 'budget', incarnation: 'holder', resolution: 'release', tokens: 500n, now: 2000n, audit: putRow('audit/1/a', new Uint8Array([1])), ...changes }
}

describe('topUpBudget', () => {
  const topUp = { budgetId: 'budget', topUpId: 'a', tokens: 100n, operator: 'test', addedAt: 7n, audit: putRow('audit/1/a', new Uint8Array([1])) }

  // A lost reply or an operator who repeats the command must not add a top-up twice.
  test('adds each ID only once and rejects a different amount', async () => {
    const table = new LossyTable()
    table.lostReplies = 2
    expect(await table.run(topUpBudget(topUp))).toMatchObject({ kind: 'added', budget: { prepaidTokens: 100n } })
    expect(await table.run(topUpBudget({ ...topUp, addedAt: 8n, audit: putRow('audit/1/b', new Uint8Array()) }))).toMatchObject({ kind: 'alreadyAdded', budget: { prepaidTokens: 100n } })
    expect(await table.run(topUpBudget({ ...topUp, tokens: 101n }))).toMatchObject({ kind: 'conflict', recorded: { tokens: 100n }, budget: { prepaidTokens: 100n } })
  })
})

describe('drawAllowance', () => {
  // A retry after a lost reply must not draw again: the holder would know only one of the draws.
  test('draws once if the reply is lost, and never more than is prepaid', async () => {
    const table = await tableWithLease(1000n, 0n)
    table.lostReplies = 1
    const drawn = await table.run(drawAllowance(leaseInput('holder'), () => 400n))
    expect(drawn).toMatchObject({ kind: 'moved', tokens: 400n })
    expect(await table.run(drawAllowance(leaseInput('other'), () => 5000n))).toMatchObject({ kind: 'moved', tokens: 600n })
    expect(await table.run(drawAllowance(leaseInput('third'), () => 1n))).toMatchObject({ kind: 'nothing' })
  })
})

describe('settleLeases', () => {
  const settle = async (table: LossyTable, snapshot: LeaseSnapshot, number: bigint) => (await table.run(settleLeases({
    incarnation: 'receiver', batchNumber: number, now: 0n, expiresAt: 1000n, leases: [{ budgetId: 'budget', snapshot, transferredOutTokens: 0n, charges: [], transfers: [transfer(1n, 200n)], mayTruncate: false }]
  })))[0]!

  // A peer that repeats its answer after the transfer was recorded must not add the tokens again.
  test('does not count a recorded transfer twice', async () => {
    const table = await tableWithLease(1000n, 600n)
    const first = await settle(table, emptyLeaseSnapshot('receiver'), 1n)
    const second = await settle(table, first.snapshot, 2n)
    expect([first.snapshot.record.transferredInTokens, second.snapshot.record.transferredInTokens]).toEqual([200n, 200n])
    expect(second.finishedTransfers.size).toBe(1)
  })
})

describe('TransferLog', () => {
  const request = create(TransferAllowanceRequestSchema, { requestId: 'r', budgetId: 'budget', receiverIncarnation: 'receiver', wantedTokens: 5n })

  // A repeated request must get the earlier answer, also if that answer had no tokens.
  test('returns the earlier answer for a repeated request ID', () => {
    const log = new TransferLog('holder')
    const given = log.recordTransfer(request, 5n)
    expect(log.findAnswer('r')).toBe(given)
    log.recordRefusal({ ...request, requestId: 'other' })
    expect(log.findAnswer('other')?.tokens).toBe(0n)
  })

  test('rejects a duplicate transfer and one for another instance', () => {
    const given = new TransferLog('holder').recordTransfer(request, 5n)
    const receiver = new TransferLog('receiver')
    expect([receiver.accept('budget', given), receiver.accept('budget', given)]).toEqual([true, false])
    expect(new TransferLog('third').accept('budget', given)).toBe(false)
  })
})

describe('closeLease', () => {
  // Bills without an idempotency key have no rows of their own, so only the closing row stops two adopters from billing both.
  test('does not bill twice if the closing reply is lost and two adopters close again', async () => {
    for (const keyed of [true, false]) {
      const table = await tableWithLease(1000n, 600n)
      const charges = [charge('a', 100n, keyed), charge('b', 50n, keyed)]
      table.lostReplies = 1
      await expect(table.runOnce(closeLease({ ...closingInput, charges }))).rejects.toThrow('no reply')
      expect(await table.run(closeLease({ ...closingInput, charges }))).toEqual({ kind: 'alreadyClosed', withheldTokens: 0n })
      expect(await table.run(closeLease({ ...closingInput, charges }))).toEqual({ kind: 'alreadyClosed', withheldTokens: 0n })
      expect(table.billedRequestIds()).toEqual(['a', 'b'])
      expect(await table.run(summariseBudget('budget', 3000n))).toMatchObject({ spentTokens: 150n, undrawnTokens: 850n, leases: [] })
    }
  })

  // A lease that only received transfers may have no row whose version would detect the second adopter.
  test('does not bill twice if the lease row was never written', async () => {
    const table = await tableWithLease(1000n, 600n)
    const adopted: CloseLeaseInput = { ...closingInput, incarnation: 'receiver', charges: [charge('a', 100n, false)], transfers: [transfer(1n, 200n)] }
    expect(await table.run(closeLease(adopted))).toMatchObject({ kind: 'closed', billed: 1, returnedTokens: 100n })
    expect(await table.run(closeLease(adopted))).toEqual({ kind: 'alreadyClosed', withheldTokens: 0n })
    expect(table.billedRequestIds()).toEqual(['a'])
  })

  // A settlement whose reply was lost may have written a bill that the adopter still has in its list.
  test('does not rewrite bills of a settlement that took effect', async () => {
    const table = await tableWithLease(1000n, 600n)
    const lease = { budgetId: 'budget', snapshot: (await table.run(drawAllowance(leaseInput('holder'), () => 1n))).snapshot, transferredOutTokens: 0n, transfers: [], mayTruncate: false }
    await table.run(settleLeases({ incarnation: 'holder', batchNumber: 1n, now: 0n, expiresAt: 1000n, leases: [{ ...lease, charges: [charge('a', 100n, false)] }] }))
    const sequence = lease.snapshot.record.sequence + 1n
    await table.run(closeLease({ ...closingInput, charges: [charge('a', 100n, false, sequence), charge('b', 10n, false)] }))
    expect(table.billedRequestIds()).toEqual(['a', 'b'])
  })

  // A peer may already spend transferred tokens that it has not recorded, so closing must not return them.
  test('keeps the lease row while receivers have not recorded transfers from it', async () => {
    const table = await tableWithLease(1000n, 600n)
    const withTransfer = { ...closingInput, transferredOutTokens: 200n }
    expect(await table.run(closeLease({ ...withTransfer, whenTransfersPending: 'wait' }))).toEqual({ kind: 'transfersPending', tokens: 200n })
    expect(await table.run(closeLease(withTransfer))).toMatchObject({ kind: 'closed', returnedTokens: 400n, withheldTokens: 200n })
    expect(await table.run(closeLease(withTransfer))).toEqual({ kind: 'alreadyClosed', withheldTokens: 200n })
    expect(await table.run(summariseBudget('budget', 3000n))).toMatchObject({ withheldTokens: 200n, unattributedTokens: 0n })
  })
})

describe('resolveLease', () => {
  // The holder of an unexpired lease may still spend its tokens.
  test('rejects unexpired leases, unknown leases and amounts above the outstanding tokens', async () => {
    const table = await tableWithLease(1000n, 600n)
    expect(await table.run(resolveLease(resolution({ now: 999n })))).toEqual({ kind: 'leaseNotExpired', expiresAt: 1000n })
    expect(await table.run(resolveLease(resolution({ tokens: 601n })))).toEqual({ kind: 'tooManyTokens', outstandingTokens: 600n })
    expect(await table.run(resolveLease(resolution({ incarnation: 'nobody' })))).toEqual({ kind: 'leaseNotFound' })
  })

  test.each([['release', 0n, 900n], ['charge', 500n, 400n]] as const)('does not apply %s twice if replies are lost', async (kind, spentTokens, undrawnTokens) => {
    const table = await tableWithLease(1000n, 600n)
    table.lostReplies = 2
    expect(await table.run(resolveLease(resolution({ resolution: kind })))).toMatchObject({ kind: 'resolved' })
    expect(await table.run(summariseBudget('budget', 2000n))).toMatchObject({ spentTokens, undrawnTokens, withheldTokens: 100n, unattributedTokens: 0n })
  })

  // Overspend would result if a receiver recorded tokens that an operator has released.
  test('prevents a late transfer from being recorded', async () => {
    const table = await tableWithLease(1000n, 600n)
    await table.run(resolveLease(resolution({ tokens: 600n })))
    const lease = { budgetId: 'budget', snapshot: emptyLeaseSnapshot('receiver'), transferredOutTokens: 0n, charges: [charge('a', 200n, true)], transfers: [transfer(1n, 200n)], mayTruncate: false }
    const settle = (mayTruncate: boolean) => settleLeases({ incarnation: 'receiver', batchNumber: 1n, now: 0n, expiresAt: 1000n, leases: [{ ...lease, mayTruncate }] })
    const [refused] = await table.run(settle(false))
    expect([refused!.finishedRequestIds.size, refused!.finishedTransfers.size]).toEqual([0, 1])
    expect(await table.run(summariseBudget('budget', 2000n))).toMatchObject({ spentTokens: 0n, undrawnTokens: 1000n, unattributedTokens: 0n })
  })
})

describe('allowances', () => {
  const policies = [RefusalPreference.AVOID_OVERSPEND_RISK, RefusalPreference.AVOID_FALSE_REFUSALS].map((refusalPreference) => createAllowancePolicy(create(BudgetSettingsSchema, { refusalPreference })))
  const tokens = fc.bigInt({ min: 0n, max: 10n ** 12n })

  // Larger draws would exceed the budget or starve other instances; smaller ones would not cover waiting requests.
  test('are drawn within the undrawn tokens, cover waiting requests and respect the fair share', () => {
    fc.assert(fc.property(tokens, tokens, tokens, fc.nat(1_000_000), fc.integer({ min: 1, max: 390 }), fc.constantFrom(...policies), (neededTokens, availableTokens, undrawnTokens, tokensPerSecond, instances, policy) => {
      const size = sizeDraw({ neededTokens, availableTokens, undrawnTokens, tokensPerSecond, instances }, policy)
      expect(size >= 0n && size <= undrawnTokens).toBe(true)
      if (neededTokens <= undrawnTokens) expect(size).toBeGreaterThanOrEqual(neededTokens)
      if (size > neededTokens) expect(Number(size) * instances).toBeLessThanOrEqual(Number(undrawnTokens))
    }))
  })

  test('are transferred only as far as the giver has tokens', () => {
    fc.assert(fc.property(tokens, fc.bigInt({ min: -1000n, max: 10n ** 9n }), (wanted, givable) => {
      const transferred = sizeTransfer(wanted, givable)
      expect(transferred >= 0n && transferred <= wanted && transferred <= (givable > 0n ? givable : 0n)).toBe(true)
    }))
  })

  // A token covers at least one byte, so a bound in bytes is never below the engine's token count.
  test('are reserved for at least every byte of the prompt', () => {
    fc.assert(fc.property(fc.array(fc.string({ unit: 'grapheme' })), (texts) => {
      const bytes = texts.reduce((sum, text) => sum + new TextEncoder().encode(text).length, 0)
      expect(promptTokenUpperBound(texts.map((content) => ({ role: 'user', content })))).toBeGreaterThanOrEqual(bytes)
      expect(promptTokenUpperBound(texts.map((text) => ({ role: 'user', content: [{ type: 'text', text }] })))).toBeGreaterThanOrEqual(bytes)
    }))
  })
})
