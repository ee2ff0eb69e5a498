import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { withWitnesses } from '../claimPeerConfirmation.js'
import type { ClaimOutcome, ClaimService } from '../services.js'
import type { PeerDirectory } from '../taskContracts.js'

const refusedAsNotRun: ClaimOutcome = { kind: 'refused', code: 'store_unavailable', message: 'down', run: 'no', retryAt: 0 }

interface Witness { readonly answers: boolean, readonly maybeSent: boolean, readonly lostPeers: boolean }

const arbitraryWitness: fc.Arbitrary<Witness> = fc.record({ answers: fc.boolean(), maybeSent: fc.boolean(), lostPeers: fc.boolean() })

/** Peers that answer as told; the address is the index of the witness. */
function directoryOf (witnesses: readonly Witness[], lost: boolean): PeerDirectory {
  return {
    witnesses: () => witnesses.map((_, index) => String(index)),
    hasLostPeers: () => lost,
    client: (address: string) => ({
      askClaim: async () => {
        const witness = witnesses[Number(address)]!
        if (!witness.answers) throw new Error('no answer')
        return witness
      }
    })
  } as unknown as PeerDirectory
}

async function claim (outcome: ClaimOutcome, peers: PeerDirectory): Promise<ClaimOutcome> {
  const claims = { claim: async () => outcome } as unknown as ClaimService
  return await withWitnesses(claims, peers).claim({ clientAccount: 'school', idempotencyKey: 'k', bodyHash: '', requestId: 'r', deadline: 0 })
}

describe('withWitnesses', () => {
  // Guards against "not run" for a request that a lost or silent instance may have sent.
  test('says "no" only when every other instance denies it and none was lost', async () => {
    await fc.assert(fc.asyncProperty(fc.array(arbitraryWitness, { maxLength: 3 }), fc.boolean(), async (witnesses, lost) => {
      const outcome = await claim(refusedAsNotRun, directoryOf(witnesses, lost))
      const certain = !lost && witnesses.length > 0 && witnesses.every(({ answers, maybeSent, lostPeers }) => answers && !maybeSent && !lostPeers)
      expect(outcome).toMatchObject({ kind: 'refused', run: certain ? 'no' : 'unknown' })
    }))
  })

  test('leaves other outcomes as they are', async () => {
    const outcome: ClaimOutcome = { kind: 'keyReused' }
    expect(await claim(outcome, directoryOf([], true))).toEqual(outcome)
  })
})
