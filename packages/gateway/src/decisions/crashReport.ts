import type { UnansweredRequest } from '@quinceshunt/requests'
import * as v from 'valibot'

const unansweredRequestSchema = v.object({ parts: v.array(v.string()), backendProcess: v.string(), sentAt: v.number(), crashedAt: v.number() })

/** The value of a crash report's row; the row's key is the request's ID. */
export type ReportedRequest = Omit<UnansweredRequest, 'id'>

/** Encodes a request for the row of a crash report. */
export function encodeUnansweredRequest (request: ReportedRequest): string {
  return JSON.stringify(request)
}

/** Returns undefined for rows of earlier versions, which hold an instance ID. */
export function decodeUnansweredRequest (value: string): ReportedRequest | undefined {
  if (!value.startsWith('{')) return undefined
  try {
    return v.parse(unansweredRequestSchema, JSON.parse(value))
  } catch {
    // A malformed report is no evidence.
    return undefined
  }
}
