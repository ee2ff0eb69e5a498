/**
 * Limits the messages to peers that do not reply.
 *
 * Pattern: an instance that is cut off from its peers and goes on getting a hundred requests a second, each of which needs a reply of a
 * peer that must not be given up. What is sent to a silent peer does not depend on the requests or on how long it is silent: a few new
 * messages at a time, and one repeat. Once it replies, each reply lets two more repeats go, so that a peer that is back is not flooded.
 */

/** New messages in progress to a silent peer; they notice soon that it is back. */
const MAX_NEW_MESSAGES = 4
const REPEATS_PER_REPLY = 2
/** Pause before a message is repeated. */
const REPEAT_PAUSE_MS = 100
/** Timeout of a new message; that of repeats doubles with each one without a reply. */
const FIRST_TIMEOUT_MS = 250
const MAX_TIMEOUT_MS = 2000

/** How a message ended; `dropped` when it was not sent. */
export type MessageEnd = 'replied' | 'silent' | 'dropped'

/** A message that may be sent now. */
export interface MessageTurn {
  readonly timeoutMilliseconds: number
  /** To be called once. */
  end (end: MessageEnd): void
}

/** The limits. Peers are named by their incarnations. */
export interface SilentPeers {
  /** False while a peer is silent and has as many new messages as it may get. */
  mayAsk (peer: string): boolean
  /** Begins a new message. */
  begin (peer: string): MessageTurn
  /** Resolves when a message that had no reply may be repeated. */
  awaitRepeat (peer: string): Promise<MessageTurn>
}

interface PeerState {
  isSilent: boolean
  newMessages: number
  repeats: number
  timeoutMilliseconds: number
  /** Messages to be repeated, the next one first. */
  readonly waiting: (() => void)[]
}

/** Creates limits for peers that all reply. */
export function createSilentPeers (): SilentPeers {
  const states = new Map<string, PeerState>()

  function stateOf (peer: string): PeerState {
    const known = states.get(peer)
    if (known !== undefined) return known
    const created = { isSilent: false, newMessages: 0, repeats: 0, timeoutMilliseconds: FIRST_TIMEOUT_MS, waiting: [] }
    states.set(peer, created)
    return created
  }

  function release (state: PeerState, count: number): void {
    for (const start of state.waiting.splice(0, count)) {
      state.repeats++
      start()
    }
  }

  function ensureRepeat (state: PeerState): void {
    if (state.repeats > 0 || state.waiting.length === 0) return
    state.repeats++
    setTimeout(() => {
      state.repeats--
      release(state, 1)
    }, REPEAT_PAUSE_MS)
  }

  function note (peer: string, state: PeerState, end: MessageEnd): void {
    switch (end) {
      case 'replied':
        state.isSilent = false
        state.timeoutMilliseconds = FIRST_TIMEOUT_MS
        release(state, REPEATS_PER_REPLY)
        break
      case 'silent':
        state.isSilent = true
        break
      case 'dropped':
        if (state.repeats === 0) release(state, 1)
        break
    }
    ensureRepeat(state)
    if (!state.isSilent && state.newMessages + state.repeats + state.waiting.length === 0) states.delete(peer)
  }

  return {
    mayAsk: (peer) => {
      const state = states.get(peer)
      return state === undefined || !state.isSilent || state.newMessages < MAX_NEW_MESSAGES
    },
    begin: (peer) => {
      const state = stateOf(peer)
      state.newMessages++
      return {
        timeoutMilliseconds: FIRST_TIMEOUT_MS,
        end: (end) => {
          state.newMessages--
          note(peer, state, end)
        }
      }
    },
    awaitRepeat: async (peer) => {
      const state = stateOf(peer)
      await new Promise<void>((resolve) => {
        state.waiting.push(resolve)
        ensureRepeat(state)
      })
      const { timeoutMilliseconds } = state
      return {
        timeoutMilliseconds,
        end: (end) => {
          state.repeats--
          if (end === 'silent') state.timeoutMilliseconds = Math.min(MAX_TIMEOUT_MS, timeoutMilliseconds * 2)
          note(peer, state, end)
        }
      }
    }
  }
}
