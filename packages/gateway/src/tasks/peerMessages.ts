import { receiveResponse } from '@quinceshunt/caller-connections'
import { createByteCollector, createSharedLimit, type Holding } from '@quinceshunt/memory-limits'
import { Agent, request, type IncomingMessage } from 'node:http'
import * as v from 'valibot'
import { reportedUseSchema, type ReportedUse } from '../decisions/knownUse.js'
import type { KnownLimit, PermitReply, PermitRequest } from '../decisions/permitIssuer.js'
import { retryKindSchema, type RetryKind } from '../decisions/relayedRetries.js'
import type { RoomReply, RoomRequest } from '../decisions/roomIssuer.js'
import { streamOriginSchema, type StreamOrigin } from '../decisions/streamOrigins.js'
import { toldTotalsSchema, type ToldLease } from '../decisions/toldLease.js'
import type { KnownBrittleness } from './backendRooms.js'
import { createPeerCalls } from './peerCalls.js'
import type { DecisionLog } from './decisionLog.js'
import type { RetryReply } from './relayedRetries.js'
import type { StreamAnswer } from './streamHomes.js'
import { createUnreadableFields } from './unreadableFields.js'
import type { Report } from './fleetReports.js'

export const MAX_MESSAGE_BYTES = 65_536
/** Of the replies in progress of all peers, each of which may send as much as it leaves to the others. */
const MAX_REPLIES_BYTES = 8_388_608
/** Peers send none. */
const MAX_INTERIM_RESPONSES = 8
/** Replies are remembered for longer than a sender repeats its message. */
const REPLY_MEMORY_MS = 60_000
/** About 600 bytes each. One connection alone may have half of them: 2,500 messages a second. */
const MAX_REMEMBERED_REPLIES = 300_000
/** Remembered with each reply; an ID is that of a process and a number. */
const MAX_ID_LENGTH = 512
/** `otherIncarnation` says that no copy of the message will be handled, `overloaded` that this copy was not. */
export const PEER_STATUS = { ok: 200, badRequest: 400, otherIncarnation: 409, overloaded: 503 } as const

/** Messages of this process to its peers. */
export const peerCalls = createPeerCalls()
/** Reuses connections, as most requests need tokens from a home. */
const peerAgent = new Agent({ keepAlive: true, maxFreeSockets: 4, timeout: 10_000 })
const repliesLimit = createSharedLimit(MAX_REPLIES_BYTES)

const positiveCount = v.pipe(v.number(), v.integer(), v.minValue(1))
/** Fields of each message: `id` names it across repeats, `to` is the incarnation that it is meant for. */
const envelope = { id: v.pipe(v.string(), v.maxLength(MAX_ID_LENGTH)), to: v.string() }
const loanRequestSchema = v.object({ ...envelope, account: v.string(), tokens: positiveCount, kind: v.picklist(['whole', 'partial']), use: v.optional(reportedUseSchema) })
const returnSchema = v.object({ ...envelope, accounts: v.record(v.string(), positiveCount), use: v.optional(v.record(v.string(), reportedUseSchema)) })
const loanReplySchema = v.object({
  tokens: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** True when the account's remaining tokens don't cover the request, as far as the home knows. */
  isShort: v.boolean(),
  /** What the home knows of the account's use; processes of earlier versions don't tell. */
  use: v.optional(reportedUseSchema)
})

