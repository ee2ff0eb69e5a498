import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { ConfigurationManifestSchema, FleetConfigurationSchema, SheetSchema, type ConfigurationPart, type FleetConfiguration, type Sheet, type SheetKey } from '@quinceshunt/schemas'
import { createHash } from 'node:crypto'
import { groupBy } from './groupBy.js'

/** Name of the part with everything except keys and budgets. */
export const COMMON_PART = 'common'

/** A configuration split into content-addressed, immutable objects. */
export interface BuiltConfiguration {
  /** SHA-256 of the manifest, hex. */
  readonly sha256: string
  /** All objects by SHA-256, including the manifest. */
  readonly objects: ReadonlyMap<string, Uint8Array>
}

/** Result of assembling a configuration from its objects. */
export type AssembledConfiguration =
  | { readonly kind: 'assembled', readonly configuration: FleetConfiguration }
  /** SHA-256 of the objects not found; only the manifest when that is missing. */
  | { readonly kind: 'missing', readonly sha256: readonly string[] }
  | { readonly kind: 'corrupt', readonly sha256: string }

/** Hex SHA-256 of an object. */
export function hashObject (content: Uint8Array): string {
  return createHash('sha256').update(content).digest('hex')
}

/** Name of a configuration object in the platform's object store. */
export function objectName (sha256: string): string {
  return `configuration/${sha256}`
}

/** Creates a configuration from a sheet, without operators' changes. */
export function configurationOf (sheet: Sheet): FleetConfiguration {
  return create(FleetConfigurationSchema, { sheet })
}

/** Splits a configuration into one part per client account, a common part and a manifest. */
export function buildConfiguration (configuration: FleetConfiguration): BuiltConfiguration {
  const objects = new Map<string, Uint8Array>()
  const addObject = (content: Uint8Array): string => {
    const sha256 = hashObject(content)
    objects.set(sha256, content)
    return sha256
  }
  const parts = splitConfiguration(configuration)
    .map(([name, part]) => ({ name, sha256: addObject(toBinary(FleetConfigurationSchema, part)) }))
  const sha256 = addObject(toBinary(ConfigurationManifestSchema, create(ConfigurationManifestSchema, { parts })))
  return { sha256, objects }
}

function splitConfiguration (configuration: FleetConfiguration): [string, FleetConfiguration][] {
  const sheet = configuration.sheet ?? create(SheetSchema)
  const accountOf = (item: { readonly clientAccount: string }): string => item.clientAccount
  const budgets = groupBy(sheet.budgets, accountOf)
  const keys = groupBy(sheet.keys, accountOf)
  const issuedKeys = groupBy(configuration.issuedKeys, accountOf)
  const common = create(FleetConfigurationSchema, {
    sheet: { ...sheet, budgets: [], keys: [] },
    revokedKeyIds: configuration.revokedKeyIds,
    drainedBackendServers: configuration.drainedBackendServers
  })
  // Parts follow the order of client accounts in the sheet, so that an assembled sheet is shown in the order in which it was written.
  const accountIds = new Set([...budgets.keys(), ...keys.keys(), ...issuedKeys.keys()])
  const idsInSheetOrder = sheet.clientAccounts.map((account) => account.id).filter((id) => accountIds.has(id))
  return [[COMMON_PART, common], ...[...new Set([...idsInSheetOrder, ...accountIds])].map((account): [string, FleetConfiguration] => [`account/${account}`, create(FleetConfigurationSchema, {
    sheet: { budgets: budgets.get(account) ?? [], keys: keys.get(account) ?? [] },
    issuedKeys: issuedKeys.get(account) ?? []
  })])]
}

/** Decodes the list of parts from a manifest. */
export function readManifest (content: Uint8Array): readonly ConfigurationPart[] {
  return fromBinary(ConfigurationManifestSchema, content).parts
}

/** Assembles a configuration from its objects and verifies the hash of each. */
export function assembleConfiguration (manifestSha256: string, lookUp: (sha256: string) => Uint8Array | undefined): AssembledConfiguration {
  const manifestContent = lookUp(manifestSha256)
  if (manifestContent === undefined) return { kind: 'missing', sha256: [manifestSha256] }
  if (hashObject(manifestContent) !== manifestSha256) return { kind: 'corrupt', sha256: manifestSha256 }
  const parts = readManifest(manifestContent)
  const missing = parts.map((part) => part.sha256).filter((sha256) => lookUp(sha256) === undefined)
  if (missing.length > 0) return { kind: 'missing', sha256: missing }
  const result = create(FleetConfigurationSchema, { sheet: {} })
  for (const part of parts) {
    const content = lookUp(part.sha256)!
    if (hashObject(content) !== part.sha256) return { kind: 'corrupt', sha256: part.sha256 }
    mergePart(result, fromBinary(FleetConfigurationSchema, content))
  }
  return { kind: 'assembled', configuration: result }
}

function mergePart (target: FleetConfiguration, part: FleetConfiguration): void {
  const sheet = part.sheet ?? create(SheetSchema)
  const targetSheet = target.sheet!
  if (sheet.deployment !== '') targetSheet.deployment = sheet.deployment
  targetSheet.clientAccounts.push(...sheet.clientAccounts)
  targetSheet.models.push(...sheet.models)
  targetSheet.services.push(...sheet.services)
  targetSheet.routes.push(...sheet.routes)
  targetSheet.backendServers.push(...sheet.backendServers)
  targetSheet.budgets.push(...sheet.budgets)
  targetSheet.keys.push(...sheet.keys)
  target.issuedKeys.push(...part.issuedKeys)
  target.revokedKeyIds.push(...part.revokedKeyIds)
  target.drainedBackendServers.push(...part.drainedBackendServers)
}

/** Replaces the sheet of a configuration and keeps operators' changes. */
export function replaceSheet (current: FleetConfiguration | undefined, sheet: Sheet): FleetConfiguration {
  return { ...current ?? create(FleetConfigurationSchema), sheet }
}

/** All keys: first those of the sheet, then those issued by operators. */
export function allKeys (configuration: FleetConfiguration): readonly SheetKey[] {
  return [...configuration.sheet?.keys ?? [], ...configuration.issuedKeys]
}

/** True when a key is revoked in the sheet or by an operator. */
export function isRevoked (configuration: FleetConfiguration, key: SheetKey): boolean {
  return key.revoked || configuration.revokedKeyIds.includes(key.id)
}
