import { randomUUID } from 'node:crypto'

/** ID of a request that carries no Idempotency-Key. */
export function newRequestId (): string {
  return randomUUID().replaceAll('-', '')
}

/** ID of one attempt at a backend server; differs from attempt to attempt so that a late answer of an earlier one is told apart. */
export function newAttemptId (requestId: string, attempt: number): string {
  return `${requestId}-${attempt}-${randomUUID().slice(0, 8)}`
}