const knownLimitSchema = v.object({ requestsPerSecond: v.optional(v.pipe(v.number(), v.minValue(0))), seenAt: v.number() })
const knownBrittlenessSchema = v.object({ rejectionsPerSecond: v.optional(v.pipe(v.number(), v.minValue(0))), seenAt: v.number() })
const permitRequestSchema = v.object({
  to: v.string(),
  backendProcess: v.string(),
  instanceId: v.string(),
  priority: v.number(),
  known: knownLimitSchema,
  cold: v.optional(v.object({ requestsPerSecond: v.pipe(v.number(), v.minValue(0)), until: v.number() })),
  demand: v.array(v.object({ priority: v.number(), requests: v.number() }))
})
const permitReplySchema = v.variant('kind', [
  v.object({ kind: v.literal('granted'), known: knownLimitSchema, coldUntil: v.optional(v.number()) }),
  v.object({ kind: v.literal('unlimited'), known: knownLimitSchema }),
  v.object({ kind: v.literal('denied'), known: knownLimitSchema, coldUntil: v.optional(v.number()), askAgainAt: v.number(), retryAt: v.number(), share: v.number() })
])
const roomRequestSchema = v.object({
  to: v.string(),
  service: v.string(),
  instanceId: v.string(),
  sequence: v.number(),
  openRequests: v.array(v.number()),
  inProgress: v.record(v.string(), positiveCount),
  failed: v.array(v.string()),
  full: v.array(v.string()),
  loads: v.record(v.string(), v.object({ running: v.number(), waiting: v.number(), at: v.number() })),
  wanted: v.array(v.object({ backendProcess: v.string(), slots: v.pipe(v.number(), v.minValue(1)) })),
  priority: v.fallback(v.optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(9))), undefined),
  account: v.fallback(v.optional(v.string()), undefined),
  waitUntil: v.fallback(v.optional(v.number()), undefined),
  denied: v.fallback(v.optional(v.pipe(v.number(), v.integer(), v.minValue(0))), undefined)
})
const OPTIONAL_ROOM_FIELDS = ['priority', 'account', 'waitUntil', 'denied'] as const
const roomReplySchema = v.variant('kind', [
  v.object({ kind: v.literal('granted'), backendProcess: v.string() }),
  v.object({ kind: v.literal('denied'), askAgainAt: v.number(), retryAt: v.number(), returnEvery: v.fallback(v.optional(v.pipe(v.number(), v.minValue(0))), undefined) }),
  v.object({ kind: v.literal('noted') })
])
const reportsSchema = v.object({ to: v.string(), reports: v.array(v.object({ key: v.string(), value: v.string() })) })
const leaseNewsSchema = v.object({ to: v.string(), ...toldTotalsSchema.entries })
const retryRequestSchema = v.object({ to: v.string(), relayId: v.string(), kind: retryKindSchema })
const streamNewsSchema = v.object({ to: v.string(), origins: v.array(streamOriginSchema) })
const streamQuerySchema = v.object({ to: v.string(), attemptId: v.string(), service: v.string() })
const limitNewsSchema = v.object({ to: v.string(), backendProcess: v.string(), known: knownLimitSchema })

/** `partial` asks for what can be had, `whole` for all or nothing: parts of a request's tokens would lie idle. */
export type LoanKind = v.InferOutput<typeof loanRequestSchema>['kind']

/** Reply of a home to a request for tokens. */
export type LoanReply = v.InferOutput<typeof loanReplySchema>

/** Outcome of one try to deliver a message. */
export type DeliveryOutcome =
  | { readonly kind: 'answered', readonly reply: unknown }
  /** Another process runs at that address, or this one is about to exit; it did not handle the message. */
  | { readonly kind: 'otherIncarnation' }
  /**
   * `mayHaveArrived` is false when no connection was established, and when the receiver refused this copy without handling it.
   * `hasReplied` tells that a process of whatever version replied, with an error.
   */
  | { readonly kind: 'failed', readonly mayHaveArrived: boolean, readonly reason: string, readonly hasReplied?: true }

/** Paths of the messages between instances. */
export const PEER_PATH = { loans: '/loans', returns: '/returns', permits: '/permits', limits: '/limits', reports: '/reports', leases: '/leases', rooms: '/rooms', streams: '/streams', streamQueries: '/streams/find', retries: '/retries', loads: '/loads', connectionRoom: '/connections/room' } as const

/** Takes over a limit from JSON, which leaves out an undefined value. */
function toKnownLimit ({ requestsPerSecond, seenAt }: v.InferOutput<typeof knownLimitSchema>): KnownLimit {
  return { requestsPerSecond, seenAt }
}

/** Parses the reply to a request for a permit; undefined when it is malformed. */
export function parsePermitReply (reply: unknown): PermitReply | undefined {
  const parsed = v.safeParse(permitReplySchema, reply)
  return parsed.success ? { ...parsed.output, known: toKnownLimit(parsed.output.known) } : undefined
}

