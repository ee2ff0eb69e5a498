import { Code, ConnectError, type ServiceImpl } from '@connectrpc/connect'
import type { AdministrationService, FleetConfiguration } from '@quinceshunt/schemas'
import { allKeys, generateKey, isRevoked } from '@quinceshunt/sheet'
import { randomBytes } from 'node:crypto'
import { authorOf, type AdministrationContext } from '../administrationContext.js'
import { changeConfiguration, requireConfiguration } from '../configurationStore.js'

type Handlers = Pick<ServiceImpl<typeof AdministrationService>, 'listClientAccounts' | 'issueKey' | 'revokeKey' | 'listKeys'>

/** Handlers for client accounts and their keys. */
export function createKeyHandlers (context: AdministrationContext): Handlers {
  return {
    listClientAccounts: async () => ({ clientAccounts: (await requireConfiguration(context)).configuration.sheet?.clientAccounts ?? [] }),
    issueKey: async ({ clientAccount, budgetId }, call) => {
      const { bearerKey, key } = generateKey(clientAccount, budgetId, randomBytes)
      const description = { action: 'key issue', subject: key.id, detail: `client account ${clientAccount}, budget ${budgetId}` }
      await changeConfiguration(context, authorOf(call), description, (current) => {
        requireBudgetOfAccount(current, clientAccount, budgetId)
        return { ...current, issuedKeys: [...current.issuedKeys, key] }
      })
      return { keyId: key.id, key: bearerKey }
    },
    revokeKey: async ({ keyId }, call) => {
      await changeConfiguration(context, authorOf(call), { action: 'key revoke', subject: keyId, detail: '' }, (current) => {
        if (!allKeys(current).some((key) => key.id === keyId)) throw new ConnectError(`there is no key ${keyId}; see "key list"`, Code.NotFound)
        return current.revokedKeyIds.includes(keyId) ? undefined : { ...current, revokedKeyIds: [...current.revokedKeyIds, keyId] }
      })
      return {}
    },
    listKeys: async ({ clientAccount }) => {
      const { configuration } = await requireConfiguration(context)
      const keys = allKeys(configuration).filter((key) => clientAccount === '' || key.clientAccount === clientAccount)
      return { keys: keys.map((key) => ({ keyId: key.id, clientAccount: key.clientAccount, budgetId: key.budget, revoked: isRevoked(configuration, key) })) }
    }
  }
}

function requireBudgetOfAccount (configuration: FleetConfiguration, clientAccount: string, budgetId: string): void {
  const budget = configuration.sheet?.budgets.find(({ id }) => id === budgetId)
  if (budget?.clientAccount === clientAccount) return
  throw new ConnectError(budget === undefined ? `there is no budget ${budgetId}` : `budget ${budgetId} belongs to client account ${budget.clientAccount}, not to ${clientAccount}`, Code.NotFound)
}
