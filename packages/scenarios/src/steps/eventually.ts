const POLL_MILLISECONDS = 100

/** Repeats a check until it returns undefined; fails with its last complaint at the deadline. */
export async function eventually (withinMilliseconds: number, findFault: () => Promise<string | undefined>): Promise<void> {
  const deadline = Date.now() + withinMilliseconds
  for (;;) {
    const fault = await findFault()
    if (fault === undefined) return
    if (Date.now() >= deadline) throw new Error(`still after ${withinMilliseconds} ms: ${fault}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_MILLISECONDS))
  }
}
