import * as v from 'valibot'
import { furtherAttemptsSchema } from './relayedRetries.js'
import { streamOriginSchema } from './streamOrigins.js'

/** What an instance tells a peer beside a request that the peer is to serve in its place. */
const relayEnvelopeSchema = v.object({
  /** Instance that got the request from its caller. */
  from: v.string(),
  /** Incarnation of the peer that is meant. */
  to: v.string(),
  /** The peer must know this version of the configuration, by which the request was admitted. */
  configurationVersion: v.number(),
  /** Backend servers to which the peer may send the request without asking. */
  attemptsLeft: v.pipe(v.number(), v.integer(), v.minValue(1)),
  /** True when the request is counted in the retry budget of another instance already. */
  isRepeat: v.boolean(),
  /** Retries that the peer may ask for; instances of an earlier version hand all attempts out at once. */
  furtherAttempts: v.optional(furtherAttemptsSchema),
  /** True when the peer is to report where its stream began; instances of an earlier version would pass the report on to the caller. */
  wantsStreamReport: v.optional(v.boolean()),
  /** Where its stream began, if that is known. */
  origin: v.optional(streamOriginSchema)
})

/** What an instance tells a peer beside a request that the peer is to serve in its place. */
export type RelayEnvelope = v.InferOutput<typeof relayEnvelopeSchema>

/** Header of a relayed request. */
export const RELAY_HEADER = 'x-relayed-request'
/** Header of a response by which a peer says that it has not taken a relayed request, with the reason. */
export const RELAY_DECLINED_HEADER = 'x-relay-declined'
/** Header of such a response that names a peer which takes requests. */
export const RELAY_ELSEWHERE_HEADER = 'x-relay-elsewhere'

/** Encodes an envelope for its header. */
export function encodeRelayEnvelope (envelope: RelayEnvelope): string {
  return Buffer.from(JSON.stringify(envelope)).toString('base64')
}

/** Returns undefined for a header that is no envelope. */
export function decodeRelayEnvelope (header: string): RelayEnvelope | undefined {
  try {
    return v.parse(relayEnvelopeSchema, JSON.parse(Buffer.from(header, 'base64').toString()))
  } catch {
    // The peer declines it.
    return undefined
  }
}
