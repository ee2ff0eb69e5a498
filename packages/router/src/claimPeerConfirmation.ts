import { claimKey } from '@quinceshunt/requests'
import type { ClaimOutcome, ClaimService } from './services.js'
import type { PeerDirectory } from './taskContracts.js'

/** All instances are on one network, so a slower peer counts as unavailable. */
const PEER_RESPONSE_TIMEOUT_MS = 500
const RUN_UNKNOWN_MESSAGE = 'the table service is down, and another instance that was lost or does not respond may have sent this request earlier; send it again with the same key'

/**
 * Reports a request that could not be claimed as not run only if that is certain. While the table is down, it can't show
 * whether another instance sent an earlier attempt. All other instances must therefore deny it, and none may have been lost
 * within the last hour.
 */
export function withPeerConfirmation (claims: ClaimService, peers: PeerDirectory): ClaimService {
  return {
    ...claims,
    claim: async (request): Promise<ClaimOutcome> => {
      const outcome = await claims.claim(request)
      if (outcome.kind !== 'refused' || outcome.run !== 'no') return outcome
      if (await allPeersDeny(peers, claimKey(request.clientAccount, request.idempotencyKey))) return outcome
      return { ...outcome, run: 'unknown', message: RUN_UNKNOWN_MESSAGE }
    }
  }
}

async function allPeersDeny (peers: PeerDirectory, key: string): Promise<boolean> {
  const addresses = peers.otherAddresses()
  // Without peers, nothing tells what an earlier process of this instance sent.
  if (addresses.length === 0 || peers.hasLostPeers()) return false
  const answers = await Promise.all(addresses.map(async (address) => {
    try {
      const answer = await peers.client(address).askClaim({ claimKey: key }, { timeoutMs: PEER_RESPONSE_TIMEOUT_MS })
      return !answer.maybeSent && !answer.lostPeers
    } catch {
      return false
    }
  }))
  return answers.every(Boolean)
}
