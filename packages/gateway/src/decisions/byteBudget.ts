/** Limits the bytes that all responses in progress buffer together, so that backend servers in trouble can't fill the memory. */
export interface ByteBudget {
  /** Takes bytes; false when fewer are left. */
  take (bytes: number): boolean
  release (bytes: number): void
}

/** Creates a budget of `maximumBytes`. */
export function createByteBudget (maximumBytes: number): ByteBudget {
  let taken = 0
  return {
    take: (bytes) => {
      if (taken + bytes > maximumBytes) return false
      taken += bytes
      return true
    },
    release: (bytes) => { taken -= bytes }
  }
}
