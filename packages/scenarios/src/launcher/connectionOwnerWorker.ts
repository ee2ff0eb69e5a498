import { parentPort } from 'node:worker_threads'
import { findConnectionOwners, type ConnectionPorts } from './connectionOwner.js'

/** Connections whose owners are wanted, and the processes that may own them. */
export interface OwnerQuery {
  readonly connections: readonly ConnectionPorts[]
  readonly processIds: readonly number[]
}

parentPort!.on('message', ({ connections, processIds }: OwnerQuery) => parentPort!.postMessage(findConnectionOwners(connections, processIds)))