/** Parses the reply to a request for room; undefined when it is malformed. */
export function parseRoomReply (reply: unknown): RoomReply | undefined {
  const parsed = v.safeParse(roomReplySchema, reply)
  return parsed.success ? parsed.output : undefined
}

/** Parses a limit; undefined when it is malformed. */
export function parseKnownLimit (value: unknown): KnownLimit | undefined {
  const parsed = v.safeParse(knownLimitSchema, value)
  return parsed.success ? toKnownLimit(parsed.output) : undefined
}

/** Parses what is known of a service's brittleness; undefined when it is malformed. */
export function parseKnownBrittleness (value: unknown): KnownBrittleness | undefined {
  const parsed = v.safeParse(knownBrittlenessSchema, value)
  return parsed.success ? { rejectionsPerSecond: parsed.output.rejectionsPerSecond, seenAt: parsed.output.seenAt } : undefined
}

/** Parses the reply to a request for tokens; undefined when it is malformed. */
export function parseLoanReply (reply: unknown): LoanReply | undefined {
  const parsed = v.safeParse(loanReplySchema, reply)
  return parsed.success ? parsed.output : undefined
}

/** Posts a message once. */
export async function postToPeer (address: string, path: string, message: unknown, timeoutMilliseconds: number): Promise<DeliveryOutcome> {
  const end = peerCalls.begin(path)
  try {
    const outcome = await post(address, path, message, timeoutMilliseconds)
    end(outcome.kind === 'failed' ? 'failed' : 'answered')
    return outcome
  } catch (error) {
    end('failed')
    // Node opens no connection to an address that is none.
    return { kind: 'failed', mayHaveArrived: false, reason: (error as Error).message }
  }
}

function post (address: string, path: string, message: unknown, timeoutMilliseconds: number): Promise<DeliveryOutcome> {
  const [host = '', port = ''] = address.split(':')
  const body = JSON.stringify(message)
  return new Promise((resolve) => {
    let mayHaveArrived = false
    const holding = repliesLimit.open(address)
    const outgoing = request({ host, port: Number(port), method: 'POST', path, agent: peerAgent, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } })
    const timer = setTimeout(() => outgoing.destroy(new Error('no response in time')), timeoutMilliseconds)
    const finish = (outcome: DeliveryOutcome): void => {
      clearTimeout(timer)
      holding.release()
      resolve(outcome)
    }
    const fail = (reason: string): void => finish({ kind: 'failed', mayHaveArrived, reason })
    outgoing.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => { mayHaveArrived = true })
      else mayHaveArrived = true
    })
    outgoing.on('error', (error) => fail(error.message))
    const reject = (reason: string): void => {
      fail(reason)
      outgoing.destroy()
    }
    receiveResponse(outgoing, { maxInterimResponses: MAX_INTERIM_RESPONSES, onInvalid: reject, onResponse: receive })
    function receive (incoming: IncomingMessage): void {
      const collector = createByteCollector(holding, MAX_MESSAGE_BYTES)
      incoming.on('data', (chunk: Buffer) => {
        if (!collector.tryAppend(chunk)) outgoing.destroy(new Error('reply too large'))
      })
      incoming.on('error', (error) => fail(error.message))
      incoming.on('end', () => {
        if (incoming.statusCode === PEER_STATUS.otherIncarnation) return finish({ kind: 'otherIncarnation' })
        if (incoming.statusCode === PEER_STATUS.overloaded) mayHaveArrived = false
        if (incoming.statusCode !== PEER_STATUS.ok) return finish({ kind: 'failed', mayHaveArrived, reason: `status ${incoming.statusCode ?? 0}`, hasReplied: true })
        finish({ kind: 'answered', reply: parseJson(collector.bytes().toString()) })
      })
    }
    outgoing.end(body)
  })
}

