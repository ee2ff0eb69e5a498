import { fromBinary } from '@bufbuild/protobuf'
import { FleetConfigurationSchema, type ConfigurationPart, type FleetConfiguration, type SheetBudget, type SheetKey } from '@quinceshunt/schemas'
import { allKeys } from '@quinceshunt/sheet'
import { LRUCache } from 'lru-cache'

const ACCOUNT_PREFIX = 'account/'
/** Decoded parts kept; the others stay encoded, which takes about a tenth of the memory. */
const DECODED_PARTS = 64

interface AccountPart {
  readonly sha256: string
  readonly content: Uint8Array
  readonly keyIds: readonly string[]
  readonly budgetIds: readonly string[]
}

/**
 * Keys and budgets of all client accounts in force. A new revision decodes only the parts that it changes: decoding all of
 * 240,000 budgets would stop the process for longer than the time between two tokens.
 */
export class ConfigurationIndex {
  readonly #parts = new Map<string, AccountPart>()
  readonly #keyOwners = new Map<string, string>()
  readonly #budgetOwners = new Map<string, string>()
  readonly #decoded = new LRUCache<string, FleetConfiguration>({ max: DECODED_PARTS })

  /** Takes over the parts of a revision; `lookUp` has all of its objects. */
  apply (parts: readonly ConfigurationPart[], lookUp: (sha256: string) => Uint8Array): void {
    const accountParts = parts.filter((part) => part.name.startsWith(ACCOUNT_PREFIX))
    const accounts = new Map(accountParts.map((part) => [part.name.slice(ACCOUNT_PREFIX.length), part.sha256]))
    for (const [account, { sha256 }] of this.#parts) {
      if (accounts.get(account) !== sha256) this.#remove(account)
    }
    for (const [account, sha256] of accounts) {
      if (!this.#parts.has(account)) this.#add(account, sha256, lookUp(sha256))
    }
  }

  /** Key by its ID, with what else its client account's part holds. */
  findKey (keyId: string): { readonly key: SheetKey, readonly part: FleetConfiguration } | undefined {
    const account = this.#keyOwners.get(keyId)
    if (account === undefined) return undefined
    const part = this.#decode(account)
    const key = allKeys(part).find(({ id }) => id === keyId)
    return key === undefined ? undefined : { key, part }
  }

  /** Budget by its ID. */
  findBudget (budgetId: string): SheetBudget | undefined {
    const account = this.#budgetOwners.get(budgetId)
    return account === undefined ? undefined : this.#decode(account).sheet?.budgets.find(({ id }) => id === budgetId)
  }

  #add (account: string, sha256: string, content: Uint8Array): void {
    const part = fromBinary(FleetConfigurationSchema, content)
    const keyIds = allKeys(part).map(({ id }) => id)
    const budgetIds = part.sheet?.budgets.map(({ id }) => id) ?? []
    this.#parts.set(account, { sha256, content, keyIds, budgetIds })
    for (const keyId of keyIds) this.#keyOwners.set(keyId, account)
    for (const budgetId of budgetIds) this.#budgetOwners.set(budgetId, account)
  }

  #remove (account: string): void {
    const part = this.#parts.get(account)
    if (part === undefined) return
    for (const keyId of part.keyIds) this.#keyOwners.delete(keyId)
    for (const budgetId of part.budgetIds) this.#budgetOwners.delete(budgetId)
    this.#parts.delete(account)
    this.#decoded.delete(account)
  }

  #decode (account: string): FleetConfiguration {
    const known = this.#decoded.get(account)
    if (known !== undefined) return known
    const decoded = fromBinary(FleetConfigurationSchema, this.#parts.get(account)!.content)
    this.#decoded.set(account, decoded)
    return decoded
  }
}
