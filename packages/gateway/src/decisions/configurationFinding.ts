import { assertNever } from '@quinceshunt/effects'
import type { DeliverySemantics, RouteTarget } from '../fleetConfiguration.js'

/** An error makes the gateway refuse the configuration or callers lose service; a note needs no action. */
export type FindingSeverity = 'error' | 'warning' | 'note'

/** Property names and list positions that lead to a value of a `FleetConfiguration`. */
export type ConfigurationPath = readonly (string | number)[]

/** A fault or a difference, with the data that its message needs. */
export type FindingDetail =
  // Entries that can never match.
  | { readonly kind: 'duplicateRoute', readonly first: string }
  | { readonly kind: 'unmatchableHost', readonly host: string }
  | { readonly kind: 'unmatchablePrefix', readonly prefix: string }
  | { readonly kind: 'openPrefix', readonly prefix: string }
  | { readonly kind: 'noTarget', readonly route: string }
  | { readonly kind: 'zeroWeight', readonly service: string, readonly isFallback: boolean }
  | { readonly kind: 'unknownService', readonly service: string }
  | { readonly kind: 'duplicateService', readonly service: string }
  | { readonly kind: 'unusedService', readonly service: string }
  | { readonly kind: 'duplicateAccount', readonly account: string }
  | { readonly kind: 'accountWithoutKey', readonly account: string }
  | { readonly kind: 'unusableKey', readonly account: string }
  | { readonly kind: 'sharedKey', readonly account: string, readonly otherAccount: string }
  // Contradictory limits.
  | { readonly kind: 'versionOutOfRange', readonly version: number }
  | { readonly kind: 'timeOutOfRange', readonly milliseconds: number }
  | { readonly kind: 'targetOutOfRange', readonly milliseconds: number }
  | { readonly kind: 'targetAboveTimeout', readonly target: number, readonly timeout: number }
  | { readonly kind: 'eventGapAboveTarget', readonly eventGap: number, readonly target: number }
  | { readonly kind: 'eventGapWithoutStream', readonly eventGap: number }
  | { readonly kind: 'repeatedAttempts', readonly attempts: number }
  | { readonly kind: 'headerTimeAboveIdleTime', readonly headerTime: number, readonly idleTime: number }
  | { readonly kind: 'priorityOutOfRange', readonly priority: number }
  | { readonly kind: 'bodyLimitTooSmall', readonly bytes: number, readonly route: string }
  | { readonly kind: 'prepaidTooSmall', readonly account: string, readonly tokens: number }
  | { readonly kind: 'engineMemoryBelowSlots', readonly memoryTokens: number, readonly slots: number }
  // Differences from the version in force.
  | { readonly kind: 'routeRemoved', readonly route: string, readonly nextRoute: string | undefined }
  | { readonly kind: 'keyRemoved', readonly account: string }
  | { readonly kind: 'keyRequired', readonly route: string, readonly previousRoute: string }
  | { readonly kind: 'serviceMoved', readonly route: string, readonly before: readonly RouteTarget[], readonly after: readonly RouteTarget[] }
  | { readonly kind: 'deliveryChanged', readonly route: string, readonly before: DeliverySemantics, readonly after: DeliverySemantics }
  | { readonly kind: 'keyMoved', readonly before: string, readonly after: string }
  | { readonly kind: 'timeShortened', readonly before: number, readonly after: number }
  | { readonly kind: 'prepaidLowered', readonly account: string, readonly before: number | undefined, readonly after: number }
  | { readonly kind: 'bodyLimitLowered', readonly before: number, readonly after: number }
  | { readonly kind: 'versionNotIncreased', readonly before: number, readonly after: number }
  | { readonly kind: 'routeAdded', readonly route: string, readonly previousRoute: string | undefined }
  | { readonly kind: 'serviceAdded', readonly service: string }
  | { readonly kind: 'accountAdded', readonly account: string }
  | { readonly kind: 'keyAdded', readonly account: string }

export interface FindingPlace {
  /** Document that `path` and `related` refer to: the one checked, or the one in force for entries that were removed. */
  readonly document: 'checked' | 'inForce'
  readonly path: ConfigurationPath
  /** Another value that the finding is about. */
  readonly related: ConfigurationPath | undefined
}