/** Returns undefined for text that is not JSON. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

/** Handlers of messages about tokens. */
export interface TokenHandlers {
  /** True when the process is about to exit and takes no further messages. */
  readonly isClosing: boolean
  readonly lend: (account: string, tokens: number, kind: LoanKind) => Promise<LoanReply>
  readonly takeBack: (account: string, tokens: number) => void
  readonly receiveUse: (account: string, report: ReportedUse) => void
}

/** Handlers of messages about the limits that backend servers name. */
export interface LimitHandlers {
  readonly issue: (request: PermitRequest) => PermitReply
  readonly receive: (backendProcess: string, known: KnownLimit) => void
}

/** Handlers of messages about room at brittle backend servers. */
export interface RoomHandlers {
  readonly issue: (request: RoomRequest) => RoomReply | Promise<RoomReply>
}

/** Handlers of messages about the software versions at which streams began. */
export interface StreamHandlers {
  readonly receive: (origins: readonly StreamOrigin[]) => void
  readonly answer: (attemptId: string, service: string) => StreamAnswer
}

/** Handlers of messages about requests that this instance relays. */
export interface RetryHandlers {
  readonly answer: (relayId: string, kind: RetryKind) => RetryReply
}

/** Handles reports that a peer could not write to the store. */
export type ReportHandler = (reports: readonly Report[]) => void

/** Remembers what a peer has recorded in the balances; returns what its last process had recorded, if another one did. */
export type LeaseNewsHandler = (told: ToldLease) => ToldLease | undefined

/** Options of the listener. */
export interface PeerListenerOptions {
  /** ID of this run of the process; messages to another one are rejected. */
  readonly incarnationId: string
  readonly tokens: TokenHandlers
  readonly limits: LimitHandlers
  readonly rooms: RoomHandlers
  readonly streams: StreamHandlers
  readonly retries: RetryHandlers
  /** Missing where load figures are not shared: the path is unknown then. */
  readonly receiveLoads?: ((message: unknown) => MessageResult) | undefined
  /** Missing where no connections are taken: the path is unknown then. */
  readonly answerConnectionRoom?: ((message: unknown) => MessageResult) | undefined
  readonly receiveReports: ReportHandler
  readonly receiveLease: LeaseNewsHandler
  readonly log: DecisionLog
  readonly now: () => number
  /** Lowered by tests. */
  readonly maxRememberedReplies?: number
}

/**
 * Result of a message: its reply, `otherIncarnation` for one that this process does not handle, `overloaded` for one whose reply
 * can't be remembered, undefined for a malformed one.
 */
export type MessageResult = Promise<unknown> | 'otherIncarnation' | 'overloaded' | undefined

/** Handles a message; `sender` is the connection that it came on, as peers may share an address with a process outside the fleet. */
export type PeerMessageHandler = (path: string, message: unknown, sender?: string) => MessageResult

/**
 * Handles each message once: a repeated one gets the reply of the first, so that a sender may repeat it until it is
 * answered.
 */
