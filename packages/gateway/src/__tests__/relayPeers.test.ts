import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { choosePeer, type PeerState } from '../decisions/peerChoice.js'
import { decodeRelayEnvelope, encodeRelayEnvelope } from '../decisions/relayEnvelope.js'
import type { Peer } from '../tasks/fleetTask.js'
import { createRelayPeers, type RelayPeers, type RelayResult } from '../tasks/relayPeers.js'

beforeEach(() => { jest.useFakeTimers() })
afterEach(() => { jest.useRealTimers() })

function peerState (instanceId: string, changes: Partial<PeerState> = {}): PeerState {
  return { instanceId, failureDomain: 'north', inProgress: 0, declinedUntil: 0, servedAt: 0, isNamed: false, ...changes }
}

function choose (...peers: readonly PeerState[]): string | undefined {
  return choosePeer(peers, 'north', 10_000, 0)?.instanceId
}

describe('the peer that serves a request', () => {
  test('is one that served another lately, also in another failure domain', () => {
    expect(choose(peerState('unknown'), peerState('good', { servedAt: 9900, failureDomain: 'south' }))).toBe('good')
    expect(choose(peerState('unknown'), peerState('named', { isNamed: true }))).toBe('named')
    expect(choose(peerState('unknown'), peerState('old', { servedAt: 5000, failureDomain: 'south' }))).toBe('unknown')
  })

  // Guards against a single peer that gets all requests of an instance that is cut off, while others could share them.
  test('is another one once the good one has more to do', () => {
    expect(choose(peerState('unknown'), peerState('good', { servedAt: 9900, inProgress: 2 }))).toBe('unknown')
    expect(choose(peerState('a', { inProgress: 3 }), peerState('b', { inProgress: 2 }), peerState('c', { inProgress: 2, failureDomain: 'south' }))).toBe('b')
  })

  test('is none that declined a moment ago', () => {
    expect(choose(peerState('a', { declinedUntil: 10_001 }), peerState('b', { declinedUntil: 10_000 }))).toBe('b')
    expect(choose(peerState('a', { declinedUntil: 10_001 }))).toBeUndefined()
    expect(choose()).toBeUndefined()
  })
})

describe('the record of peers', () => {
  let peers: Peer[]
  let relayPeers: RelayPeers

  beforeEach(() => {
    peers = Array.from({ length: 20 }, (_, index) => ({ instanceId: `edge-${index}`, address: `edge-${index}:80`, failureDomain: 'north', incarnationId: `edge-${index}.0` }))
    relayPeers = createRelayPeers({ peers: () => peers, failureDomain: 'north' })
  })

  function relay (service: string, answer: (peer: Peer) => RelayResult): Peer | undefined {
    const peer = relayPeers.choose(service, [])
    if (peer === undefined) return undefined
    const relayed = relayPeers.begin(peer, service)
    relayed.learn(answer(peer))
    relayed.end()
    return peer
  }

  // Guards against requests that go from peer to peer while one that takes them is known.
  test('finds the only peer that takes requests from the first one that names it', () => {
    const answer = ({ instanceId }: Peer): RelayResult => instanceId === 'edge-7' ? { kind: 'served' } : { kind: 'declined', elsewhere: 'edge-7' }
    const asked = Array.from({ length: 10 }, () => relay('model', answer)?.instanceId)
    expect(asked.slice(1).every((instanceId) => instanceId === 'edge-7')).toBe(true)
    expect(relayPeers.knownGood('model')).toBe('edge-7')
  })

  test('asks no peer again for half a second when all have declined, and then does', () => {
    peers.forEach(() => relay('model', () => ({ kind: 'declined', elsewhere: '' })))
    expect(relayPeers.hasChoice('model', [])).toBe(false)
    expect(relayPeers.choose('ledger', [])).toBeDefined()
    const retryAt = relayPeers.retryAt('model')
    jest.advanceTimersByTime(501)
    expect(relayPeers.hasChoice('model', [])).toBe(true)
    expect(retryAt).toBeLessThanOrEqual(Date.now())
  })

  test('knows nothing of the next process of a peer, and excludes peers by instance', () => {
    peers = peers.slice(0, 1)
    relay('model', () => ({ kind: 'unanswered' }))
    expect(relayPeers.choose('model', [])).toBeUndefined()
    peers = peers.map((peer) => ({ ...peer, incarnationId: 'edge-0.1' }))
    expect(relayPeers.choose('model', [])?.instanceId).toBe('edge-0')
    expect(relayPeers.choose('model', ['edge-0'])).toBeUndefined()
  })
})

describe('the envelope of a relayed request', () => {
  const envelope = { from: 'edge-1', to: 'edge-2.x', configurationVersion: 7, attemptsLeft: 2, isRepeat: true, origin: { attemptId: 'a', service: 'model', backendId: 'b', version: 'v1', begunAt: 1, expiresAt: 2 } }

  test('is read as it was written', () => {
    expect(decodeRelayEnvelope(encodeRelayEnvelope(envelope))).toEqual(envelope)
  })

  test.each(['', 'no base64 {', Buffer.from('{}').toString('base64'), encodeRelayEnvelope({ ...envelope, attemptsLeft: 0 })])('%j is no envelope', (header) => {
    expect(decodeRelayEnvelope(header)).toBeUndefined()
  })
})
