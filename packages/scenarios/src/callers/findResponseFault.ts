import { countPromptTokens, countAnswerTokens, expectedAnswer } from '@quinceshunt/backend-standin'
import type { ChatResponse, ChatCall } from './sendChat.js'

/** Seed of the fixture's engines, used for prompts without a `[tokens:N]` marker. */
const ENGINE_SEED = 1

/** Describes how a response differs from the complete response expected for the call; undefined if it matches. */
export function findResponseFault (call: Pick<ChatCall, 'messages' | 'maxTokens'>, response: ChatResponse): string | undefined {
  if (response.error !== undefined) return `error ${response.error.code}: ${response.error.message}`
  if (response.status !== 200) return `status ${response.status}`
  if (!response.complete) return `response ended early after ${response.text.length} characters`
  const requestedTokens = countAnswerTokens(call.messages, ENGINE_SEED)
  const expectedTokens = Math.min(requestedTokens, call.maxTokens ?? requestedTokens)
  const expectedText = expectedAnswer(call.messages, expectedTokens)
  if (response.text !== expectedText) return `text ${JSON.stringify(response.text.slice(0, 80))} (${response.text.length} characters), expected ${JSON.stringify(expectedText.slice(0, 80))} (${expectedText.length} characters)`
  const promptTokens = countPromptTokens(call.messages)
  if (response.usage?.completion_tokens !== expectedTokens) return `usage reports ${response.usage?.completion_tokens} completion tokens, expected ${expectedTokens}`
  if (response.usage.prompt_tokens !== promptTokens) return `usage reports ${response.usage.prompt_tokens} prompt tokens, expected ${promptTokens}`
  return undefined
}

/** Tokens billed for a complete response to a call. */
export function expectedBilledTokens (call: Pick<ChatCall, 'messages' | 'maxTokens'>): number {
  const requestedTokens = countAnswerTokens(call.messages, ENGINE_SEED)
  return countPromptTokens(call.messages) + Math.min(requestedTokens, call.maxTokens ?? requestedTokens)
}

/** Creates a prompt of one message whose answer has the given number of tokens. */
export function createPrompt (text: string, tokens: number): { role: string, content: string }[] {
  return [{ role: 'user', content: `${text} [tokens:${tokens}]` }]
}
