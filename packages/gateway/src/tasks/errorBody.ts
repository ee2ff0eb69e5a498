/** An error response that the gateway itself generates. */
export interface ErrorResponse {
  readonly status: number
  /** Stable machine-readable code. */
  readonly code: string
  readonly message: string
  /** Whether the request may have run. */
  readonly run: 'no' | 'unknown'
}

/** Returns the body of an error in the format of the OpenAI API. */
export function errorBody ({ message, code, run }: Omit<ErrorResponse, 'status'>): string {
  return JSON.stringify({ error: { message, type: 'quinceshunt_error', code, param: null, run } })
}
