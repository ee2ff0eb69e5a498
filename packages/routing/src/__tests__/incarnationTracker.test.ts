import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { PeerIdentitySchema, type PeerIdentity } from '@quinceshunt/schemas'
import { INCARNATION_RETENTION_MS, IncarnationTracker } from '../incarnationTracker.js'

const SILENCE_TIMEOUT_MS = 20_000

function identity (instanceId: string, processNumber: number, leaving = false): PeerIdentity {
  return create(PeerIdentitySchema, { instanceId, incarnation: `${instanceId}.${processNumber}`, leaving })
}

describe('IncarnationTracker', () => {
  // Guards against overlooking that a crashed process may have sent a request.
  test('reports a process that became silent or was replaced without leaving, for an hour', () => {
    const silent = new IncarnationTracker(SILENCE_TIMEOUT_MS)
    silent.recordContact(identity('one', 1), 0)
    expect(silent.hasUnplannedLoss(SILENCE_TIMEOUT_MS - 1)).toBe(false)
    expect(silent.hasUnplannedLoss(SILENCE_TIMEOUT_MS)).toBe(true)
    const replaced = new IncarnationTracker(SILENCE_TIMEOUT_MS)
    replaced.recordContact(identity('one', 1), 0)
    replaced.recordContact(identity('one', 2), 100)
    expect(replaced.hasUnplannedLoss(200)).toBe(true)
    for (let now = 200; now <= INCARNATION_RETENTION_MS; now += 1000) replaced.recordContact(identity('one', 2), now)
    expect(replaced.hasUnplannedLoss(INCARNATION_RETENTION_MS)).toBe(false)
  })

  test('does not count a planned stop as a loss, even after a delayed message', () => {
    const tracker = new IncarnationTracker(SILENCE_TIMEOUT_MS)
    tracker.recordContact(identity('one', 1, true), 0)
    tracker.recordContact(identity('one', 2), 100)
    tracker.recordContact(identity('one', 1), 150)
    expect(tracker.hasUnplannedLoss(200)).toBe(false)
  })
})
