import * as v from 'valibot'

/**
 * What a peer says, in the head of its response to a relayed request, about the stream that follows. Times are on the clock that
 * all instances share.
 */
const streamReportSchema = v.variant('kind', [
  v.object({ kind: v.literal('begun'), service: v.string(), version: v.string(), backendId: v.string(), begunAt: v.number(), isCertain: v.optional(v.boolean()) }),
  /** The stream began at a software version that the peer can't tell. */
  v.object({ kind: v.literal('unknown') })
])

/** Where a relayed stream began, as its peer reports. */
export type StreamReport = v.InferOutput<typeof streamReportSchema>

/** Header of a response to a relayed request that reports where its stream began. */
export const STREAM_REPORT_HEADER = 'x-relay-stream-start'

/** Encodes a report for its header. */
export function encodeStreamReport (report: StreamReport): string {
  return Buffer.from(JSON.stringify(report)).toString('base64')
}

/** Returns undefined without a readable report: peers of an earlier version send none. */
export function decodeStreamReport (header: string | readonly string[] | undefined): StreamReport | undefined {
  if (typeof header !== 'string') return undefined
  try {
    return v.parse(streamReportSchema, JSON.parse(Buffer.from(header, 'base64').toString()))
  } catch {
    // The homes of the stream are asked in its place.
    return undefined
  }
}

/** Removes the report, which is for this instance only, from raw headers: names and values in turn. */
export function withoutStreamReport (rawHeaders: readonly string[]): string[] {
  return rawHeaders.filter((_, index) => rawHeaders[index - index % 2]?.toLowerCase() !== STREAM_REPORT_HEADER)
}
