import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { withPeerConfirmation } from '../claimPeerConfirmation.js'
import type { ClaimOutcome, ClaimService } from '../services.js'
import type { PeerDirectory } from '../taskContracts.js'

const reportedAsNotRun: ClaimOutcome = { kind: 'refused', code: 'store_unavailable', message: 'down', run: 'no', retryAt: 0 }

interface SimulatedPeer { readonly answers: boolean, readonly maybeSent: boolean, readonly lostPeers: boolean }

const arbitraryPeer: fc.Arbitrary<SimulatedPeer> = fc.record({ answers: fc.boolean(), maybeSent: fc.boolean(), lostPeers: fc.boolean() })

/** Directory of simulated peers; the address of a peer is its index. */
function directoryOf (simulatedPeers: readonly SimulatedPeer[], lost: boolean): PeerDirectory {
  return {
    otherAddresses: () => simulatedPeers.map((_, index) => String(index)),
    hasLostPeers: () => lost,
    client: (address: string) => ({
      askClaim: async () => {
        const peer = simulatedPeers[Number(address)]!
        if (!peer.answers) throw new Error('no answer')
        return peer
      }
    })
  } as unknown as PeerDirectory
}

async function claim (outcome: ClaimOutcome, peers: PeerDirectory): Promise<ClaimOutcome> {
  const claims = { claim: async () => outcome } as unknown as ClaimService
  return await withPeerConfirmation(claims, peers).claim({ clientAccount: 'school', idempotencyKey: 'k', bodyHash: '', requestId: 'r', deadline: 0 })
}

describe('withPeerConfirmation', () => {
  // Guards against "not run" for a request that a lost or unavailable instance may have sent.
  test('reports "no" only if every other instance denies having sent the request and none was lost', async () => {
    await fc.assert(fc.asyncProperty(fc.array(arbitraryPeer, { maxLength: 3 }), fc.boolean(), async (simulatedPeers, lost) => {
      const outcome = await claim(reportedAsNotRun, directoryOf(simulatedPeers, lost))
      const certain = !lost && simulatedPeers.length > 0 && simulatedPeers.every(({ answers, maybeSent, lostPeers }) => answers && !maybeSent && !lostPeers)
      expect(outcome).toMatchObject({ kind: 'refused', run: certain ? 'no' : 'unknown' })
    }))
  })

  test('returns other outcomes unchanged', async () => {
    const outcome: ClaimOutcome = { kind: 'keyReused' }
    expect(await claim(outcome, directoryOf([], true))).toEqual(outcome)
  })
})
