import type { SlotRequest } from '../slotQueue.js'

/** A short interactive request of one account with a distant deadline. */
export function buildSlotRequest (overrides: Partial<SlotRequest> = {}): SlotRequest {
  return { account: 'school', weight: 1, priority: 'interactive', promptBytes: 0, deadline: Number.MAX_SAFE_INTEGER, ...overrides }
}

/** Lets p-queue's microtasks run. */
export function settleMicrotasks (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
