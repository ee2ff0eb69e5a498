/** Header that carries the request ID to a backend server and back with its answer. */
export const REQUEST_ID_HEADER = 'x-request-id'

/** Whether an answer belongs to the request it arrived for. */
export type AnswerMatch =
  | { readonly kind: 'matches' }
  /** The answer carries no ID; only backend servers that do not support IDs may be trusted then. */
  | { readonly kind: 'missing' }
  | { readonly kind: 'differs' }

/** Compares the request ID of an answer's headers with the one sent. */
export function matchAnswer (sentRequestId: string, headers: Readonly<Record<string, string | readonly string[] | undefined>>): AnswerMatch {
  const received = headers[REQUEST_ID_HEADER]
  if (received === undefined) return { kind: 'missing' }
  const values = typeof received === 'string' ? [received] : received
  return values.length === 1 && values[0] === sentRequestId ? { kind: 'matches' } : { kind: 'differs' }
}
