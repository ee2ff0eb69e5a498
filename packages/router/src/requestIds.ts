import { randomUUID } from 'node:crypto'

/** Generates the ID of a request without an Idempotency-Key. */
export function newRequestId (): string {
  return randomUUID().replaceAll('-', '')
}

/** Generates the ID of one attempt; unique, so that a late response to an earlier attempt can be detected. */
export function newAttemptId (requestId: string, attempt: number): string {
  return `${requestId}-${attempt}-${randomUUID().slice(0, 8)}`
}
