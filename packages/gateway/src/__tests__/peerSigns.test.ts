import { describe, expect, test } from '@jest/globals'
import { createPeerSigns, judgePeer, recordAsked, recordReply, recordSign, type PeerSigns, type PeerVerdict } from '../decisions/peerSigns.js'

const CHECK_INTERVAL_MS = 100

/** Checks a peer from a request's start until `end`; `answers` says whether the peer replies to a question that is asked at a time. */
function watch (signs: PeerSigns, waitingSince: number, end: number, answers: (askedAt: number) => 'answered' | 'replaced' | 'none'): readonly { readonly at: number, readonly verdict: PeerVerdict }[] {
  const verdicts: { readonly at: number, readonly verdict: PeerVerdict }[] = []
  let replyAt = Infinity
  let reply: 'answered' | 'replaced' | 'none' = 'none'
  for (let now = waitingSince; now <= end; now += CHECK_INTERVAL_MS) {
    if (now >= replyAt) {
      recordReply(signs, reply, now)
      replyAt = Infinity
    }
    const verdict = judgePeer(signs, waitingSince, now)
    verdicts.push({ at: now, verdict })
    if (verdict !== 'ask') continue
    recordAsked(signs, now)
    reply = answers(now)
    replyAt = now + (reply === 'none' ? 500 : 100)
  }
  return verdicts
}

const firstAt = (verdicts: ReturnType<typeof watch>, wanted: PeerVerdict): number | undefined => verdicts.find(({ verdict }) => verdict === wanted)?.at

describe('a peer from which a request waits for an answer', () => {
  // Guards against a sound peer that is given up because its backend server works for long.
  test('is waited for while it replies, and asked at most twice a second', () => {
    const verdicts = watch(createPeerSigns(), 0, 20_000, () => 'answered')
    expect(verdicts.filter(({ verdict }) => verdict === 'silent')).toEqual([])
    expect(verdicts.filter(({ verdict }) => verdict === 'ask').length).toBeLessThanOrEqual(40)
  })

  // Guards against requests that wait for a dead peer until their time limit.
  test('is given up after two and a half seconds without any sign', () => {
    expect(firstAt(watch(createPeerSigns(), 0, 5000, () => 'none'), 'silent')).toBeLessThanOrEqual(2600)
  })

  // Guards against one lost message, or a pause of the asking process, that counts as the end of a peer.
  test('is not given up for single questions without a reply', () => {
    const verdicts = watch(createPeerSigns(), 0, 20_000, (at) => Math.floor(at / 500) % 3 === 0 ? 'answered' : 'none')
    expect(firstAt(verdicts, 'silent')).toBeUndefined()
  })

  test('is given up at once when another process replies in its place', () => {
    expect(firstAt(watch(createPeerSigns(), 0, 5000, () => 'replaced'), 'replaced')).toBeLessThanOrEqual(1200)
  })

  test('is judged anew by a later request', () => {
    const signs = createPeerSigns()
    watch(signs, 0, 5000, () => 'none')
    expect(firstAt(watch(signs, 30_000, 32_000, () => 'answered'), 'silent')).toBeUndefined()
    recordSign(signs, 40_000)
    expect(judgePeer(signs, 39_000, 40_100)).toBe('wait')
  })
})
