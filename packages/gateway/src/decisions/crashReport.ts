import * as v from 'valibot'

const unansweredRequestSchema = v.object({
  /** Prompt parts that other requests may share. */
  parts: v.array(v.string()),
  /** Backend server and its process, so that one crash is told from the next. */
  backendProcess: v.string(),
  sentAt: v.number(),
  crashedAt: v.number()
})

/** A request that its backend server had not begun to answer when it crashed. Times are on the shared clock, milliseconds. */
export type UnansweredRequest = v.InferOutput<typeof unansweredRequestSchema>

/** Encodes a request for the row of a crash report. */
export function encodeUnansweredRequest (request: UnansweredRequest): string {
  return JSON.stringify(request)
}

/** Returns undefined for rows of reports without a prompt, and for those of earlier versions, which hold an instance ID. */
export function decodeUnansweredRequest (value: string): UnansweredRequest | undefined {
  if (!value.startsWith('{')) return undefined
  try {
    return v.parse(unansweredRequestSchema, JSON.parse(value))
  } catch {
    // The report still counts for the request's fingerprint.
    return undefined
  }
}
