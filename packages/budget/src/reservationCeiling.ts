/** Tokens that an engine's chat template adds to one message at most: role markers and separators. */
const MESSAGE_OVERHEAD_TOKENS = 16
/** Tokens that a chat template adds to the whole prompt at most. */
const PROMPT_OVERHEAD_TOKENS = 32

/** The part of a chat message that counts towards the prompt. */
export interface PromptMessage {
  readonly role: string
  /** Text, or the parts of a multi-part message. */
  readonly content?: unknown
}

/** Upper bound of a prompt's tokens: a token covers at least one byte of UTF-8 text. */
export function promptTokenUpperBound (messages: readonly PromptMessage[]): number {
  return messages.reduce((sum, message) => sum + messageBytes(message) + MESSAGE_OVERHEAD_TOKENS, PROMPT_OVERHEAD_TOKENS)
}

/** Tokens to set aside for a request whose completion is limited to `completionTokens`. */
export function reservationCeiling (messages: readonly PromptMessage[], completionTokens: number): number {
  return promptTokenUpperBound(messages) + completionTokens
}

/** Content other than text counts with all fields of the message, whose JSON is never shorter than the text in it. */
function messageBytes (message: PromptMessage): number {
  const isPlain = typeof message.content === 'string' && Object.keys(message).length === 2
  return Buffer.byteLength(isPlain ? message.role + String(message.content) : JSON.stringify(message), 'utf8')
}
