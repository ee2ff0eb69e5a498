import { steadyNow } from '../clock.js'
import type { BackendTally } from '../decisions/backendTally.js'
import type { FleetLoads } from '../decisions/fleetLoads.js'
import { createLoadBoard } from '../decisions/loadBoard.js'
import { loadHomes } from '../decisions/loadHomes.js'
import { createLoadKeys, encodeRow, loadKeyOf, RATIO_UNITS } from '../decisions/loadRows.js'
import { createLoadView } from '../decisions/loadView.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { encodeOthers, encodeSums, parseLoadMessage, parseOthers, parseSums, type LoadMessage, type LoadReply } from './loadMessages.js'
import type { LoadSource, SourceProcess } from './loadSource.js'
import { PEER_PATH, postToPeer, type MessageResult } from './peerMessages.js'
import type { Post } from './tokenLoans.js'

const REPORT_INTERVAL_MS = 1000
/**
 * Homes exchange sums more often than instances report: a figure waits for up to one interval of each of the reporting instance,
 * the exchange and the asking instance, and may be 2,500 ms old.
 */
const EXCHANGE_INTERVAL_MS = 300
/** No caller waits for a reply. Three attempts end before the next report is due. */
const REPLY_TIMEOUT_MS = 300
const MAX_ATTEMPTS = 3
/** A home that did not reply is not asked for this time. */
const AVOIDANCE_MS = 3000
/** One that handled the message and replied with an error is of a release that doesn't know it. */
const UNKNOWN_PATH_AVOIDANCE_MS = 30_000
/** Figures that are older are logged as old. */
const MAX_AGE_MS = 2500
/** Observations that no home has taken for this time are dropped: they say little of the present. */
const MAX_UNSENT_MS = 5000
/** A load report is repeated for this time, as a home may have changed or a message may be lost. */
const REPORT_AGE_MS = 2000

/** Load figures shared with other instances. */
export interface LoadExchange extends FleetLoads {
  /** Handles a message of the path `/loads`. */
  receive (message: unknown): MessageResult
  /** Instances of which the figures tell, this one included. */
  readonly reporters: number
  /** Updates the gauges before they are read. */
  updateGauges (): void
  stop (): void
}

/** Dependencies of the exchange. */
export interface LoadExchangeOptions {
  readonly instanceId: string
  readonly incarnationId: string
  readonly failureDomain: string
  /** The other instances. */
  readonly peers: () => readonly Peer[]
  readonly source: LoadSource
  readonly log: DecisionLog
  readonly count: (outcome: string) => void
  readonly gauge: (name: string, value: number, labels?: Record<string, string>) => void
  /** Position, in [0, 1), of the reports of this instance within each second. */
  readonly phase: number
  /** Delivers one message; replaced by tests. */
  readonly post?: Post
}

