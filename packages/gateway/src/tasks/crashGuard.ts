import { computeReleaseDelay, contentPart, createCrashingParts, isContentPart, type SuspectedGroup } from '@quinceshunt/requests'
import { steadyNow } from '../clock.js'
import type { ReportedRequest } from '../decisions/crashReport.js'
import type { SharedClock } from '../decisions/sharedClock.js'
import { createStoredAnswers } from '../decisions/storedAnswers.js'
import type { DecisionLog } from './decisionLog.js'

/** Properties of a request by which it is recognized when it crashes backend servers. */
export interface GuardedRequest {
  /** Hash of its content; computed only when needed. */
  readonly fingerprint: () => string
  /** Parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[]
}

/** An attempt that ended without a complete answer because the backend server broke the connection. */
export interface BrokenAttempt {
  readonly backendProcess: string
  /** By `steadyNow`. */
  readonly sentAt: number
  /** By `steadyNow`. */
  readonly brokenAt: number
  /** True when the answer had gone on after its start, so that the prompt's shared parts are sound. */
  readonly isAnswerSound: boolean
}

/** Why a request may not be sent, and until when, by `steadyNow`. */
export interface Quarantine {
  readonly reason: string
  readonly until: number
}

/** Decides which requests are no longer sent because they crash backend servers. */
export interface CrashGuard {
  /** Why a request may not be sent; undefined when it may. */
  findQuarantine (request: GuardedRequest): Quarantine | undefined
  /** False when the request's content or parts are suspects, so that a retry may crash a further backend server. */
  mayRetry (request: GuardedRequest): boolean
  recordBroken (request: GuardedRequest, attempt: BrokenAttempt): void
  /** Records a complete response. */
  recordResponse (request: GuardedRequest): void
  /** Records that a backend server began to answer at `answeredAt`, by `steadyNow`, and went on. */
  recordAnswer (request: GuardedRequest, answeredAt: number): void
  /** Takes over a report of this or another instance. */
  learnCrash (fingerprint: string, reportId: string, unanswered: ReportedRequest | undefined): void
  learnAnswer (part: string, answeredAt: number): void
  /** Time of an answer that other instances should know of; undefined when they no longer suspect the part, and the store names a new answer. */
  answerToReport (part: string): number | undefined
  /** Time of the latest known answer to a part. */
  latestAnswer (part: string): number | undefined
}

/** Dependencies of the guard. */
export interface CrashGuardOptions {
  readonly log: DecisionLog
  readonly clock: SharedClock
  /** Number of registered instances. */
  readonly instances: () => number
  /** Position of this instance, from 0 to 1, in the order in which instances send a part again that was held back. */
  readonly releasePosition: number
  /** Reports to all instances; calls `learnCrash` for this one. */
  readonly reportCrash: (fingerprint: string, unanswered: ReportedRequest) => void
  /** Tells all instances of an answer to a part that they may suspect. */
  readonly reportAnswer: (part: string) => void
}

function nameOf (group: SuspectedGroup): string {
  return group.parts.join(',')
}

/** Creates a guard that knows of no crash. */
export function createCrashGuard (options: CrashGuardOptions): CrashGuard {
  const { log, clock } = options
  const parts = createCrashingParts(releaseDelay)
  const storedAnswers = createStoredAnswers()
  /** Names of the groups of parts that are held back, as logged. */
  let loggedGroups: ReadonlySet<string> = new Set()

  function releaseDelay (): number {
    return computeReleaseDelay(options.releasePosition, options.instances())
  }

  function logChanges (cause: string): void {
    const now = clock.fromLocal(steadyNow()) ?? 0
    const current = new Map(parts.suspectedGroups(now).filter((group) => now < group.heldBackUntil).map((group) => [nameOf(group), group]))
    for (const [names, { crashCount, heldBackUntil }] of current) if (!loggedGroups.has(names)) log.event('promptPartsHeldBack', { parts: names, crashes: crashCount, heldBackUntil, sharedTime: now, cause })
    for (const names of loggedGroups) if (!current.has(names)) log.event('promptPartsReleased', { parts: names, cause })
    loggedGroups = new Set(current.keys())
  }

  function partsOf (request: GuardedRequest): readonly string[] {
    return [...request.sharedParts, contentPart(request.fingerprint())]
  }

  function isOutdatedInStore (part: string): boolean {
    return storedAnswers.isOutdated(part, parts.answeredAt(part))
  }

  function reportAnswers (soundParts: readonly string[]): void {
    for (const part of soundParts) options.reportAnswer(part)
  }

  return {
    findQuarantine: (request) => {
      const now = steadyNow()
      const sharedNow = clock.fromLocal(now)
      if (!parts.hasSuspects || sharedNow === undefined) return undefined
      const group = parts.findHeldBack(partsOf(request), sharedNow)
      if (group === undefined) return undefined
      if (!loggedGroups.has(nameOf(group))) logChanges('crash')
      const subject = group.parts.some(isContentPart) ? 'it' : `part ${group.parts.join(' and ')} of its prompt`
      return { reason: `${subject} crashed several backend servers`, until: now + group.heldBackUntil - sharedNow }
    },
    mayRetry: (request) => !parts.hasSuspects || !parts.isSuspect(partsOf(request), clock.fromLocal(steadyNow()) ?? 0),
    recordBroken: (request, { backendProcess, sentAt, brokenAt, isAnswerSound }) => {
      const sharedSentAt = clock.fromLocal(sentAt)
      const crashedAt = clock.fromLocal(brokenAt)
      if (sharedSentAt === undefined || crashedAt === undefined) return
      options.reportCrash(request.fingerprint(), { parts: isAnswerSound ? [] : [...request.sharedParts], backendProcess, sentAt: sharedSentAt, crashedAt })
    },
    recordResponse: (request) => {
      if (!parts.hasSuspects) return
      const content = contentPart(request.fingerprint())
      const at = clock.fromLocal(steadyNow())
      if (at === undefined || !parts.hasCrashed(content)) return
      reportAnswers(parts.recordAnswer([content], at, 'own'))
    },
    recordAnswer: (request, answeredAt) => {
      const at = clock.fromLocal(answeredAt)
      if (at === undefined) return
      reportAnswers(parts.recordAnswer(request.sharedParts, at, 'own'))
      if (loggedGroups.size > 0) logChanges('answered')
    },
    learnCrash: (fingerprint, reportId, unanswered) => {
      if (unanswered === undefined) return
      const content = fingerprint === '' ? [] : [contentPart(fingerprint)]
      for (const part of unanswered.parts) storedAnswers.recordCrash(part, unanswered.crashedAt)
      reportAnswers(parts.recordCrash({ ...unanswered, parts: [...unanswered.parts, ...content], id: reportId }))
      for (const part of content) log.decision('crashCounted', { fingerprint, crashes: parts.crashCount(part), report: reportId })
      log.decision('partsSuspected', { parts: unanswered.parts.map((part) => `${part}:${parts.crashCount(part)}`).join(','), backend: unanswered.backendProcess, sentAt: unanswered.sentAt, crashedAt: unanswered.crashedAt, report: reportId })
    },
    learnAnswer: (part, answeredAt) => {
      parts.recordAnswer([part], answeredAt, 'shared')
      storedAnswers.recordStored(part, answeredAt)
      if (isOutdatedInStore(part)) options.reportAnswer(part)
      if (loggedGroups.size > 0) logChanges('answered at another instance')
    },
    answerToReport: (part) => parts.isWronglySuspected(part) || isOutdatedInStore(part) ? parts.answeredAt(part) : undefined,
    latestAnswer: parts.answeredAt
  }
}
