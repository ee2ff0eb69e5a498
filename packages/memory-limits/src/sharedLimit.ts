/** The bytes of one request, response or message. */
export interface Holding {
  readonly bytes: number
  /** Adds bytes; false, and nothing added, when the holder would have more than it leaves to the others. */
  tryAdd (bytes: number): boolean
  /** Gives all bytes back. Calls after the first have no effect, and nothing can be added any more. */
  release (): void
}

/** Limits the bytes that all holders have together, and what each of them has of these. */
export interface SharedLimit {
  /** Bytes that all holders have. */
  readonly heldBytes: number
  bytesOf (holder: string): number
  /** Opens an empty holding. */
  open (holder: string): Holding
}

/**
 * Creates a limit of `maximumBytes` (the dynamic thresholds of Choudhury and Hahne, with factor 1). Each holder may have as
 * much as is free, so that some bytes are left for a holder that has none, however many others want more.
 */
export function createSharedLimit (maximumBytes: number): SharedLimit {
  const bytesByHolder = new Map<string, number>()
  let heldBytes = 0

  function change (holder: string, bytes: number): void {
    const held = (bytesByHolder.get(holder) ?? 0) + bytes
    heldBytes += bytes
    if (held === 0) bytesByHolder.delete(holder)
    else bytesByHolder.set(holder, held)
  }

  function open (holder: string): Holding {
    let bytesOfHolding = 0
    let isReleased = false
    return {
      get bytes () { return bytesOfHolding },
      tryAdd: (bytes) => {
        const free = maximumBytes - heldBytes - bytes
        if (isReleased || (bytesByHolder.get(holder) ?? 0) + bytes > free) return false
        bytesOfHolding += bytes
        change(holder, bytes)
        return true
      },
      release: () => {
        if (isReleased) return
        isReleased = true
        change(holder, -bytesOfHolding)
        bytesOfHolding = 0
      }
    }
  }

  return {
    get heldBytes () { return heldBytes },
    bytesOf: (holder) => bytesByHolder.get(holder) ?? 0,
    open
  }
}
