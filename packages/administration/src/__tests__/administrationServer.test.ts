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

async function codeOf (call: Promise<unknown>): Promise<string> {
  return await call.then(() => 'ok', (error: unknown) => Code[ConnectError.from(error).code])
}

const BUDGET = 'colegio-santa-ines-2026'
const ACCOUNT = 'colegio-santa-ines'
const SERVER = 'painter-1'
const READ_MILLISECONDS = 20

async function actions (): Promise<string[]> {
  return (await fixture.client('reader').listAudit({})).records.map(({ operator, action, subject }) => `${operator}: ${action} ${subject}`)
}

describe('roles', () => {
  const least: Record<keyof typeof AdministrationService.method, OperatorName> = {
    showSheet: 'reader', validateSheet: 'reader', diffSheet: 'reader', listSheetHistory: 'reader', applySheet: 'planner', showBudget: 'reader', topUpBudget: 'operator', resolveBudget: 'operator', listClientAccounts: 'reader', issueKey: 'operator', revokeKey: 'operator', listKeys: 'reader', fleetStatus: 'reader', drainBackendServer: 'operator', listAudit: 'reader', resolveClaim: 'operator', orderEngine: 'operator', listOrders: 'reader'
  }

  // Guards against a method that a lower role, or nobody's key, may call.
  test.each(Object.entries(least))('%s needs at least the role %s', async (method, role) => {
    for (const operator of ['stranger', 'reader', 'planner', 'operator'] as const) {
      const call = fixture.client(operator)[method as keyof typeof least] as (request: object) => Promise<unknown>
      const code = await codeOf(call({}))
      if (operator === 'stranger') expect(code).toBe('Unauthenticated')
      else if (ROLES[operator] < ROLES[role]) expect(code).toBe('PermissionDenied')
      else expect(['Unauthenticated', 'PermissionDenied']).not.toContain(code)
    }
  })
})

