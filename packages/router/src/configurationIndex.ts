import { fromBinary } from '@bufbuild/protobuf'
import { FleetConfigurationSchema, type ConfigurationPart, type FleetConfiguration, type SheetBudget, type SheetKey } from '@quinceshunt/schemas'
import { allKeys } from '@quinceshunt/sheet'
import { LRUCache } from 'lru-cache'

const ACCOUNT_PREFIX = 'account/'
/** Cache size; other parts are kept only in encoded form, which takes about a tenth of the memory. */
const MAX_DECODED_PARTS = 64

interface AccountPart {
  readonly sha256: string
  readonly content: Uint8Array
  readonly keyIds: readonly string[]
  readonly budgetIds: readonly string[]
}

/**
 * Index of the keys and budgets in the active configuration. A new revision decodes only the parts that it changes, as
 * decoding all of 240,000 budgets would block the event loop for longer than the time between two tokens.
 */
export class ConfigurationIndex {
  readonly #parts = new Map<string, AccountPart>()
  readonly #accountByKeyId = new Map<string, string>()
  readonly #accountByBudgetId = new Map<string, string>()
  readonly #decodedParts = new LRUCache<string, FleetConfiguration>({ max: MAX_DECODED_PARTS })

  /** Replaces the indexed revision; `getObject` must return the content of every part. */
  apply (parts: readonly ConfigurationPart[], getObject: (sha256: string) => Uint8Array): void {
    const accountParts = parts.filter((part) => part.name.startsWith(ACCOUNT_PREFIX))
    const hashByAccount = new Map(accountParts.map((part) => [part.name.slice(ACCOUNT_PREFIX.length), part.sha256]))
    for (const [account, { sha256 }] of this.#parts) {
      if (hashByAccount.get(account) !== sha256) this.#remove(account)
    }
    for (const [account, sha256] of hashByAccount) {
      if (!this.#parts.has(account)) this.#add(account, sha256, getObject(sha256))
    }
  }

  /** Finds a key by its ID and returns it with the part of its client account. */
  findKey (keyId: string): { readonly key: SheetKey, readonly part: FleetConfiguration } | undefined {
    const account = this.#accountByKeyId.get(keyId)
    if (account === undefined) return undefined
    const part = this.#decode(account)
    const key = allKeys(part).find(({ id }) => id === keyId)
    return key === undefined ? undefined : { key, part }
  }

  findBudget (budgetId: string): SheetBudget | undefined {
    const account = this.#accountByBudgetId.get(budgetId)
    return account === undefined ? undefined : this.#decode(account).sheet?.budgets.find(({ id }) => id === budgetId)
  }

  #add (account: string, sha256: string, content: Uint8Array): void {
    const part = fromBinary(FleetConfigurationSchema, content)
    const keyIds = allKeys(part).map(({ id }) => id)
    const budgetIds = part.sheet?.budgets.map(({ id }) => id) ?? []
    this.#parts.set(account, { sha256, content, keyIds, budgetIds })
    for (const keyId of keyIds) this.#accountByKeyId.set(keyId, account)
    for (const budgetId of budgetIds) this.#accountByBudgetId.set(budgetId, account)
  }

  #remove (account: string): void {
    const part = this.#parts.get(account)
    if (part === undefined) return
    for (const keyId of part.keyIds) this.#accountByKeyId.delete(keyId)
    for (const budgetId of part.budgetIds) this.#accountByBudgetId.delete(budgetId)
    this.#parts.delete(account)
    this.#decodedParts.delete(account)
  }

  #decode (account: string): FleetConfiguration {
    const cached = this.#decodedParts.get(account)
    if (cached !== undefined) return cached
    const decoded = fromBinary(FleetConfigurationSchema, this.#parts.get(account)!.content)
    this.#decodedParts.set(account, decoded)
    return decoded
  }
}
