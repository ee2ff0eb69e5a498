import { claimKey } from '@quinceshunt/requests'
import type { ClaimOutcome, ClaimService } from './services.js'
import type { PeerDirectory } from './taskContracts.js'

/** Instances are on one network; one that needs longer is as good as silent. */
const WITNESS_MILLISECONDS = 500
const UNCERTAIN_MESSAGE = 'the table service is down, and another instance that is gone or silent may have sent this request earlier; send it again with the same key'

/**
 * Says "not run" of a request that could not be claimed only when that is certain. The table would show whether an earlier
 * attempt was sent through another instance; while it is down, every other instance must deny it, and none may have been
 * lost within the last hour.
 */
export function withWitnesses (claims: ClaimService, peers: PeerDirectory): ClaimService {
  return {
    ...claims,
    claim: async (request): Promise<ClaimOutcome> => {
      const outcome = await claims.claim(request)
      if (outcome.kind !== 'refused' || outcome.run !== 'no') return outcome
      if (await allDeny(peers, claimKey(request.clientAccount, request.idempotencyKey))) return outcome
      return { ...outcome, run: 'unknown', message: UNCERTAIN_MESSAGE }
    }
  }
}

async function allDeny (peers: PeerDirectory, key: string): Promise<boolean> {
  const addresses = peers.witnesses()
  // An instance alone can't know what its own earlier process sent.
  if (addresses.length === 0 || peers.hasLostPeers()) return false
  const answers = await Promise.all(addresses.map(async (address) => {
    try {
      const answer = await peers.client(address).askClaim({ claimKey: key }, { timeoutMs: WITNESS_MILLISECONDS })
      return !answer.maybeSent && !answer.lostPeers
    } catch {
      return false
    }
  }))
  return answers.every(Boolean)
}
