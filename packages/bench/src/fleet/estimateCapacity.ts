import type { RequestClass } from '../load/mixes.js'

/** Factor by which token generation slows with all slots in use; documented in packages/backend-standin. */
const FULL_BATCH_SLOWDOWN = 1.5
const BYTES_PER_TOKEN = 4

/** Number of engines and the parameters of each. */
export interface EnginePool {
  readonly engines: number
  readonly slots: number
  readonly tokenMilliseconds: number
  /** Per 1000 prompt tokens. */
  readonly prefillMilliseconds: number
}

/**
 * Estimates the requests per second of a mix at which all slots are in use. Each chat is taken to occupy a slot for its
 * prefill without a cached prefix and for its tokens at the speed of a full batch.
 */
export function estimateCapacity (mix: readonly RequestClass[], pool: EnginePool): number {
  const totalShare = mix.reduce((sum, requestClass) => sum + requestClass.share, 0)
  const meanSlotMilliseconds = mix.reduce((sum, requestClass) => sum + requestClass.share / totalShare * slotMillisecondsOf(requestClass, pool), 0)
  return meanSlotMilliseconds === 0 ? Infinity : pool.engines * pool.slots * 1000 / meanSlotMilliseconds
}

function slotMillisecondsOf (requestClass: RequestClass, pool: EnginePool): number {
  if (requestClass.kind !== 'chat') return 0
  const [minAnswerTokens, maxAnswerTokens] = requestClass.answerTokens
  const promptTokens = (requestClass.documentBytes + requestClass.questionBytes) / BYTES_PER_TOKEN
  return promptTokens / 1000 * pool.prefillMilliseconds + (minAnswerTokens + maxAnswerTokens) / 2 * pool.tokenMilliseconds * FULL_BATCH_SLOWDOWN
}
