/** Header that carries the request ID to a backend server and back in its response. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Whether a response belongs to the request on whose connection it arrived. */
export type ResponseMatch =
  | { readonly kind: 'matches' }
  /** The response carries no ID; acceptable only from backend servers that do not support request IDs. */
  | { readonly kind: 'missing' }
  | { readonly kind: 'differs' }

/** Compares the request ID in the response headers with the one that was sent. */
export function matchResponse (sentRequestId: string, headers: Readonly<Record<string, string | readonly string[] | undefined>>): ResponseMatch {
  const received = headers[REQUEST_ID_HEADER]
  if (received === undefined) return { kind: 'missing' }
  const receivedIds = typeof received === 'string' ? [received] : received
  return receivedIds.length === 1 && receivedIds[0] === sentRequestId ? { kind: 'matches' } : { kind: 'differs' }
}
