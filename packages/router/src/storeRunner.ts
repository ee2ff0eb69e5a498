import { assertNever, type Clock } from '@quinceshunt/effects'
import type { Platform } from '@quinceshunt/table-store'
import type { ObjectReply, PutReply, ReadReply, StoreCommand, TransactReply } from '@quinceshunt/requests'
import { InternalError, PlatformOutcomeUnknownError } from '@quinceshunt/telemetry'

/** Runs a store command against the platform and returns platform failures as replies. */
export type StoreRunner = (command: StoreCommand) => Promise<unknown>

/** Creates a store runner. Once `stopped` is aborted, waits reject with `InternalError`, which ends the waiting decisions. */
export function createStoreRunner (platform: Platform, clock: Clock, stopped: AbortSignal): StoreRunner {
  async function wait (at: number): Promise<void> {
    await clock.waitUntil(at, stopped)
    if (stopped.aborted) throw new InternalError('the task was stopped before the store operation completed', { props: { step: 'wait for the store', peer: '' } })
  }

  return async (command) => {
    switch (command.kind) {
      case 'readTime': return clock.now()
      case 'waitUntil': return await wait(command.at)
      case 'readRows': return await readRows(platform, command.keys)
      case 'transactRows': return await transactRows(platform, command)
      case 'getObject': return await getObject(platform, command.name)
      case 'putObject': return await putObject(platform, command.name, command.content)
      default: return assertNever(command)
    }
  }
}

async function readRows (platform: Platform, keys: readonly string[]): Promise<ReadReply> {
  try {
    return { kind: 'rows', rows: await platform.table.read(keys) }
  } catch {
    return { kind: 'unavailable' }
  }
}

async function transactRows (platform: Platform, { checks, writes }: Extract<StoreCommand, { kind: 'transactRows' }>): Promise<TransactReply> {
  try {
    return await platform.table.transact(checks, writes)
  } catch (error) {
    return error instanceof PlatformOutcomeUnknownError ? { kind: 'outcomeUnknown' } : { kind: 'unavailable' }
  }
}

async function getObject (platform: Platform, name: string): Promise<ObjectReply> {
  try {
    const content = await platform.objects.get(name)
    return content === undefined ? { kind: 'absent' } : { kind: 'found', content }
  } catch {
    return { kind: 'unavailable' }
  }
}

async function putObject (platform: Platform, name: string, content: Uint8Array): Promise<PutReply> {
  try {
    await platform.objects.put(name, content)
    return { kind: 'stored' }
  } catch {
    return { kind: 'unavailable' }
  }
}
