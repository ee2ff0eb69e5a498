import { describe, expect, test } from '@jest/globals'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import type { Peer } from '../tasks/fleetTask.js'
import { createTokenLoans, type Post, type TokenLoans } from '../tasks/tokenLoans.js'

const TOKENS = 500
const REQUESTS_PER_SECOND = 100
const SILENT_MS = 6000
/** Fewer than an instance with a tenth of these requests would send. */
const MAX_MESSAGES_PER_SECOND = 25
/** The longest timeout, a pause, and the messages that then go out. */
const RESOLVED_WITHIN_MS = 4000

interface SilentFleet {
  readonly loans: TokenLoans
  readonly homes: readonly Peer[]
  /** Messages to each home. */
  readonly sent: Map<string, number>
  /** The most messages that a home had at once. */
  readonly mostInProgress: () => number
  isSilent: boolean
}

const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

/** Three homes that lend at once, or do not reply. */
function createSilentFleet (): SilentFleet {
  const homes: Peer[] = ['a', 'b', 'c'].map((id) => ({ instanceId: id, incarnationId: `${id}.1`, address: id, failureDomain: 'north' }))
  const sent = new Map<string, number>()
  const inProgress = new Map<string, number>()
  let mostInProgress = 0
  const post: Post = async (address, _path, _message, timeoutMilliseconds) => {
    sent.set(address, (sent.get(address) ?? 0) + 1)
    inProgress.set(address, (inProgress.get(address) ?? 0) + 1)
    mostInProgress = Math.max(mostInProgress, inProgress.get(address) ?? 0)
    const { isSilent } = fleet
    await pause(isSilent ? timeoutMilliseconds : 5)
    inProgress.set(address, (inProgress.get(address) ?? 0) - 1)
    return isSilent ? { kind: 'failed', mayHaveArrived: true, reason: 'no response in time' } : { kind: 'answered', reply: { tokens: TOKENS, isShort: false } }
  }
  const loans = createTokenLoans({ incarnationId: 'edge.1', homes: () => homes, currentIncarnation: (instanceId) => `${instanceId}.1`, log: createRecordingLog(), onLateTokens: () => {}, onUse: () => {}, post })
  const fleet: SilentFleet = { loans, homes, sent, mostInProgress: () => mostInProgress, isSilent: true }
  return fleet
}

async function borrowFor (fleet: SilentFleet, milliseconds: number): Promise<void> {
  const until = Date.now() + milliseconds
  while (Date.now() < until) {
    fleet.loans.borrow('school', TOKENS, 'whole', { process: 'edge.1', own: 0, total: 0 }).catch(() => {})
    await pause(1000 / REQUESTS_PER_SECOND)
  }
}

describe('loans from homes that do not reply', () => {
  // Issue 57, the same class: each loan in doubt was repeated by itself, so that the messages grew with the requests and with the time of a cut.
  test('are asked for with a few messages a second, and all are resolved soon after the homes are back', async () => {
    const fleet = createSilentFleet()
    await borrowFor(fleet, SILENT_MS)
    for (const { address } of fleet.homes) expect((fleet.sent.get(address) ?? 0) / (SILENT_MS / 1000)).toBeLessThan(MAX_MESSAGES_PER_SECOND)
    expect(fleet.loans.tokensInTransit).toBeGreaterThan(0)
    fleet.isSilent = false
    await pause(RESOLVED_WITHIN_MS)
    expect(fleet.loans.tokensInTransit).toBe(0)
  }, 30_000)
})
