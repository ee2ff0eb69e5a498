import { fileURLToPath } from 'node:url'
import { Worker } from 'node:worker_threads'
import type { ConnectionPorts } from './connectionOwner.js'
import type { OwnerQuery } from './connectionOwnerWorker.js'

const WORKER_FILE = fileURLToPath(new URL('./connectionOwnerWorker.js', import.meta.url))

/** Finds the processes that own connections. */
export interface OwnerLookup {
  /** Process that owns the client side of a connection; undefined when none of those listed does. */
  find (connection: ConnectionPorts): Promise<number | undefined>
  stop (): Promise<void>
}

interface Wanted {
  readonly connection: ConnectionPorts
  readonly resolve: (processId: number | undefined) => void
}

/**
 * Creates a lookup among the processes that `listProcessIds` returns. It runs in a worker, since reading the machine's
 * sockets here would hold up all links; connections that come meanwhile share the next reading.
 */
export function createOwnerLookup (listProcessIds: () => readonly number[]): OwnerLookup {
  let worker: Worker | undefined
  let asked: readonly Wanted[] = []
  let waiting: Wanted[] = []

  function askNext (): void {
    if (asked.length > 0 || waiting.length === 0) return
    asked = waiting
    waiting = []
    worker ??= startWorker()
    const query: OwnerQuery = { connections: asked.map(({ connection }) => connection), processIds: listProcessIds() }
    worker.postMessage(query)
  }

  function startWorker (): Worker {
    const started = new Worker(WORKER_FILE)
    started.unref()
    started.on('message', (processIds: readonly (number | undefined)[]) => {
      const answered = asked
      asked = []
      answered.forEach(({ resolve }, index) => resolve(processIds[index]))
      askNext()
    })
    return started
  }

  return {
    find: async (connection) => await new Promise((resolve) => {
      waiting.push({ connection, resolve })
      askNext()
    }),
    stop: async () => { await worker?.terminate() }
  }
}
