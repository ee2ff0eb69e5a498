import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { Code, ConnectError } from '@connectrpc/connect'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { claimKey } from '@quinceshunt/requests'
import { AdministrationService, ApplySheetResponseSchema, ClaimRecordSchema, ClaimState, LeaseRecordSchema, ResolveKind } from '@quinceshunt/schemas'
import { setTimeout as wait } from 'node:timers/promises'
import { applyRequest, ROLES, startFixture, type Fixture, type OperatorName } from '../__fixtures__/administrationFixture.js'

let fixture: Fixture

beforeEach(async () => { fixture = await startFixture() })
afterEach(async () => await fixture.stop())

async function codeNameOf (call: Promise<unknown>): Promise<string> {
  return await call.then(() => 'ok', (error: unknown) => Code[ConnectError.from(error).code])
}

const BUDGET = 'colegio-santa-ines-2026'
const ACCOUNT = 'colegio-santa-ines'
const SERVER = 'painter-1'
const READ_DELAY_MS = 20

async function listActions (): Promise<string[]> {
  return (await fixture.client('reader').listAudit({})).records.map(({ operator, action, subject }) => `${operator}: ${action} ${subject}`)
}

describe('roles', () => {
  const requiredRoles: Record<keyof typeof AdministrationService.method, OperatorName> = {
    showSheet: 'reader', validateSheet: 'reader', diffSheet: 'reader', listSheetHistory: 'reader', applySheet: 'planner', showBudget: 'reader', topUpBudget: 'operator', resolveBudget: 'operator', listClientAccounts: 'reader', issueKey: 'operator', revokeKey: 'operator', listKeys: 'reader', fleetStatus: 'reader', drainBackendServer: 'operator', listAudit: 'reader', resolveClaim: 'operator', orderEngine: 'operator', listOrders: 'reader'
  }

  // Guards against a method that a lower role or an unknown key may call.
  test.each(Object.entries(requiredRoles))('%s requires at least the role %s', async (method, role) => {
    for (const operator of ['stranger', 'reader', 'planner', 'operator'] as const) {
      const call = fixture.client(operator)[method as keyof typeof requiredRoles] as (request: object) => Promise<unknown>
      const code = await codeNameOf(call({}))
      if (operator === 'stranger') expect(code).toBe('Unauthenticated')
      else if (ROLES[operator] < ROLES[role]) expect(code).toBe('PermissionDenied')
      else expect(['Unauthenticated', 'PermissionDenied']).not.toContain(code)
    }
  })
})

describe('sheets', () => {
  // Guards against a lost update when two operators apply sheets concurrently.
  test('accepts one of two concurrent sheets and reports the accepted head to the other', async () => {
    await fixture.client('planner').applySheet(applyRequest(0n))
    const results = await Promise.allSettled([fixture.client('planner').applySheet(applyRequest(1n, 'first')), fixture.client('second').applySheet(applyRequest(1n, 'second'))])
    const acceptedHeads = results.flatMap((result) => result.status === 'fulfilled' ? [result.value.head] : [])
    const conflicts = results.flatMap((result) => result.status === 'rejected' ? [ConnectError.from(result.reason)] : [])
    expect(acceptedHeads).toHaveLength(1)
    expect(conflicts.map((error) => Code[error.code])).toEqual(['Aborted'])
    expect(conflicts[0]!.findDetails(ApplySheetResponseSchema)[0]?.conflict).toEqual(acceptedHeads[0])
    expect((await fixture.client('reader').listSheetHistory({})).heads.map(({ revision }) => revision)).toEqual([2n, 1n])
    expect(fixture.announcedHeads.map(({ revision }) => revision)).toEqual([1n, 2n])
  })

  test('applying a sheet again after its reply was lost returns the accepted head without another change', async () => {
    const first = await fixture.client('planner').applySheet(applyRequest(0n))
    expect((await fixture.client('planner').applySheet(applyRequest(0n))).head).toEqual(first.head)
    expect(await codeNameOf(fixture.client('second').applySheet(applyRequest(0n)))).toBe('Aborted')
    await fixture.client('second').applySheet(applyRequest(1n, 'january'))
    expect((await fixture.client('planner').applySheet(applyRequest(0n))).head).toEqual(first.head)
    expect((await listActions()).slice(1)).toEqual(['planner: sheet apply taller'])
  })

  test('shows earlier revisions and the differences from the one in force', async () => {
    await fixture.client('planner').applySheet(applyRequest(0n))
    await fixture.client('planner').applySheet(applyRequest(1n, 'january'))
    const { sheet } = await fixture.client('reader').showSheet({ revision: 1n })
    expect(sheet?.budgets[0]?.topUps[0]?.id).toBe('december')
    const { baseRevision, changes } = await fixture.client('reader').diffSheet(applyRequest(0n))
    expect([baseRevision, changes.map(({ path }) => path)]).toEqual([2n, ['december', 'january'].flatMap((id) => [`budgets[${BUDGET}].topUps[${id}].id`, `budgets[${BUDGET}].topUps[${id}].tokens`])])
  })

  // Guards against the sheet of another organisation, and against a changed top-up amount that would have no effect.
  test.each([['deployment,taller', 'deployment,fundacion'], ['4000000', '5000000']])('rejects a sheet with %s replaced by %s', async (before, after) => {
    const request = applyRequest(0n)
    await fixture.client('planner').applySheet(request)
    const content = new TextEncoder().encode(new TextDecoder().decode(request.content).replace(before, after))
    const response = await fixture.client('planner').applySheet({ ...request, content, baseRevision: 1n })
    expect(response.problems).toHaveLength(1)
    expect((await fixture.client('reader').showSheet({})).head?.revision).toBe(1n)
  })
})