export function createPeerMessageHandler ({ incarnationId, tokens: tokenHandlers, limits, rooms, streams, retries, receiveLoads, answerConnectionRoom, receiveReports, receiveLease, log, now, maxRememberedReplies = MAX_REMEMBERED_REPLIES }: PeerListenerOptions): PeerMessageHandler {
  const replies = new Map<string, { readonly reply: Promise<unknown>, readonly forgetAt: number, readonly holding: Holding }>()
  const rememberedReplies = createSharedLimit(maxRememberedReplies)
  const noteUnreadable = createUnreadableFields(log)

  function forgetOldReplies (): void {
    for (const [id, { forgetAt, holding }] of replies) {
      if (forgetAt > now()) return
      replies.delete(id)
      holding.release()
    }
  }

  function handleOnce ({ id, to }: { readonly id: string, readonly to: string }, sender: string, handle: () => Promise<unknown>): MessageResult {
    if (to !== incarnationId) return 'otherIncarnation'
    forgetOldReplies()
    const known = replies.get(id)
    if (known !== undefined) return known.reply
    if (tokenHandlers.isClosing) return 'otherIncarnation'
    const holding = rememberedReplies.open(sender)
    if (!holding.tryAdd(1)) return 'overloaded'
    const reply = handle()
    replies.set(id, { reply, forgetAt: now() + REPLY_MEMORY_MS, holding })
    return reply
  }

  return (path, message, sender = '') => {
    switch (path) {
      case PEER_PATH.loans: {
        const loan = v.safeParse(loanRequestSchema, message)
        if (!loan.success) return undefined
        const { account, tokens, kind, use } = loan.output
        return handleOnce(loan.output, sender, async () => {
          if (use !== undefined) tokenHandlers.receiveUse(account, use)
          const reply = await tokenHandlers.lend(account, tokens, kind)
          log.decision('tokensLent', { account, asked: tokens, tokens: reply.tokens, isShort: reply.isShort })
          return reply
        })
      }
      case PEER_PATH.returns: {
        const returned = v.safeParse(returnSchema, message)
        if (!returned.success) return undefined
        const { accounts, use = {} } = returned.output
        return handleOnce(returned.output, sender, async () => {
          for (const [account, reported] of Object.entries(use)) tokenHandlers.receiveUse(account, reported)
          for (const [account, tokens] of Object.entries(accounts)) tokenHandlers.takeBack(account, tokens)
          return {}
        })
      }
      // A repeated request for a permit is a request for another one: a reply that was lost may have granted a permit that was not used.
      case PEER_PATH.permits: {
        const asked = v.safeParse(permitRequestSchema, message)
        if (!asked.success) return undefined
        const { to, ...permitRequest } = asked.output
        if (to !== incarnationId || tokenHandlers.isClosing) return 'otherIncarnation'
        return Promise.resolve(limits.issue({ ...permitRequest, known: toKnownLimit(permitRequest.known) }))
      }
      // A repeated request for room is another one, like one for a permit.
      case PEER_PATH.rooms: {
        const asked = v.safeParse(roomRequestSchema, message)
        if (!asked.success) return undefined
        noteUnreadable(path, message, asked.output, OPTIONAL_ROOM_FIELDS)
        const { to, ...roomRequest } = asked.output
        if (to !== incarnationId || tokenHandlers.isClosing) return 'otherIncarnation'
        return Promise.resolve(rooms.issue(roomRequest))
      }
      case PEER_PATH.limits: {
        const news = v.safeParse(limitNewsSchema, message)
        if (!news.success) return undefined
        if (news.output.to !== incarnationId) return 'otherIncarnation'
        limits.receive(news.output.backendProcess, toKnownLimit(news.output.known))
        return Promise.resolve({})
      }
      case PEER_PATH.reports: {
        const received = v.safeParse(reportsSchema, message)
        if (!received.success) return undefined
        if (received.output.to !== incarnationId) return 'otherIncarnation'
        receiveReports(received.output.reports)
        return Promise.resolve({})
      }
      case PEER_PATH.leases: {
        const news = v.safeParse(leaseNewsSchema, message)
        if (!news.success) return undefined
        const { to, ...told } = news.output
        if (to !== incarnationId) return 'otherIncarnation'
        return Promise.resolve(receiveLease(told) ?? {})
      }
      case PEER_PATH.streams: {
        const news = v.safeParse(streamNewsSchema, message)
        if (!news.success) return undefined
        if (news.output.to !== incarnationId) return 'otherIncarnation'
        streams.receive(news.output.origins)
        return Promise.resolve({})
      }
      case PEER_PATH.streamQueries: {
        const query = v.safeParse(streamQuerySchema, message)
        if (!query.success) return undefined
        if (query.output.to !== incarnationId) return 'otherIncarnation'
        return Promise.resolve(streams.answer(query.output.attemptId, query.output.service))
      }
      // A repeated request for a retry is a request for another one, like one for a permit.
      case PEER_PATH.retries: {
        const asked = v.safeParse(retryRequestSchema, message)
        if (!asked.success) return undefined
        if (asked.output.to !== incarnationId) return 'otherIncarnation'
        return Promise.resolve(retries.answer(asked.output.relayId, asked.output.kind))
      }
      case PEER_PATH.loads: return receiveLoads?.(message)
      case PEER_PATH.connectionRoom: return answerConnectionRoom?.(message)
      default: return undefined
    }
  }
}
