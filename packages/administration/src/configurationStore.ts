import { Code, ConnectError } from '@connectrpc/connect'
import type { Platform } from '@quinceshunt/table-store'
import type { FleetConfiguration, SheetHead } from '@quinceshunt/schemas'
import { acceptConfiguration, assembleConfiguration, buildConfiguration, HEAD_KEY, objectName, decodeHead, revisionKey, verifyHead, type AcceptanceOutcome, type Author } from '@quinceshunt/sheet'
import { randomUUID } from 'node:crypto'
import type { AdministrationContext } from './administrationContext.js'
import { conflictError } from './connectErrors.js'

/** Attempts to apply an operator's change to the newest revision while others change it concurrently. */
const MAX_REBASE_ATTEMPTS = 5
const MAX_CONCURRENT_OBJECT_READS = 8

/** A configuration revision read from the platform. */
export interface StoredConfiguration {
  readonly head: SheetHead
  readonly configuration: FleetConfiguration
  /** SHA-256 of its objects. */
  readonly objects: ReadonlySet<string>
}

/** How the audit log describes a change. */
export interface ChangeDescription {
  readonly action: string
  readonly subject: string
  readonly detail: string
}

/** Head in force; undefined before the first sheet. */
export async function readHeadInForce (context: AdministrationContext): Promise<SheetHead | undefined> {
  return decodeHead((await context.platform.table.read([HEAD_KEY]))[0])
}

/** Loads the configuration of a revision, 0 for the one in force; undefined when there is none. */
export async function loadRevision (context: AdministrationContext, revision: bigint): Promise<StoredConfiguration | undefined> {
  const [row] = await context.platform.table.read([revision === 0n ? HEAD_KEY : revisionKey(revision)])
  const head = decodeHead(row)
  return head === undefined ? undefined : await loadConfiguration(context, head)
}

/** Loads the configuration in force; throws a `ConnectError` when no sheet has been applied yet. */
export async function requireConfiguration (context: AdministrationContext): Promise<StoredConfiguration> {
  const stored = await loadRevision(context, 0n)
  if (stored === undefined) throw new ConnectError('no sheet is in force; apply one first', Code.FailedPrecondition)
  return stored
}

async function loadConfiguration (context: AdministrationContext, head: SheetHead): Promise<StoredConfiguration> {
  if (!verifyHead(context.fleetKey, head)) throw new ConnectError(`revision ${head.revision} was not signed with this fleet key; compare the fleetKey of all settings files`, Code.DataLoss)
  const objects = new Map<string, Uint8Array>()
  // The first round fetches the manifest, the second all parts that it names.
  for (let round = 0; ; round++) {
    const assembled = assembleConfiguration(head.sha256, (sha256) => objects.get(sha256))
    if (assembled.kind === 'assembled') return { head, configuration: assembled.configuration, objects: new Set(objects.keys()) }
    if (assembled.kind === 'corrupt' || round === 2) throw new ConnectError(`revision ${head.revision}: an object in the object store is ${assembled.kind}`, Code.DataLoss)
    await fetchObjects(context.platform, assembled.sha256, objects)
  }
}

async function fetchObjects (platform: Platform, hashes: readonly string[], objects: Map<string, Uint8Array>): Promise<void> {
  for (let start = 0; start < hashes.length; start += MAX_CONCURRENT_OBJECT_READS) {
    await Promise.all(hashes.slice(start, start + MAX_CONCURRENT_OBJECT_READS).map(async (hash) => {
      const content = await platform.objects.get(objectName(hash))
      if (content !== undefined) objects.set(hash, content)
    }))
  }
}

/** Accepts a configuration as successor of `base`, then announces its head to routers. */
export async function acceptAndAnnounce (context: AdministrationContext, base: StoredConfiguration | undefined, next: FleetConfiguration, author: Author, description: ChangeDescription): Promise<AcceptanceOutcome> {
  const outcome = await acceptConfiguration(context.platform, {
    configuration: buildConfiguration(next),
    baseRevision: base?.head.revision ?? 0n,
    author,
    at: context.clock.now(),
    fleetKey: context.fleetKey,
    auditId: randomUUID(),
    storedObjects: base?.objects,
    ...description
  })
  if (outcome.kind === 'accepted') await context.fleet.announceHead(outcome.head)
  return outcome
}

/** Applies a change that is independent of others; after a conflict it is reapplied to the newer revision. `change` returns undefined when nothing has to change. */
export async function changeConfiguration (context: AdministrationContext, author: Author, description: ChangeDescription, change: (current: FleetConfiguration) => FleetConfiguration | undefined): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    const base = await requireConfiguration(context)
    const next = change(base.configuration)
    if (next === undefined) return
    const outcome = await acceptAndAnnounce(context, base, next, author, description)
    if (outcome.kind === 'accepted') return
    if (attempt === MAX_REBASE_ATTEMPTS) throw conflictError(outcome.head, base.head.revision)
  }
}
