const POLL_INTERVAL_MS = 100

/** Repeats a check until it returns undefined; at the deadline, throws with the last fault that it returned. */
export async function eventually (timeoutMilliseconds: number, findFault: () => Promise<string | undefined>): Promise<void> {
  const deadline = Date.now() + timeoutMilliseconds
  for (;;) {
    const fault = await findFault()
    if (fault === undefined) return
    if (Date.now() >= deadline) throw new Error(`not fulfilled after ${timeoutMilliseconds} ms: ${fault}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