export type ConfigurationFinding = FindingDetail & FindingPlace & {
  readonly severity: FindingSeverity
  readonly message: string
}

const SEVERITIES: Readonly<Record<FindingDetail['kind'], FindingSeverity>> = {
  duplicateRoute: 'error',
  unmatchableHost: 'error',
  unmatchablePrefix: 'error',
  openPrefix: 'warning',
  noTarget: 'error',
  zeroWeight: 'warning',
  unknownService: 'error',
  duplicateService: 'error',
  unusedService: 'warning',
  duplicateAccount: 'error',
  accountWithoutKey: 'warning',
  unusableKey: 'error',
  sharedKey: 'error',
  versionOutOfRange: 'error',
  timeOutOfRange: 'error',
  targetOutOfRange: 'warning',
  targetAboveTimeout: 'warning',
  eventGapAboveTarget: 'warning',
  eventGapWithoutStream: 'warning',
  repeatedAttempts: 'warning',
  headerTimeAboveIdleTime: 'warning',
  priorityOutOfRange: 'warning',
  bodyLimitTooSmall: 'error',
  prepaidTooSmall: 'error',
  engineMemoryBelowSlots: 'warning',
  routeRemoved: 'error',
  keyRemoved: 'error',
  keyRequired: 'error',
  serviceMoved: 'warning',
  deliveryChanged: 'warning',
  keyMoved: 'warning',
  timeShortened: 'warning',
  prepaidLowered: 'warning',
  bodyLimitLowered: 'warning',
  versionNotIncreased: 'error',
  routeAdded: 'note',
  serviceAdded: 'note',
  accountAdded: 'note',
  keyAdded: 'note'
}

/** Completes a finding with its severity and message. */
export function createFinding (detail: FindingDetail, path: ConfigurationPath, place: Partial<Omit<FindingPlace, 'path'>> = {}): ConfigurationFinding {
  return { ...detail, severity: SEVERITIES[detail.kind], document: place.document ?? 'checked', path, related: place.related, message: describe(detail) }
}

const DELIVERY_NAMES: Readonly<Record<DeliverySemantics['kind'], string>> = {
  idempotent: 'idempotent',
  once: 'running only once',
  resumableStream: 'a resumable stream',
  onceStream: 'a stream that runs only once'
}

/** Lowest urgency; the gateway treats higher numbers like it. */
export const MAX_PRIORITY = 9
/** Longest timer of Node.js; a longer one fires at once. */
export const MAX_TIMER_MS = 2_147_483_647

/** Escapes control characters, so that a name in a document can't change the terminal's state. */
const quote = (text: string): string => JSON.stringify(text)

const formatTargets = (targets: readonly RouteTarget[]): string => targets.length === 0 ? 'none' : targets.map(({ service, weight }) => `${quote(service)} (weight ${weight})`).join(', ')

