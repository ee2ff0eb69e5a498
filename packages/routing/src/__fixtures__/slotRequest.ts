import type { SlotRequest } from '../slotQueue.js'

/** An interactive request with an empty prompt and a distant deadline. */
export function buildSlotRequest (overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { account: 'school', weight: 1, priority: 'interactive', promptBytes: 0, deadline: Number.MAX_SAFE_INTEGER, ...overrides }
}

/** Waits until p-queue's pending microtasks have run. */
export function flushMicrotasks (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
