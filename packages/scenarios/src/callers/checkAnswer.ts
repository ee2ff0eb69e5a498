import { countPromptTokens, countAnswerTokens, expectedAnswer } from '@quinceshunt/backend-standin'
import type { ChatAnswer, ChatCall } from './sendChat.js'

/** Seed of the engines in fixtures, used when a prompt has no `[tokens:N]` marker. */
const ENGINE_SEED = 1

/** What is wrong with an answer that was to be whole and the caller's own; undefined when it is right. */
export function findAnswerFault (call: Pick<ChatCall, 'messages' | 'maxTokens'>, answer: ChatAnswer): string | undefined {
  if (answer.error !== undefined) return `error ${answer.error.code}: ${answer.error.message}`
  if (answer.status !== 200) return `status ${answer.status}`
  if (!answer.ended) return `broke off after ${answer.text.length} characters`
  const wanted = countAnswerTokens(call.messages, ENGINE_SEED)
  const tokens = Math.min(wanted, call.maxTokens ?? wanted)
  const expected = expectedAnswer(call.messages, tokens)
  if (answer.text !== expected) return `text ${JSON.stringify(answer.text.slice(0, 80))} (${answer.text.length} characters) is not ${JSON.stringify(expected.slice(0, 80))} (${expected.length} characters)`
  const promptTokens = countPromptTokens(call.messages)
  if (answer.usage?.completion_tokens !== tokens) return `usage names ${answer.usage?.completion_tokens} completion tokens, not ${tokens}`
  if (answer.usage.prompt_tokens !== promptTokens) return `usage names ${answer.usage.prompt_tokens} prompt tokens, not ${promptTokens}`
  return undefined
}

/** Tokens that a whole answer to a call costs. */
export function billedTokens (call: Pick<ChatCall, 'messages' | 'maxTokens'>): number {
  const wanted = countAnswerTokens(call.messages, ENGINE_SEED)
  return countPromptTokens(call.messages) + Math.min(wanted, call.maxTokens ?? wanted)
}

/** A prompt of one message whose answer has a number of tokens. */
export function promptOf (text: string, tokens: number): { role: string, content: string }[] {
  return [{ role: 'user', content: `${text} [tokens:${tokens}]` }]
}
