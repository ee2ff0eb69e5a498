/**
 * Resolves once the events that had arrived on open connections have been handled. A pass of the event loop reads a
 * connection once, so that a close behind a request is read in the pass after it.
 */
export async function handleArrivedEvents (): Promise<void> {
  await endOfPass()
  await endOfPass()
}

function endOfPass (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