describe('sheets', () => {
  // Guards against a lost update when two operators apply at once.
  test('accepts one of two racing sheets and tells the other who was first', async () => {
    await fixture.client('planner').applySheet(applyRequest(0n))
    const results = await Promise.allSettled([fixture.client('planner').applySheet(applyRequest(1n, 'first')), fixture.client('second').applySheet(applyRequest(1n, 'second'))])
    const accepted = results.flatMap((result) => result.status === 'fulfilled' ? [result.value.head] : [])
    const conflicts = results.flatMap((result) => result.status === 'rejected' ? [ConnectError.from(result.reason)] : [])
    expect(accepted).toHaveLength(1)
    expect(conflicts.map((error) => Code[error.code])).toEqual(['Aborted'])
    expect(conflicts[0]!.findDetails(ApplySheetResponseSchema)[0]?.conflict).toEqual(accepted[0])
    expect((await fixture.client('reader').listSheetHistory({})).heads.map(({ revision }) => revision)).toEqual([2n, 1n])
    expect(fixture.offered.map(({ revision }) => revision)).toEqual([1n, 2n])
  })

  test('applies again without effect when the reply to the operator was lost', async () => {
    const first = await fixture.client('planner').applySheet(applyRequest(0n))
    expect((await fixture.client('planner').applySheet(applyRequest(0n))).head).toEqual(first.head)
    expect(await codeOf(fixture.client('second').applySheet(applyRequest(0n)))).toBe('Aborted')
    await fixture.client('second').applySheet(applyRequest(1n, 'january'))
    expect((await fixture.client('planner').applySheet(applyRequest(0n))).head).toEqual(first.head)
    expect((await actions()).slice(1)).toEqual(['planner: sheet apply taller'])
  })

  test('shows earlier revisions and the difference from the one in force', async () => {
    await fixture.client('planner').applySheet(applyRequest(0n))
    await fixture.client('planner').applySheet(applyRequest(1n, 'january'))
    const { sheet } = await fixture.client('reader').showSheet({ revision: 1n })
    expect(sheet?.budgets[0]?.topUps[0]?.id).toBe('december')
    const { baseRevision, changes } = await fixture.client('reader').diffSheet(applyRequest(0n))
    expect([baseRevision, changes.map(({ path }) => path)]).toEqual([2n, ['december', 'january'].flatMap((id) => [`budgets[${BUDGET}].topUps[${id}].id`, `budgets[${BUDGET}].topUps[${id}].tokens`])])
  })

  // Guards against the sheet of another organisation and against a top-up whose new amount would have no effect.
  test.each([['deployment,taller', 'deployment,fundacion'], ['4000000', '5000000']])('refuses a sheet with %s replaced by %s', async (before, after) => {
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

  // Guards against a change that another one made at the same time overwrites, and against one that the next sheet drops.
  test('all survive each other and the next sheet, and all are audited', async () => {
    // Slow reads let all three changes start from the same revision.
    await fixture.stop()
    fixture = await startFixture((platform) => ({ ...platform, table: { ...platform.table, read: async (keys) => await wait(READ_MILLISECONDS).then(() => platform.table.read(keys)) } }))
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
    expect(new Set(await actions())).toEqual(new Set(['planner: sheet apply taller', `operator: key issue ${issued.keyId}`, 'operator: key revoke key-museo-de-caldas', `second: backend drain ${SERVER}`]))
    await client.drainBackendServer({ backendServer: SERVER, cancel: true })
    await client.drainBackendServer({ backendServer: SERVER, cancel: true })
    expect((await client.showSheet({})).head?.revision).toBe(6n)
  })

  test('name what does not exist', async () => {
    const client = fixture.client('operator')
    expect(await codeOf(client.revokeKey({ keyId: 'nobody' }))).toBe('NotFound')
    expect(await codeOf(client.drainBackendServer({ backendServer: 'nobody' }))).toBe('NotFound')
    expect(await codeOf(client.issueKey({ clientAccount: 'museo-de-caldas', budgetId: BUDGET }))).toBe('NotFound')
    expect(await codeOf(client.showBudget({ budgetId: 'nothing' }))).toBe('NotFound')
  })

  test('a top-up is added once by its ID, and another amount is a conflict', async () => {
    const client = fixture.client('operator')
    const topUp = { budgetId: BUDGET, topUpId: 'receipt-1', tokens: 100n }
    expect(await client.topUpBudget(topUp)).toMatchObject({ added: true, budget: { prepaidTokens: 100n } })
    expect(await client.topUpBudget(topUp)).toMatchObject({ added: false, budget: { prepaidTokens: 100n } })
    expect(await codeOf(client.topUpBudget({ ...topUp, tokens: 101n }))).toBe('Aborted')
    expect(await codeOf(client.topUpBudget({ ...topUp, topUpId: 'december' }))).toBe('Aborted')
    for (const tokens of [0n, -1n, 1_000_000_000_001n]) expect(await codeOf(client.topUpBudget({ ...topUp, tokens }))).toBe('InvalidArgument')
    expect((await actions()).filter((action) => action.includes('top-up'))).toEqual([`operator: budget top-up ${BUDGET}`])
    expect((await client.showBudget({ budgetId: BUDGET })).remainingTokens).toBe(4_000_100n)
  })

  test('tokens of an expired lease are resolved with a reason, never more than are outstanding', async () => {
    const client = fixture.client('operator')
    await client.topUpBudget({ budgetId: BUDGET, topUpId: 'receipt-1', tokens: 100n })
    const [budgetRow] = fixture.platform.memoryTable.read([`budget/${BUDGET}`])
    const lease = create(LeaseRecordSchema, { incarnation: 'router-1.a', sequence: 1n, grantedTokens: 60n, settledTokens: 20n, renewedAt: 1n, expiresAt: 2n })
    fixture.platform.memoryTable.transact([], [{ key: `lease/${BUDGET}/router-1.a`, value: toBinary(LeaseRecordSchema, lease), delete: false }])
    expect(budgetRow?.version).not.toBe(0n)
    const request = { budgetId: BUDGET, incarnation: 'router-1.a', kind: ResolveKind.CHARGE, tokens: 40n, reason: 'engine log' }
    expect(await client.showBudget({ budgetId: BUDGET })).toMatchObject({ withheldTokens: 40n, leases: [{ outstandingTokens: 40n, withheld: true }] })
    expect(await codeOf(client.resolveBudget({ ...request, reason: ' ' }))).toBe('InvalidArgument')
    expect(await codeOf(client.resolveBudget({ ...request, tokens: 41n }))).toBe('FailedPrecondition')
    expect(await codeOf(client.resolveBudget({ ...request, incarnation: 'nobody' }))).toBe('NotFound')
    await client.resolveBudget(request)
    expect((await client.showBudget({ budgetId: BUDGET })).withheldTokens).toBe(0n)
    expect((await actions())[0]).toBe(`operator: budget resolve --charge ${BUDGET} router-1.a`)
  })

  // Guards against a claim that may still run being given to a second request.
  test('a claim is resolved only when its outcome is unknown', async () => {
    const client = fixture.client('operator')
    const put = (state: ClaimState, updatedAt: number): void => {
      const value = toBinary(ClaimRecordSchema, create(ClaimRecordSchema, { requestId: 'r1', bodyHash: 'h', state, updatedAt: BigInt(updatedAt) }))
      fixture.platform.memoryTable.transact([], [{ key: claimKey(ACCOUNT, 'deposit-1'), value, delete: false }])
    }
    const state = (): ClaimState => fromBinary(ClaimRecordSchema, fixture.platform.memoryTable.read([claimKey(ACCOUNT, 'deposit-1')])[0]!.value).state
    const request = { clientAccount: ACCOUNT, idempotencyKey: 'deposit-1', ran: false, reason: 'not in the ledger' }
    expect(await codeOf(client.resolveClaim(request))).toBe('NotFound')
    put(ClaimState.PENDING, Date.now())
    expect(await codeOf(client.resolveClaim(request))).toBe('FailedPrecondition')
    put(ClaimState.UNKNOWN, Date.now())
    await client.resolveClaim(request)
    expect(state()).toBe(ClaimState.WITHDRAWN)
    expect(await codeOf(client.resolveClaim(request))).toBe('FailedPrecondition')
    put(ClaimState.PENDING, 1)
    await client.resolveClaim({ ...request, ran: true })
    expect(state()).toBe(ClaimState.COMPLETED)
  })
})
