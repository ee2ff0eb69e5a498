import { create } from '@bufbuild/protobuf'
import { describe, expect, test } from '@jest/globals'
import { PeerIdentitySchema, type PeerIdentity } from '@quinceshunt/schemas'
import { INCARNATION_MEMORY_MILLISECONDS, IncarnationMemory } from '../incarnationMemory.js'

const SILENT_MILLISECONDS = 20_000

function identity (instanceId: string, life: number, leaving = false): PeerIdentity {
  return create(PeerIdentitySchema, { instanceId, incarnation: `${instanceId}.${life}`, leaving })
}

describe('IncarnationMemory', () => {
  // Guards against forgetting that a crashed process may have sent a request.
  test('remembers a process that fell silent or was replaced without leaving, for an hour', () => {
    const silent = new IncarnationMemory(SILENT_MILLISECONDS)
    silent.heard(identity('one', 1), 0)
    expect(silent.hasLost(SILENT_MILLISECONDS - 1)).toBe(false)
    expect(silent.hasLost(SILENT_MILLISECONDS)).toBe(true)
    const replaced = new IncarnationMemory(SILENT_MILLISECONDS)
    replaced.heard(identity('one', 1), 0)
    replaced.heard(identity('one', 2), 100)
    expect(replaced.hasLost(200)).toBe(true)
    for (let now = 200; now <= INCARNATION_MEMORY_MILLISECONDS; now += 1000) replaced.heard(identity('one', 2), now)
    expect(replaced.hasLost(INCARNATION_MEMORY_MILLISECONDS)).toBe(false)
  })

  test('counts a planned stop as no loss, also after a late message', () => {
    const memory = new IncarnationMemory(SILENT_MILLISECONDS)
    memory.heard(identity('one', 1, true), 0)
    memory.heard(identity('one', 2), 100)
    memory.heard(identity('one', 1), 150)
    expect(memory.hasLost(200)).toBe(false)
  })
})
