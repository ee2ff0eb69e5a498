import type { BackendServerEntry } from '../fleetConfiguration.js'

/**
 * Tells which software versions of a service's backend servers a stream may have begun at.
 *
 * Pattern: all backend servers of a service have one version for days, then two or three for the minutes of a release, while
 * crashed ones come back at the version that they had.
 */

/** Callers don't take a stream up again later than this after it began. */
export const STREAM_LIFETIME_MS = 60_000
/** A process can be listed this long after its first responses, which are attributed to the process that was listed before. */
const LISTING_DELAY_MS = 2000
/** Changes that are remembered; the oldest are forgotten first. */
const MAX_VERSION_CHANGES = 1000

/** The part of an entry that the history needs. */
export type VersionedEntry = Pick<BackendServerEntry, 'id' | 'service' | 'version'>

/** Software versions of the listed backend servers, now and lately. Times by `steadyNow`. */
export interface VersionHistory {
  add (entry: VersionedEntry): void
  /** The process or the version of a listed backend server has changed. */
  replace (previous: VersionedEntry, entry: VersionedEntry, now: number): void
  remove (entry: VersionedEntry, now: number): void
  /** Takes over that streams of a service may have begun at several versions until then. */
  learnMixed (service: string, until: number): void
  /** When streams that are taken up will all have begun at the version that is listed now; in the past while they have. */
  mixedUntil (service: string, now: number): number
  /** The version at which any stream of the service has begun; undefined when there may be several, or none is listed. */
  onlyVersion (service: string, now: number): string | undefined
  /** True when an answer that began then may be that of a process at another version, listed only later. */
  isDoubtful (backendId: string, answeredAt: number): boolean
}

interface ServiceVersions {
  /** Number of listed backend servers of each version. */
  readonly listed: Map<string, number>
  /** When the last backend server of a version was removed. */
  readonly removedAt: Map<string, number>
  learnedUntil: number
}

/** Creates a history of an empty list. */
export function createVersionHistory (): VersionHistory {
  const services = new Map<string, ServiceVersions>()
  const versionChangedAt = new Map<string, number>()

  function versionsOf (service: string): ServiceVersions {
    const known = services.get(service)
    if (known !== undefined) return known
    const versions = { listed: new Map<string, number>(), removedAt: new Map<string, number>(), learnedUntil: -Infinity }
    services.set(service, versions)
    return versions
  }

  function add ({ service, version }: VersionedEntry): void {
    const { listed, removedAt } = versionsOf(service)
    listed.set(version, (listed.get(version) ?? 0) + 1)
    removedAt.delete(version)
  }

  function remove ({ service, version }: VersionedEntry, now: number): void {
    const { listed, removedAt } = versionsOf(service)
    const count = (listed.get(version) ?? 0) - 1
    if (count > 0) {
      listed.set(version, count)
      return
    }
    listed.delete(version)
    removedAt.set(version, now)
  }

  function noteVersionChange (backendId: string, now: number): void {
    versionChangedAt.delete(backendId)
    versionChangedAt.set(backendId, now)
    const oldest = versionChangedAt.keys().next().value
    if (versionChangedAt.size > MAX_VERSION_CHANGES && oldest !== undefined) versionChangedAt.delete(oldest)
  }

  function mixedUntil (service: string, now: number): number {
    const { listed, removedAt, learnedUntil } = versionsOf(service)
    if (listed.size > 1) return now + STREAM_LIFETIME_MS
    let until = learnedUntil
    for (const [version, at] of removedAt) {
      const forgetAt = at + STREAM_LIFETIME_MS
      if (forgetAt <= now) removedAt.delete(version)
      else until = Math.max(until, forgetAt)
    }
    return until
  }

  return {
    add,
    replace: (previous, entry, now) => {
      if (previous.service === entry.service && previous.version === entry.version) return
      remove(previous, now)
      add(entry)
      noteVersionChange(entry.id, now)
    },
    remove,
    learnMixed: (service, until) => {
      const versions = versionsOf(service)
      versions.learnedUntil = Math.max(versions.learnedUntil, until)
    },
    mixedUntil,
    onlyVersion: (service, now) => {
      if (mixedUntil(service, now) > now) return undefined
      return versionsOf(service).listed.keys().next().value
    },
    isDoubtful: (backendId, answeredAt) => {
      const changedAt = versionChangedAt.get(backendId)
      return changedAt !== undefined && answeredAt <= changedAt && answeredAt > changedAt - LISTING_DELAY_MS
    }
  }
}
