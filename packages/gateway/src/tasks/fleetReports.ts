import { decodeUnansweredRequest, type ReportedRequest } from '../decisions/crashReport.js'
import type { KnownLimit } from '../decisions/permitIssuer.js'
import type { StoredRow } from '../ports.js'
import type { KnownBrittleness } from './backendRooms.js'
import { parseJson, parseKnownBrittleness, parseKnownLimit } from './peerMessages.js'

/** A row by which an instance tells all others of something. */
export type Report = Pick<StoredRow, 'key' | 'value'>

/** Prefixes of the keys of reports, by what they tell. */
export const REPORT_PREFIX = { crash: 'crash/', answer: 'answer/', limit: 'limit/', versions: 'versions/', brittle: 'brittle/' } as const

/** Handlers of reports. */
export interface ReportHandlers {
  readonly onCrash: (fingerprint: string, reportId: string, unanswered: ReportedRequest | undefined) => void
  readonly onAnswer: (part: string, answeredAt: number) => void
  readonly onLimit: (backendProcess: string, known: KnownLimit) => void
  readonly onBrittleness: (service: string, known: KnownBrittleness) => void
  readonly onMixedVersions: (service: string, until: number) => void
}

/** Passes a report on to the handler of its kind; rows of other kinds and malformed ones are ignored. */
export function dispatchReport ({ key, value }: Report, handlers: ReportHandlers): void {
  const kind = (Object.keys(REPORT_PREFIX) as (keyof typeof REPORT_PREFIX)[]).find((candidate) => key.startsWith(REPORT_PREFIX[candidate]))
  if (kind === undefined) return
  const subject = key.slice(REPORT_PREFIX[kind].length)
  switch (kind) {
    case 'crash':
      handlers.onCrash(subject.split('/')[0] ?? '', key, decodeUnansweredRequest(value))
      return
    case 'limit': {
      const known = parseKnownLimit(parseJson(value))
      if (known !== undefined) handlers.onLimit(subject, known)
      return
    }
    case 'brittle': {
      const known = parseKnownBrittleness(parseJson(value))
      if (known !== undefined) handlers.onBrittleness(subject, known)
      return
    }
    case 'answer':
      if (Number.isFinite(Number(value))) handlers.onAnswer(subject, Number(value))
      return
    case 'versions':
      if (Number.isFinite(Number(value))) handlers.onMixedVersions(subject, Number(value))
  }
}

/** Replaces the time in the report of an answer by that of the latest known one: the report may have waited for the store. */
export function withLatestAnswer (report: Report, latestAnswer: (part: string) => number | undefined): Report {
  if (!report.key.startsWith(REPORT_PREFIX.answer)) return report
  const latest = latestAnswer(report.key.slice(REPORT_PREFIX.answer.length))
  return latest === undefined || latest <= Number(report.value) ? report : { key: report.key, value: String(latest) }
}
