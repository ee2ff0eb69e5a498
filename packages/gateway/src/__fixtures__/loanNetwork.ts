import { createPeerMessageHandler, type DeliveryOutcome, type LimitHandlers, type RetryHandlers, type RoomHandlers, type StreamHandlers, type TokenHandlers } from '../tasks/peerMessages.js'
import type { Peer } from '../tasks/fleetTask.js'
import type { Post } from '../tasks/tokenLoans.js'
import { createRecordingLog } from './recordingLog.js'

/** What happens to one message between instances. */
export type LinkFault =
  | { readonly kind: 'none' }
  | { readonly kind: 'requestLost' }
  | { readonly kind: 'replyLost' }
  /** The message arrives twice. */
  | { readonly kind: 'duplicate' }
  /** The receiver is overloaded and refuses the message without handling it. */
  | { readonly kind: 'refused' }
  /** The message arrives after its sender stopped waiting. */
  | { readonly kind: 'requestLate', readonly milliseconds: number }
  /** The reply takes this long. */
  | { readonly kind: 'slow', readonly milliseconds: number }

/** An in-memory network between instances with fault injection. */
export interface LoanNetwork {
  readonly post: Post
  /** Starts or replaces the process at an address. */
  listen (peer: Peer, handlers: { readonly tokens?: TokenHandlers, readonly limits?: LimitHandlers, readonly rooms?: RoomHandlers, readonly streams?: StreamHandlers, readonly retries?: RetryHandlers }): void
  /** The process at the address ends; messages to it are lost. */
  kill (address: string): void
  readonly currentIncarnation: (instanceId: string) => string | undefined
}

const LATENCY_MS = 2
const noTokens: TokenHandlers = { isClosing: false, lend: async () => ({ tokens: 0, isShort: false }), takeBack: () => {}, receiveUse: () => {} }
/** For tests without limits. */
const noLimits: LimitHandlers = {
  issue: () => { throw new Error('no message about limits is expected') },
  receive: () => { throw new Error('no message about limits is expected') }
}
/** For tests without brittle backend servers. */
const noRooms: RoomHandlers = { issue: () => { throw new Error('no message about room is expected') } }
/** For tests without relayed requests. */
const noRetries: RetryHandlers = { answer: () => { throw new Error('no message about retries is expected') } }

/** For tests without streams. */
const noStreams: StreamHandlers = {
  receive: () => { throw new Error('no message about streams is expected') },
  answer: () => { throw new Error('no message about streams is expected') }
}
const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Creates a network without instances; `chooseFault` is called for each message. */
export function createLoanNetwork (chooseFault: () => LinkFault, now: () => number): LoanNetwork {
  const processes = new Map<string, { readonly peer: Peer, readonly handle: ReturnType<typeof createPeerMessageHandler> }>()

  async function post (address: string, path: string, message: unknown, timeoutMilliseconds: number): Promise<DeliveryOutcome> {
    const fault = chooseFault()
    await pause(LATENCY_MS)
    const target = processes.get(address)
    if (target === undefined) return { kind: 'failed', mayHaveArrived: false, reason: 'connection refused' }
    const late = async (): Promise<DeliveryOutcome> => {
      await pause(timeoutMilliseconds)
      return { kind: 'failed', mayHaveArrived: true, reason: 'no response in time' }
    }
    const refusal: DeliveryOutcome = { kind: 'failed', mayHaveArrived: false, reason: 'status 503' }
    if (fault.kind === 'requestLost') return await late()
    if (fault.kind === 'refused') return refusal
    // Messages are bytes on a connection, so the receiver gets a copy.
    const deliver = async (): Promise<DeliveryOutcome> => {
      const reply = target.handle(path, JSON.parse(JSON.stringify(message)))
      if (reply === 'otherIncarnation') return { kind: 'otherIncarnation' }
      if (reply === 'overloaded') return refusal
      return { kind: 'answered', reply: await reply }
    }
    if (fault.kind === 'requestLate') {
      setTimeout(() => { deliver().catch(() => {}) }, timeoutMilliseconds + fault.milliseconds)
      return await late()
    }
    const answered = deliver()
    if (fault.kind === 'duplicate') await deliver()
    if (fault.kind === 'replyLost') return await late()
    if (fault.kind === 'slow') await pause(fault.milliseconds)
    return await Promise.race([answered, late()])
  }

  return {
    post,
    listen: (peer, { tokens = noTokens, limits = noLimits, rooms = noRooms, streams = noStreams, retries = noRetries }) => {
      processes.set(peer.address, { peer, handle: createPeerMessageHandler({ incarnationId: peer.incarnationId, tokens, limits, rooms, streams, retries, receiveReports: () => {}, receiveLease: () => undefined, log: createRecordingLog(), now }) })
    },
    kill: (address) => { processes.delete(address) },
    currentIncarnation: (instanceId) => [...processes.values()].find(({ peer }) => peer.instanceId === instanceId)?.peer.incarnationId
  }
}
