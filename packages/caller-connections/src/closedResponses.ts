import { connect } from 'node:net'
import { handleArrivedEvents } from './arrivedEvents.js'

/**
 * Judges responses whose end is marked by nothing but the end of their connection.
 *
 * Pattern: the kernel of a process that is killed closes its connections in order, as the process itself does after a whole body.
 * What differs is that a killed process keeps no connection open and takes no new one.
 */

/** The kernel closes all connections of a process within a few milliseconds; their packets may arrive in another order. */
const SETTLE_MS = 20
/** A new connection that was accepted in place of the backend server, by a load balancer for example, is closed within this time. */
const ACCEPTED_MS = 15
const CONNECT_TIMEOUT_MS = 400
/** No process that was killed is back, under its address, before this time. */
const RESTART_MS = 500

/** Whether the process that wrote a response has lived on after its end. */
export type CloseVerdict =
  | { readonly kind: 'whole', readonly because: 'all tokens were delivered' | 'the head tells the outcome' | 'another connection is open' | 'its process replies' | 'a new connection is accepted' }
  | { readonly kind: 'broken', readonly because: string }

/** What is found at the address of a backend server after one of its connections has ended. */
export type FoundProcess =
  /** The process that wrote the response lives. */
  | { readonly kind: 'same' }
  /** A process takes connections there: that one, its successor, or a forwarder. */
  | { readonly kind: 'any' }
  | { readonly kind: 'gone', readonly because: string }

/** What can be told of the process that wrote a response; without it, any process at the address is taken for it. */
export interface WriterEvidence {
  /** True while a connection is open that leads to the process. */
  readonly hasOpen: () => boolean
  /** Finds the process where no open connection shows that it lives. */
  readonly find: () => Promise<FoundProcess>
}

/** Judges the ends of responses. */
export interface ClosedResponses {
  /** To be called as soon as the connection to the backend server at an address (IP:PORT) was closed in order. */
  judge (address: string, writer?: WriterEvidence): Promise<CloseVerdict>
}

/** Dependencies of the judgement. */
export interface ClosedResponsesOptions {
  /** True while a connection to an address is open whose end would have been read by now. */
  readonly hasOpen: (address: string) => boolean
  /** How long events of this process have waited lately, milliseconds. */
  readonly eventLoopDelay: () => number
}

/** Finds out whether a new connection is accepted and stays open. */
function findListener (address: string): Promise<FoundProcess> {
  const [host = '', port = ''] = address.split(':')
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) })
    const finish = (reason: string | undefined): void => {
      clearTimeout(timer)
      resolve(reason === undefined ? { kind: 'any' } : { kind: 'gone', because: reason })
      socket.destroy()
    }
    /** In a process that is behind, timers fire before it is read that the connection was established or has ended. */
    const afterArrivedEvents = (work: () => void): void => {
      handleArrivedEvents().then(work, (error: unknown) => finish(String(error)))
    }
    const finishUnlessConnected = (): void => { if (socket.connecting) finish('no new connection in time') }
    let timer = setTimeout(() => afterArrivedEvents(finishUnlessConnected), CONNECT_TIMEOUT_MS)
    socket.on('connect', () => {
      clearTimeout(timer)
      timer = setTimeout(() => afterArrivedEvents(() => finish(undefined)), ACCEPTED_MS)
      socket.resume()
    })
    socket.on('error', (error) => finish(error.message))
    socket.on('end', () => finish('a new connection was closed'))
    socket.on('close', () => finish('a new connection was closed'))
  })
}

/** Creates the judge of one process. */
export function createClosedResponses ({ hasOpen, eventLoopDelay }: ClosedResponsesOptions): ClosedResponses {
  return {
    judge: async (address, writer = { hasOpen: () => hasOpen(address), find: async () => await findListener(address) }) => {
      // After a pause of this process, another one may listen at the address, to which no connection is open yet.
      let wasPaused = eventLoopDelay() >= RESTART_MS
      const startedAt = performance.now()
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
      // In a process that is behind, timers fire before the ends of other connections are read.
      await handleArrivedEvents()
      if (writer.hasOpen()) return { kind: 'whole', because: 'another connection is open' }
      wasPaused ||= performance.now() - startedAt >= RESTART_MS
      const found = await writer.find()
      switch (found.kind) {
        case 'gone': return { kind: 'broken', because: found.because }
        case 'same': return { kind: 'whole', because: 'its process replies' }
        case 'any': return wasPaused
          ? { kind: 'broken', because: 'the process was paused and no other connection is open' }
          : { kind: 'whole', because: 'a new connection is accepted' }
      }
    }
  }
}
