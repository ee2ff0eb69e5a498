import { createHash } from 'node:crypto'

/** Backend servers of one target that an instance uses by default; above the current 6 replicas. */
export const DEFAULT_SUBSET_SIZE = 8

/**
 * Chooses the backend servers of a target that an instance uses, by rendezvous hashing: each pair of instance and backend
 * server has a fixed weight, and the highest are chosen. A change of either list affects only the pairs concerned.
 */
export function chooseSubset (instanceId: string, backendServers: readonly string[], size: number): ReadonlySet<string> {
  if (backendServers.length <= size) return new Set(backendServers)
  const weighted = backendServers.map((id) => ({ id, weight: pairWeight(instanceId, id) }))
  weighted.sort((left, right) => left.weight < right.weight ? 1 : -1)
  return new Set(weighted.slice(0, size).map((entry) => entry.id))
}

/** Expected number of instances that use the same backend server, including this one. */
export function sharingInstances (instances: number, backendServers: number, size: number): number {
  if (backendServers <= size) return Math.max(1, instances)
  return Math.max(1, Math.ceil(instances * size / backendServers))
}

function pairWeight (instanceId: string, backendServer: string): string {
  return createHash('sha256').update(instanceId).update('\0').update(backendServer).digest('hex')
}
