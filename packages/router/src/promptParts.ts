import { create } from '@bufbuild/protobuf'
import { computeReleaseDelay, createCrashingParts, type UnansweredRequest } from '@quinceshunt/requests'
import { UnansweredPromptSchema, type UnansweredPrompt } from '@quinceshunt/schemas'
import { createHash, randomUUID } from 'node:crypto'
import type { ChatBody } from './chatBody.js'
import type { PeerDirectory, PromptPartGossip, TaskContext } from './taskContracts.js'

const REPORT_TIMEOUT_MS = 500
const MAX_REPORT_ATTEMPTS = 3
/** Crashes of one backend server further apart than this are crashes of different processes. */
const SAME_CRASH_WINDOW_MS = 2000
const PART_HASH_CHARACTERS = 16
/** Gossip repeats reports for this time, for instances that were not known or not reached when they were made. */
const GOSSIP_PERIOD_MS = 60_000
const MAX_GOSSIPED_PROMPTS = 32

/** A prompt that was sent to a backend server and not answered yet. */
export interface PendingPrompt {
  readonly parts: readonly string[]
  /** Unix milliseconds. */
  readonly sentAt: number
}

/** Holds back prompts with a part that crashes backend servers. */
export interface PromptPartGuard extends PromptPartGossip {
  isHeldBack (parts: readonly string[]): boolean
  /** Records the prompts that a crash left unanswered; `crashedAt` is when their connections broke, Unix milliseconds. */
  recordCrash (backendServer: string, prompts: readonly PendingPrompt[], crashedAt: number): void
  /** Records that a backend server began to answer a prompt at `answeredAt`, Unix milliseconds, and went on. */
  recordAnswer (parts: readonly string[], answeredAt: number): void
}

/** Hashes of the messages that other requests may share: all but the last, which is the request's own. */
export function hashSharedParts (body: ChatBody): readonly string[] {
  return body.messages.slice(0, -1).map((message) => createHash('sha256').update(JSON.stringify([message.role, message.content])).digest('hex').slice(0, PART_HASH_CHARACTERS))
}

function toMessage ({ id, parts, backendProcess, sentAt, crashedAt }: UnansweredRequest): UnansweredPrompt {
  return create(UnansweredPromptSchema, { id, parts: [...parts], backendProcess, sentAt: BigInt(sentAt), crashedAt: BigInt(crashedAt) })
}

/** Creates a guard that knows of no crash. Instances compare their wall clocks; an error of seconds delays the detection. */
export function createPromptPartGuard ({ clock, logger, metrics }: Pick<TaskContext, 'clock' | 'logger' | 'metrics'>, peers: Pick<PeerDirectory, 'otherAddresses' | 'client'>): PromptPartGuard {
  const releasePosition = Math.random()
  const parts = createCrashingParts(() => computeReleaseDelay(releasePosition, peers.otherAddresses().length + 1))

  /** Reports of the gossip period, by ID. */
  const recent = new Map<string, UnansweredPrompt>()

  function tellPeers (report: { readonly unanswered?: readonly UnansweredRequest[], readonly answered?: readonly { readonly part: string, readonly answeredAt: number }[] }): void {
    const message = {
      unanswered: (report.unanswered ?? []).map(toMessage),
      answered: (report.answered ?? []).map(({ part, answeredAt }) => ({ part, answeredAt: BigInt(answeredAt) }))
    }
    // Includes listed instances that gossip has not discovered yet, for example after a start.
    for (const address of peers.otherAddresses()) tellPeer(address, message, MAX_REPORT_ATTEMPTS)
  }

  function tellPeer (address: string, message: Parameters<ReturnType<PeerDirectory['client']>['reportSuspects']>[0], attempts: number): void {
    peers.client(address).reportSuspects(message, { timeoutMs: REPORT_TIMEOUT_MS }).catch((error: unknown) => {
      logger.warn({ err: error, peer: address, step: 'report prompt parts', attemptsLeft: attempts - 1 }, 'failed to report prompt parts to a peer')
      if (attempts > 1) tellPeer(address, message, attempts - 1)
    })
  }

  /** Tells peers of answers to parts that they suspect. */
  function reportAnswers (soundParts: readonly string[]): void {
    const answered = [...new Set(soundParts)].flatMap((part) => {
      const answeredAt = parts.answeredAt(part)
      return answeredAt === undefined ? [] : [{ part, answeredAt }]
    })
    if (answered.length === 0) return
    for (const { part, answeredAt } of answered) parts.recordAnswer([part], answeredAt, 'shared')
    tellPeers({ answered })
  }

  function forgetOldReports (): void {
    for (const [key, prompt] of recent) if (Number(prompt.crashedAt) < clock.now() - GOSSIP_PERIOD_MS) recent.delete(key)
  }

  function learn (request: UnansweredRequest): void {
    if (recent.has(request.id) || request.crashedAt < clock.now() - GOSSIP_PERIOD_MS) return
    recent.set(request.id, toMessage(request))
    reportAnswers(parts.recordCrash(request))
    logger.info({ step: 'suspect prompt parts', ...request, crashes: request.parts.map((part) => parts.crashCount(part)) }, 'a crash left a prompt unanswered; its parts are suspects')
  }

  return {
    isHeldBack: (sharedParts) => {
      if (!parts.hasSuspects) return false
      const group = parts.findHeldBack(sharedParts, clock.now())
      if (group === undefined) return false
      metrics.count('prompts_held_back_total')
      logger.warn({ step: 'hold back prompt', parts: group.parts, crashes: group.crashCount, until: group.heldBackUntil }, 'refused a prompt with parts that have crashed backend servers')
      return true
    },
    recordCrash: (backendServer, prompts, crashedAt) => {
      const backendProcess = `${backendServer}/${Math.round(crashedAt / SAME_CRASH_WINDOW_MS)}`
      const unanswered = prompts.filter((prompt) => prompt.parts.length > 0).map((prompt) => ({ ...prompt, id: randomUUID(), backendProcess, crashedAt }))
      if (unanswered.length === 0) return
      for (const request of unanswered) learn(request)
      tellPeers({ unanswered })
    },
    recordAnswer: (sharedParts, answeredAt) => reportAnswers(parts.recordAnswer(sharedParts, answeredAt, 'own')),
    recentUnanswered: () => {
      forgetOldReports()
      return [...recent.values()].slice(-MAX_GOSSIPED_PROMPTS).toReversed()
    },
    receive: (unanswered, answered) => {
      for (const prompt of unanswered) learn({ id: prompt.id, parts: prompt.parts, backendProcess: prompt.backendProcess, sentAt: Number(prompt.sentAt), crashedAt: Number(prompt.crashedAt) })
      for (const { part, answeredAt } of answered) parts.recordAnswer([part], Number(answeredAt), 'shared')
    }
  }
}