/** Starts to report figures every second, and to exchange sums with other homes while instances report here. */
export function startLoadExchange (options: LoadExchangeOptions): LoadExchange {
  const { instanceId, incarnationId, failureDomain, log, source, count, post = postToPeer } = options
  const reporter = loadKeyOf(instanceId)
  const self: Peer = { instanceId, incarnationId, failureDomain, address: '' }
  const board = createLoadBoard()
  const keys = createLoadKeys()
  const view = createLoadView(source.ownLoad)
  const avoidedUntil = new Map<string, number>()
  /** Of reports that no home, or only this instance's own board, has taken, by process. */
  let unsentTallies = new Map<string, BackendTally>()
  let lastReportAt = steadyNow()
  let homeId: string | undefined
  let isReporting = false
  let isExchanging = false
  let areOld = false
  let hasLoggedUnreadable = false

  function noteUnreadable (value: string | undefined): void {
    if (value === undefined) return
    count('unreadable')
    if (hasLoggedUnreadable) return
    hasLoggedUnreadable = true
    log.event('loadFiguresUnreadable', { value })
  }

  function homesOf (domain: string): readonly Peer[] {
    const now = steadyNow()
    return loadHomes(domain, [self, ...options.peers()]).filter((home) => (avoidedUntil.get(home.incarnationId) ?? 0) <= now)
  }

  /**
   * Where to report, in order. An instance to which no other one reports is its own last resort: the homes before it may be out of
   * its reach only, and another instance may exchange sums with them.
   */
  function candidates (): readonly Peer[] {
    const homes = homesOf(failureDomain)
    const isFirst = loadHomes(failureDomain, [self, ...options.peers()])[0] === self
    const ordered = isFirst || board.hasReporters(steadyNow(), reporter) ? homes : [...homes.filter((home) => home !== self), self]
    const tried = ordered.slice(0, MAX_ATTEMPTS)
    return tried.includes(self) ? tried : [...tried, self]
  }

  async function send (home: Peer, message: LoadMessage): Promise<unknown> {
    const outcome = await post(home.address, PEER_PATH.loads, { to: home.incarnationId, ...message }, REPLY_TIMEOUT_MS)
    switch (outcome.kind) {
      case 'answered': return outcome.reply
      case 'otherIncarnation':
        avoidedUntil.set(home.incarnationId, steadyNow() + AVOIDANCE_MS)
        return undefined
      case 'failed':
        avoidedUntil.set(home.incarnationId, steadyNow() + (outcome.hasReplied === true && outcome.mayHaveArrived ? UNKNOWN_PATH_AVOIDANCE_MS : AVOIDANCE_MS))
        log.decision('peerDidNotAnswer', { peer: home.address, path: PEER_PATH.loads, reason: outcome.reason })
        return undefined
    }
  }

  function handle (message: unknown): LoadReply | 'otherIncarnation' | undefined {
    const now = steadyNow()
    const parsed = parseLoadMessage(message, now)
    if (parsed === undefined) {
      noteUnreadable((JSON.stringify(message) ?? '').slice(0, 100))
      return undefined
    }
    if (parsed.to !== incarnationId) return 'otherIncarnation'
    noteUnreadable(parsed.unreadable)
    switch (parsed.kind) {
      case 'report':
        board.report(parsed.report, now)
        scheduleExchange()
        return encodeOthers(board.othersOf(parsed.report.reporter, parsed.report.services.map(({ name }) => name), now))
      case 'sums':
        board.learn(parsed.sums, failureDomain, now)
        // Homes that choose each other send their sums each; one that this instance does not choose gets them with the reply.
        return partners().some((partner) => partner.instanceId === parsed.sums.home) ? { kind: 'noted' } : encodeSums(instanceId, failureDomain, board.ownSums(now), now)
    }
  }

  /** Takes the tallies and adds those of reports that were not taken. */
  function takeTallies (process: SourceProcess, tallies: Map<string, BackendTally>): BackendTally {
    const taken = process.takeTally()
    const unsent = unsentTallies.get(process.backendProcess)
    const tally = unsent === undefined
      ? taken
      : { sent: taken.sent + unsent.sent, answered: taken.answered + unsent.answered, rejected: taken.rejected + unsent.rejected, logRatioSum: taken.logRatioSum + unsent.logRatioSum, ratioCount: taken.ratioCount + unsent.ratioCount }
    if (tally.sent + tally.answered + tally.rejected + tally.ratioCount > 0) tallies.set(process.backendProcess, tally)
    return tally
  }

  function readSource (now: number): { readonly services: readonly (readonly [string, string])[], readonly listed: ReadonlyMap<string, string>, readonly tallies: Map<string, BackendTally> } {
    const listed = new Map<string, string>()
    const tallies = new Map<string, BackendTally>()
    const rowsByService = new Map<string, string[]>()
    for (const process of source.processes()) {
      const { service, backendProcess, requests, unansweredTokens, report } = process
      const { sent, answered, rejected, logRatioSum, ratioCount } = takeTallies(process, tallies)
      listed.set(backendProcess, service)
      const rows = rowsByService.get(service) ?? []
      rowsByService.set(service, rows)
      const figures = { requests, unansweredTokens, ratioSum: Math.round(logRatioSum * RATIO_UNITS), ratioCount: ratioCount * RATIO_UNITS, report: report !== undefined && now - report.receivedAt <= REPORT_AGE_MS ? report : undefined, sent, answered, rejected }
      const row = encodeRow(keys.of(backendProcess), figures, now)
      if (row !== '') rows.push(row)
    }
    keys.keep(listed)
    return { services: [...rowsByService].map(([service, rows]) => [service, rows.join(';')] as const), listed, tallies }
  }

  function noteHome (home: Peer): void {
    if (home.instanceId === homeId) return
    log.event('loadHomeChanged', { home: home.instanceId, previous: homeId })
    homeId = home.instanceId
  }

  function noteAge (now: number): void {
    const { asOf } = view
    if (asOf === undefined) return
    const ageMilliseconds = now - asOf
    if (areOld === (ageMilliseconds > MAX_AGE_MS)) return
    areOld = !areOld
    log.event(areOld ? 'loadFiguresOld' : 'loadFiguresFresh', { ageMilliseconds: Math.round(ageMilliseconds), home: homeId })
  }

  function takeReply (home: Peer, reply: unknown, listed: ReadonlyMap<string, string>): 'taken' | 'alone' | 'noReply' {
    const parsed = parseOthers(reply)
    if (parsed === undefined) {
      if (reply !== undefined) noteUnreadable((JSON.stringify(reply) ?? '').slice(0, 100))
      return 'noReply'
    }
    noteUnreadable(parsed.unreadable)
    const { others } = parsed
    const isAlone = others.reporters <= 1 && options.peers().length > 0
    // A home that has just begun, or that nobody else reaches, knows less than the figures that this instance has.
    if (isAlone) return 'alone'
    noteHome(home)
    if (others.isComplete) noteUnreadable(view.takeReply(others, listed, steadyNow()))
    count(others.isComplete ? 'replied' : 'incomplete')
    return 'taken'
  }

  async function report (): Promise<void> {
    const now = steadyNow()
    if (now - lastReportAt > MAX_UNSENT_MS) {
      unsentTallies = new Map()
      lastReportAt = now - REPORT_INTERVAL_MS
    }
    const { services, listed, tallies } = readSource(now)
    const message: LoadMessage = { kind: 'report', from: reporter, interval: Math.max(1, now - lastReportAt), services: services.map((service) => [...service]) }
    for (const home of candidates()) {
      const reply = home === self ? handle({ to: incarnationId, ...message }) : await send(home, message)
      const result = takeReply(home, reply, listed)
      if (result === 'taken') {
        unsentTallies = new Map()
        lastReportAt = now
        return
      }
      count(result)
    }
    unsentTallies = tallies
    count('noHome')
  }

  /** The homes to exchange sums with: one of each other domain, and one of this domain that is preferred to this instance. */
  function partners (): readonly Peer[] {
    const domains = new Set(options.peers().map((peer) => peer.failureDomain))
    return [...domains].flatMap((domain) => {
      const [first] = homesOf(domain)
      return first === undefined || first.instanceId === instanceId ? [] : [first]
    })
  }

  async function exchangeWith (home: Peer, message: LoadMessage): Promise<void> {
    const reply = await send(home, message)
    count(reply === undefined ? 'notExchanged' : 'exchanged')
    const parsed = parseSums(reply, steadyNow())
    if (parsed === undefined) return
    noteUnreadable(parsed.unreadable)
    board.learn(parsed.sums, failureDomain, steadyNow())
  }

  async function exchange (): Promise<void> {
    const now = steadyNow()
    if (!board.hasReporters(now)) return
    const message = encodeSums(instanceId, failureDomain, board.ownSums(now), now)
    await Promise.all(partners().map(async (home) => await exchangeWith(home, message)))
  }

  /** Ends of avoidance that have passed are forgotten, as each process has an ID of its own. */
  function forgetAvoidance (now: number): void {
    for (const [incarnation, until] of avoidedUntil) if (until <= now) avoidedUntil.delete(incarnation)
  }

  function startReport (): void {
    const now = steadyNow()
    forgetAvoidance(now)
    noteAge(now)
    if (isReporting) return
    isReporting = true
    report()
      .catch((error: unknown) => log.warning('loadReportFailed', { reason: String(error) }))
      .finally(() => {
        isReporting = false
        noteAge(steadyNow())
      })
  }

  function startExchange (): void {
    if (isExchanging) return
    isExchanging = true
    exchange()
      .catch((error: unknown) => log.warning('loadExchangeFailed', { reason: String(error) }))
      .finally(() => { isExchanging = false })
  }

  let reportTimer: NodeJS.Timeout | undefined
  const firstTimer = setTimeout(() => {
    startReport()
    reportTimer = setInterval(startReport, REPORT_INTERVAL_MS)
  }, options.phase * REPORT_INTERVAL_MS)
  let exchangeTimer: NodeJS.Timeout | undefined
  let hasStopped = false

  /** Only homes exchange sums: a timer at each instance would wake all of them. */
  function scheduleExchange (): void {
    if (hasStopped) return
    exchangeTimer ??= setTimeout(() => {
      exchangeTimer = undefined
      startExchange()
      if (board.hasReporters(steadyNow())) scheduleExchange()
    }, EXCHANGE_INTERVAL_MS)
  }

  return {
    othersAt: view.othersAt,
    service: view.service,
    receive: (message) => {
      const reply = handle(message)
      return reply === undefined || reply === 'otherIncarnation' ? reply : Promise.resolve(reply)
    },
    get reporters () { return view.reporters },
    updateGauges: () => {
      options.gauge('load_figures_age_milliseconds', view.asOf === undefined ? -1 : Math.round(steadyNow() - view.asOf))
      options.gauge('load_reporting_instances', view.reporters)
      for (const [service, { requests }] of view.requestsByService) options.gauge('load_other_requests', requests, { service })
    },
    stop: () => {
      hasStopped = true
      clearTimeout(firstTimer)
      clearInterval(reportTimer)
      clearTimeout(exchangeTimer)
    }
  }
}
