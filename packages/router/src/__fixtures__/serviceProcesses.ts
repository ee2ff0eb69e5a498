import { assertNever } from '@quinceshunt/effects'
import { fork, type ChildProcess } from 'node:child_process'

const SCRIPT = new URL('./serviceProcess.js', import.meta.url).pathname
export const SERVICE_BODY = 'well done'.repeat(4)
/** Answered with a whole body that has a length, on a connection that is kept. */
export const WHOLE_PATH = '/whole'

type ServiceMessage =
  | { readonly kind: 'started' }
  | { readonly kind: 'listening', readonly address: string }
  | { readonly kind: 'halfWritten' }

/** A plain service in a process of its own. */
export interface ServiceProcess {
  readonly address: string
  /** Resolves once it has written half of the given number of responses. */
  waitForHalfResponses (count: number): Promise<void>
  /** Writes the other half of each response, and ends its connection. */
  finishResponses (): void
  /** Ends it like a crash; its kernel closes the connections. */
  kill (): Promise<void>
}

/** A process that listens at the address of another one as soon as that has ended. */
export interface ServiceSuccessor {
  /** Resolves once it listens. */
  waitUntilListening (): Promise<void>
  kill (): Promise<void>
}

/** Starts a plain service that writes half of each response and keeps the connection open. */
export async function startServiceProcess (): Promise<ServiceProcess> {
  const child = fork(SCRIPT)
  let halfResponses = 0
  let onHalfResponse = (): void => {}
  child.on('message', ({ kind }: ServiceMessage) => {
    if (kind !== 'halfWritten') return
    halfResponses++
    onHalfResponse()
  })
  const kill = killerOf(child)
  const address = await waitForAddress(child)
  return {
    address,
    waitForHalfResponses: async (count) => {
      await new Promise<void>((resolve) => {
        onHalfResponse = () => { if (halfResponses >= count) resolve() }
        onHalfResponse()
      })
    },
    finishResponses: () => { child.send({ kind: 'finish' }) },
    kill
  }
}

/** Starts the successor of a plain service; resolves once it waits for the address. */
export async function startServiceSuccessor ({ address }: ServiceProcess): Promise<ServiceSuccessor> {
  const child = fork(SCRIPT, [new URL(address).port])
  const kill = killerOf(child)
  const listening = waitForAddress(child)
  // Of a test that ends before the service does.
  listening.catch(() => {})
  await new Promise<void>((resolve) => child.on('message', ({ kind }: ServiceMessage) => { if (kind === 'started') resolve() }))
  return { waitUntilListening: async () => { await listening }, kill }
}

function killerOf (child: ChildProcess): () => Promise<void> {
  const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  return async () => {
    child.kill('SIGKILL')
    await exited
  }
}

function waitForAddress (child: ChildProcess): Promise<string> {
  return new Promise<string>((resolve, reject) => {
    child.on('message', (message: ServiceMessage) => {
      switch (message.kind) {
        case 'listening': return resolve(message.address)
        case 'started':
        case 'halfWritten': return
        default: assertNever(message)
      }
    })
    child.once('exit', (code) => reject(new Error(`the service exited with ${String(code)} before it listened`)))
  })
}
