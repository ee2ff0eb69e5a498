import { Code, ConnectError } from '@connectrpc/connect'
import type { Platform } from '@quinceshunt/table-store'
import type { FleetConfiguration, SheetHead } from '@quinceshunt/schemas'
import { acceptConfiguration, assembleConfiguration, buildConfiguration, HEAD_KEY, objectName, readHead, revisionKey, verifyHead, type AcceptanceOutcome, type Author } from '@quinceshunt/sheet'
import { randomUUID } from 'node:crypto'
import type { AdministrationContext } from './administrationContext.js'
import { conflictError } from './connectErrors.js'

/** Tries to make an operator's change on top of others made at the same time. */
const REBASE_TRIES = 5
const OBJECT_READS_AT_ONCE = 8

/** A configuration as stored. */
export interface StoredConfiguration {
  readonly head: SheetHead
  readonly configuration: FleetConfiguration
  /** Hashes of its objects. */
  readonly objects: ReadonlySet<string>
}

/** What a change is called in the audit. */
export interface ChangeDescription {
  readonly action: string
  readonly subject: string
  readonly detail: string
}

/** Head in force; undefined before the first sheet. */
export async function readHeadInForce (context: AdministrationContext): Promise<SheetHead | undefined> {
  return readHead((await context.platform.table.read([HEAD_KEY]))[0])
}

/** Configuration of a revision, 0 for the one in force; undefined when there is none. */
export async function loadRevision (context: AdministrationContext, revision: bigint): Promise<StoredConfiguration | undefined> {
  const [row] = await context.platform.table.read([revision === 0n ? HEAD_KEY : revisionKey(revision)])
  const head = readHead(row)
  return head === undefined ? undefined : await loadConfiguration(context, head)
}

/** Configuration in force; fails when no sheet has been applied yet. */
export async function requireConfiguration (context: AdministrationContext): Promise<StoredConfiguration> {
  const stored = await loadRevision(context, 0n)
  if (stored === undefined) throw new ConnectError('no sheet is in force; apply one first', Code.FailedPrecondition)
  return stored
}

async function loadConfiguration (context: AdministrationContext, head: SheetHead): Promise<StoredConfiguration> {
  if (!verifyHead(context.fleetKey, head)) throw new ConnectError(`revision ${head.revision} was not signed with this fleet key; compare the fleetKey of all settings files`, Code.DataLoss)
  const objects = new Map<string, Uint8Array>()
  // The manifest names all parts, so that two rounds fetch everything.
  for (let round = 0; ; round++) {
    const assembled = assembleConfiguration(head.sha256, (sha256) => objects.get(sha256))
    if (assembled.kind === 'assembled') return { head, configuration: assembled.configuration, objects: new Set(objects.keys()) }
    if (assembled.kind === 'corrupt' || round === 2) throw new ConnectError(`revision ${head.revision}: an object in the object store is ${assembled.kind}`, Code.DataLoss)
    await fetchObjects(context.platform, assembled.sha256, objects)
  }
}

async function fetchObjects (platform: Platform, sha256: readonly string[], objects: Map<string, Uint8Array>): Promise<void> {
  for (let start = 0; start < sha256.length; start += OBJECT_READS_AT_ONCE) {
    await Promise.all(sha256.slice(start, start + OBJECT_READS_AT_ONCE).map(async (name) => {
      const content = await platform.objects.get(objectName(name))
      if (content !== undefined) objects.set(name, content)
    }))
  }
}

/** Accepts a configuration on top of the given base, then offers its head to routers. */
export async function acceptNext (context: AdministrationContext, base: StoredConfiguration | undefined, next: FleetConfiguration, author: Author, description: ChangeDescription): Promise<AcceptanceOutcome> {
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
  if (outcome.kind === 'accepted') await context.fleet.offerHead(outcome.head)
  return outcome
}

/** Makes a change that does not depend on others: repeated on top of a change that was first. `change` answers undefined when there is nothing to do. */
export async function changeConfiguration (context: AdministrationContext, author: Author, description: ChangeDescription, change: (current: FleetConfiguration) => FleetConfiguration | undefined): Promise<void> {
  for (let attempt = 1; ; attempt++) {
    const base = await requireConfiguration(context)
    const next = change(base.configuration)
    if (next === undefined) return
    const outcome = await acceptNext(context, base, next, author, description)
    if (outcome.kind === 'accepted') return
    if (attempt === REBASE_TRIES) throw conflictError(outcome.head, base.head.revision)
  }
}
