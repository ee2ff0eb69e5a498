/** Asks for room for one request, or only tells what is in progress. */
export interface RoomRequest {
  readonly service: string
  readonly instanceId: string
  /** Rises with each message of the instance, also from one of its processes to the next. */
  readonly sequence: number
  /** Sequences of requests for room that have no reply yet. */
  readonly openRequests: readonly number[]
  /** Requests in progress, by backend server's process; those without any are left out. */
  readonly inProgress: Readonly<Record<string, number>>
  /** Processes that have broken a connection since the message before. */
  readonly failed: readonly string[]
  /** Processes that have turned a request away since the message before. */
  readonly full: readonly string[]
  /** What backend servers have reported since the message before. */
  readonly loads: Readonly<Record<string, RoomLoad>>
  /** Backend servers that may serve the request, the best one first; empty for a mere message. */
  readonly wanted: readonly WantedRoom[]
  /** From 0, the most urgent; missing, like the fields below, in messages of earlier versions. */
  readonly priority?: number | undefined
  readonly account?: string | undefined
  /** Until when the request may wait for room, on the shared clock; without it the reply is immediate. */
  readonly waitUntil?: number | undefined
  /** Requests that the instance has rejected for an earlier denial since the message before. */
  readonly denied?: number | undefined
}

/** Load that a backend server reported. */
export interface RoomLoad {
  readonly running: number
  readonly waiting: number
  /** When the report arrived, on the shared clock. */
  readonly at: number
}

/** A backend server that may serve a request. */
export interface WantedRoom {
  readonly backendProcess: string
  readonly slots: number
}

/** Reply to a request for room. Times are on the shared clock. */
export type RoomReply =
  | { readonly kind: 'granted', readonly backendProcess: string }
  /**
   * Until `askAgainAt` the instance is denied; `retryAt` is when a caller that is rejected for it may return. Callers that it rejects
   * without asking return at intervals of `returnEvery` milliseconds after that; missing where requests don't queue.
   */
  | { readonly kind: 'denied', readonly askAgainAt: number, readonly retryAt: number, readonly returnEvery?: number | undefined }
  /** To a mere message. */
  | { readonly kind: 'noted' }

/** The reply follows: `takeAnswers` returns it. */
export interface QueuedReply {
  readonly kind: 'queued'
  /** When it is there at the latest, on the shared clock. */
  readonly answerAt: number
}

/** Reply to a request that was queued. */
export interface QueueAnswer {
  readonly instanceId: string
  readonly sequence: number
  readonly reply: RoomReply
  readonly waitedMilliseconds: number
}