describe('operators’ changes', () => {
  beforeEach(async () => { await fixture.client('planner').applySheet(applyRequest(0n)) })

  // Guards against a change that is overwritten by a concurrent one or dropped by the next sheet.
  test('are kept across concurrent changes and the next sheet, and are audited', async () => {
    // Slow reads make all three changes start from the same revision.
    await fixture.stop()
    fixture = await startFixture((platform) => ({ ...platform, table: { ...platform.table, read: async (keys) => await wait(READ_DELAY_MS).then(() => platform.table.read(keys)) } }))
    await fixture.client('planner').applySheet(applyRequest(0n))
    const client = fixture.client('operator')
    const [issued] = await Promise.all([
      client.issueKey({ clientAccount: ACCOUNT, budgetId: BUDGET }),
      client.revokeKey({ keyId: 'key-museo-de-caldas' }),
      fixture.client('second').drainBackendServer({ backendServer: SERVER })
    ])
    const { head } = await client.showSheet({})
    expect(head?.revision).toBe(4n)
    await fixture.client('planner').applySheet(applyRequest(4n, 'january'))
    const { keys } = await client.listKeys({})
    expect(keys.find(({ keyId }) => keyId === issued.keyId)).toMatchObject({ clientAccount: ACCOUNT, budgetId: BUDGET, revoked: false })
    expect(keys.filter(({ revoked }) => revoked).map(({ keyId }) => keyId)).toEqual(['key-museo-de-caldas'])
    expect(new Set(await listActions())).toEqual(new Set(['planner: sheet apply taller', `operator: key issue ${issued.keyId}`, 'operator: key revoke key-museo-de-caldas', `second: backend drain ${SERVER}`]))
    await client.drainBackendServer({ backendServer: SERVER, cancel: true })
    await client.drainBackendServer({ backendServer: SERVER, cancel: true })
    expect((await client.showSheet({})).head?.revision).toBe(6n)
  })

  test('are rejected with NotFound for an unknown ID', async () => {
    const client = fixture.client('operator')
    expect(await codeNameOf(client.revokeKey({ keyId: 'nobody' }))).toBe('NotFound')
    expect(await codeNameOf(client.drainBackendServer({ backendServer: 'nobody' }))).toBe('NotFound')
    expect(await codeNameOf(client.issueKey({ clientAccount: 'museo-de-caldas', budgetId: BUDGET }))).toBe('NotFound')
    expect(await codeNameOf(client.showBudget({ budgetId: 'nothing' }))).toBe('NotFound')
  })

  test('a top-up is added once per ID, and another amount is a conflict', async () => {
    const client = fixture.client('operator')
    const topUp = { budgetId: BUDGET, topUpId: 'receipt-1', tokens: 100n }
    expect(await client.topUpBudget(topUp)).toMatchObject({ added: true, budget: { prepaidTokens: 100n } })
    expect(await client.topUpBudget(topUp)).toMatchObject({ added: false, budget: { prepaidTokens: 100n } })
    expect(await codeNameOf(client.topUpBudget({ ...topUp, tokens: 101n }))).toBe('Aborted')
    expect(await codeNameOf(client.topUpBudget({ ...topUp, topUpId: 'december' }))).toBe('Aborted')
    for (const tokens of [0n, -1n, 1_000_000_000_001n]) expect(await codeNameOf(client.topUpBudget({ ...topUp, tokens }))).toBe('InvalidArgument')
    expect((await listActions()).filter((action) => action.includes('top-up'))).toEqual([`operator: budget top-up ${BUDGET}`])
    expect((await client.showBudget({ budgetId: BUDGET })).remainingTokens).toBe(4_000_100n)
  })

  test('tokens of an expired lease are resolved only with a reason and up to the outstanding amount', async () => {
    const client = fixture.client('operator')
    await client.topUpBudget({ budgetId: BUDGET, topUpId: 'receipt-1', tokens: 100n })
    const [budgetRow] = fixture.platform.memoryTable.read([`budget/${BUDGET}`])
    const lease = create(LeaseRecordSchema, { incarnation: 'router-1.a', sequence: 1n, grantedTokens: 60n, settledTokens: 20n, renewedAt: 1n, expiresAt: 2n })
    fixture.platform.memoryTable.transact([], [{ key: `lease/${BUDGET}/router-1.a`, value: toBinary(LeaseRecordSchema, lease), delete: false }])
    expect(budgetRow?.version).not.toBe(0n)
    const request = { budgetId: BUDGET, incarnation: 'router-1.a', kind: ResolveKind.CHARGE, tokens: 40n, reason: 'engine log' }
    expect(await client.showBudget({ budgetId: BUDGET })).toMatchObject({ withheldTokens: 40n, leases: [{ outstandingTokens: 40n, withheld: true }] })
    expect(await codeNameOf(client.resolveBudget({ ...request, reason: ' ' }))).toBe('InvalidArgument')
    expect(await codeNameOf(client.resolveBudget({ ...request, tokens: 41n }))).toBe('FailedPrecondition')
    expect(await codeNameOf(client.resolveBudget({ ...request, incarnation: 'nobody' }))).toBe('NotFound')
    await client.resolveBudget(request)
    expect((await client.showBudget({ budgetId: BUDGET })).withheldTokens).toBe(0n)
    expect((await listActions())[0]).toBe(`operator: budget resolve --charge ${BUDGET} router-1.a`)
  })

  // Guards against resolving a claim whose request may still be running, which would let a second one run.
  test('a claim is resolved only when its outcome is unknown', async () => {
    const client = fixture.client('operator')
    const putClaim = (state: ClaimState, updatedAt: number): void => {
      const value = toBinary(ClaimRecordSchema, create(ClaimRecordSchema, { requestId: 'r1', bodyHash: 'h', state, updatedAt: BigInt(updatedAt) }))
      fixture.platform.memoryTable.transact([], [{ key: claimKey(ACCOUNT, 'deposit-1'), value, delete: false }])
    }
    const readState = (): ClaimState => fromBinary(ClaimRecordSchema, fixture.platform.memoryTable.read([claimKey(ACCOUNT, 'deposit-1')])[0]!.value).state
    const request = { clientAccount: ACCOUNT, idempotencyKey: 'deposit-1', ran: false, reason: 'not in the ledger' }
    expect(await codeNameOf(client.resolveClaim(request))).toBe('NotFound')
    putClaim(ClaimState.PENDING, Date.now())
    expect(await codeNameOf(client.resolveClaim(request))).toBe('FailedPrecondition')
    putClaim(ClaimState.UNKNOWN, Date.now())
    await client.resolveClaim(request)
    expect(readState()).toBe(ClaimState.WITHDRAWN)
    expect(await codeNameOf(client.resolveClaim(request))).toBe('FailedPrecondition')
    putClaim(ClaimState.PENDING, 1)
    await client.resolveClaim({ ...request, ran: true })
    expect(readState()).toBe(ClaimState.COMPLETED)
  })
})
