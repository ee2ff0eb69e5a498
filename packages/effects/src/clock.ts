/** Source of time that tests can replace. */
export interface Clock {
  /** Unix time in milliseconds. */
  now (): number
  /** Resolves at the given Unix time in milliseconds, or immediately when it has passed or the signal is aborted. */
  waitUntil (deadline: number, signal?: AbortSignal): Promise<void>
}

/** The operating system's clock. */
export const systemClock: Clock = {
  now: () => Date.now(),
  waitUntil: (deadline, signal) => new Promise((resolve) => {
    if (signal?.aborted === true) return resolve()
    const timer = setTimeout(finish, Math.max(0, deadline - Date.now()))
    function finish (): void {
      clearTimeout(timer)
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    signal?.addEventListener('abort', finish, { once: true })
  })
}
