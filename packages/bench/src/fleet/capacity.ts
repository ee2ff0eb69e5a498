import type { RequestClass } from '../load/mixes.js'

/** Slowdown of a token with all slots in use, as packages/backend-standin documents it. */
const FULL_BATCH_SLOWDOWN = 1.5
const BYTES_PER_TOKEN = 4

/** Figures of an engine. */
export interface EngineFigures {
  readonly engines: number
  readonly slots: number
  readonly tokenMilliseconds: number
  /** For 1000 prompt tokens. */
  readonly prefillMilliseconds: number
}

/**
 * Estimated requests per second of a mix at which all slots are in use: each chat occupies a slot for its prefill
 * without any cached prefix and for its tokens at the full batch's speed.
 */
export function estimateCapacity (mix: readonly RequestClass[], figures: EngineFigures): number {
  const totalShare = mix.reduce((sum, requestClass) => sum + requestClass.share, 0)
  const slotMilliseconds = mix.reduce((sum, requestClass) => sum + requestClass.share / totalShare * occupiedMilliseconds(requestClass, figures), 0)
  return slotMilliseconds === 0 ? Infinity : figures.engines * figures.slots * 1000 / slotMilliseconds
}

function occupiedMilliseconds (requestClass: RequestClass, figures: EngineFigures): number {
  if (requestClass.kind !== 'chat') return 0
  const [fewest, most] = requestClass.answerTokens
  const promptTokens = (requestClass.documentBytes + requestClass.questionBytes) / BYTES_PER_TOKEN
  return promptTokens / 1000 * figures.prefillMilliseconds + (fewest + most) / 2 * figures.tokenMilliseconds * FULL_BATCH_SLOWDOWN
}
