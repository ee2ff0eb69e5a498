import { createSharedLimit, type Holding } from '@quinceshunt/memory-limits'

/** What all callers' requests hold together; beside it fit the process itself and what is not collected yet in 350 MB. */
const MAX_CALLERS_BYTES = 67_108_864
/** What a request in progress takes: 57 kB for its connections, headers and state, and the first bytes of its body and answer. */
const REQUEST_BYTES = 65_536
/** First bytes of a request's body and answer that `REQUEST_BYTES` covers. */
const COVERED_BYTES = 8192
/** The buffer of each received part of a body costs this much more than its bytes; parts may be single bytes. */
const PART_BYTES = 256
/** Time after a caller's time limit from which its unread answer may be given up. */
const ABANDONED_MARGIN_MS = 1000
const ABANDONED_CHECK_INTERVAL_MS = 100

/** What one request holds in memory. */
export interface RequestMemory {
  /** Counts a part of the request's body; false when its holder may have no more. */
  tryAddPart (bytes: number): boolean
  /** Counts an answer that waits to be written; false when its holder may have no more. */
  tryAddAnswer (bytes: number): boolean
  /** Keeps the request counted until the returned function is called; what nobody keeps is released. */
  keep (): () => void
}

/** A request whose memory is counted. */
export interface CountedRequest {
  /** Who can make the process hold more. */
  readonly holder: string
  /** Time at which its caller gives it up. */
  readonly callerTimeoutAt: number
  /** Whether its answer only waits for its caller to read it. */
  readonly isUnread: () => boolean
  /** Ends the connection with what is unread. */
  readonly end: () => void
}

/** Limits what the requests of callers hold in memory, for all of them and for each holder. */
export interface CallersMemory {
  readonly heldBytes: number
  /** Counts a new request; undefined when its holder may have no more. */
  open (request: CountedRequest): RequestMemory | undefined
}

interface OpenRequest extends CountedRequest {
  readonly holding: Holding
}

/** Creates a limit without requests. */
export function createCallersMemory (now: () => number): CallersMemory {
  const limit = createSharedLimit(MAX_CALLERS_BYTES)
  const openRequests = new Map<string, Set<OpenRequest>>()
  let checkAbandonedAt = 0

  /** Ends unread answers that their callers have given up, as they would hold the memory for good. */
  function endAbandoned (holder: string): void {
    const at = now()
    if (at < checkAbandonedAt) return
    checkAbandonedAt = at + ABANDONED_CHECK_INTERVAL_MS
    for (const request of [...openRequests.get(holder) ?? []]) {
      if (at < request.callerTimeoutAt + ABANDONED_MARGIN_MS || !request.isUnread()) continue
      request.end()
      close(request)
    }
  }

  function close (request: OpenRequest): void {
    request.holding.release()
    const ofHolder = openRequests.get(request.holder)
    ofHolder?.delete(request)
    if (ofHolder?.size === 0) openRequests.delete(request.holder)
  }

  function tryAdd (holding: Holding, holder: string, bytes: number): boolean {
    if (holding.tryAdd(bytes)) return true
    endAbandoned(holder)
    return holding.tryAdd(bytes)
  }

  return {
    get heldBytes () { return limit.heldBytes },
    open: (counted) => {
      const { holder } = counted
      const holding = limit.open(holder)
      if (!tryAdd(holding, holder, REQUEST_BYTES)) return undefined
      const request = { ...counted, holding }
      openRequests.set(holder, (openRequests.get(holder) ?? new Set()).add(request))
      let uncountedBytes = COVERED_BYTES
      let keepers = 0

      function tryAddBytes (bytes: number): boolean {
        const exceeding = Math.max(0, bytes - uncountedBytes)
        if (exceeding > 0 && !tryAdd(holding, holder, exceeding)) return false
        uncountedBytes = Math.max(0, uncountedBytes - bytes)
        return true
      }

      return {
        tryAddPart: (bytes) => tryAddBytes(bytes + PART_BYTES),
        tryAddAnswer: tryAddBytes,
        keep: () => {
          let isKept = true
          keepers++
          return () => {
            if (!isKept) return
            isKept = false
            if (--keepers === 0) close(request)
          }
        }
      }
    }
  }
}