/** Messages never contain API keys, as output of the check ends up in tickets and build logs. */
function describe (detail: FindingDetail): string {
  switch (detail.kind) {
    case 'duplicateRoute': return `no request reaches this route: route ${quote(detail.first)} before it has the same host and prefix; remove one of them`
    case 'unmatchableHost': return `no request has the host ${quote(detail.host)}; use a host name in ASCII without port, slash or space`
    case 'unmatchablePrefix': return `no path begins with ${quote(detail.prefix)}; use a prefix that begins and ends with a slash, without "#", space or characters that need percent-encoding`
    case 'openPrefix': return `${quote(detail.prefix)} also matches longer names, for example ${quote(`${detail.prefix}x`)}; end it with a slash`
    case 'noTarget': return `route ${quote(detail.route)} has no service; name one`
    case 'zeroWeight': return detail.isFallback
      ? `all weights of the route are 0, so service ${quote(detail.service)} gets all its requests; use a weight above 0`
      : `service ${quote(detail.service)} gets no requests of this route with weight 0; use a weight above 0 or remove it`
    case 'unknownService': return `service ${quote(detail.service)} does not exist; add it or name another`
    case 'duplicateService': return `service ${quote(detail.service)} is already defined; remove one of the definitions`
    case 'unusedService': return `no route leads to service ${quote(detail.service)}; add a route or remove the service`
    case 'duplicateAccount': return `client account ${quote(detail.account)} is already defined; remove one of the definitions`
    case 'accountWithoutKey': return `client account ${quote(detail.account)} has no key; add one or remove the account`
    case 'unusableKey': return `no caller can send this key of client account ${quote(detail.account)}: it is empty or contains a space or a character that headers can't carry; replace it`
    case 'sharedKey': return `client account ${quote(detail.account)} has a key that client account ${quote(detail.otherAccount)} holds too; give each its own`
    case 'versionOutOfRange': return `version ${detail.version} can't be increased reliably; use a whole number up to ${Number.MAX_SAFE_INTEGER - 1}`
    case 'timeOutOfRange': return `${detail.milliseconds} ms is not usable; use a time above 0 and up to ${MAX_TIMER_MS} ms`
    case 'targetOutOfRange': return `${detail.milliseconds} ms is not usable as a target; use a time above 0 and up to ${MAX_TIMER_MS} ms`
    case 'targetAboveTimeout': return `the latency target of ${detail.target} ms is above the timeout of ${detail.timeout} ms; lower the target or raise the timeout`
    case 'eventGapAboveTarget': return `the event gap of ${detail.eventGap} ms is above the latency target of ${detail.target} ms; lower the event gap`
    case 'eventGapWithoutStream': return `an event gap of ${detail.eventGap} ms has no effect on a route that is not a stream; remove it`
    case 'repeatedAttempts': return `${detail.attempts} attempts are allowed for requests that may run only once, which are sent again only after a response that says "not run"; use 1`
    case 'headerTimeAboveIdleTime': return `the header time of ${detail.headerTime} ms is above the idle time of ${detail.idleTime} ms; lower it`
    case 'priorityOutOfRange': return `priority ${detail.priority} is not supported; use a whole number from 0 to ${MAX_PRIORITY}`
    case 'bodyLimitTooSmall': return `a body limit of ${detail.bytes} bytes refuses all bodies, and route ${quote(detail.route)} takes bodies; use a limit above 0`
    case 'prepaidTooSmall': return `${detail.tokens} prepaid tokens do not cover one request of one token of client account ${quote(detail.account)}; use at least 1`
    case 'engineMemoryBelowSlots': return `memory for ${detail.memoryTokens} tokens can't hold one token in each of ${detail.slots} slots; raise the memory or lower the slots`
    case 'routeRemoved': return `route ${quote(detail.route)} is removed; its callers ${detail.nextRoute === undefined ? 'get 404' : `reach route ${quote(detail.nextRoute)}`}`
    case 'keyRemoved': return `a key of client account ${quote(detail.account)} is removed; its callers get 401 on routes that are not public`
    case 'keyRequired': return `route ${quote(detail.route)} requires a key, and its requests needed none on route ${quote(detail.previousRoute)} in force`
    case 'serviceMoved': return `route ${quote(detail.route)} moves from ${formatTargets(detail.before)} to ${formatTargets(detail.after)}`
    case 'deliveryChanged': return `requests of route ${quote(detail.route)} change from ${DELIVERY_NAMES[detail.before.kind]} to ${DELIVERY_NAMES[detail.after.kind]}`
    case 'keyMoved': return `a key moves from client account ${quote(detail.before)} to ${quote(detail.after)}, which is charged from then on`
    case 'timeShortened': return `shortened from ${detail.before} to ${detail.after} ms`
    case 'prepaidLowered': return `prepaid tokens of client account ${quote(detail.account)} are lowered from ${detail.before ?? 'unlimited'} to ${detail.after}`
    case 'bodyLimitLowered': return `the body limit is lowered from ${detail.before} to ${detail.after} bytes`
    case 'versionNotIncreased': return `version ${detail.after} is not above version ${detail.before} in force, so instances ignore the document; use ${detail.before + 1} or more`
    case 'routeAdded': return `route ${quote(detail.route)} is added${detail.previousRoute === undefined ? '' : ` and takes requests of route ${quote(detail.previousRoute)}`}`
    case 'serviceAdded': return `service ${quote(detail.service)} is added`
    case 'accountAdded': return `client account ${quote(detail.account)} is added`
    case 'keyAdded': return `a key of client account ${quote(detail.account)} is added`
    default: return assertNever(detail)
  }
}
