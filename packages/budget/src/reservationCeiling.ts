/** Upper bound of the role markers and separators that an engine's chat template adds to a message. */
const MESSAGE_OVERHEAD_TOKENS = 16
/** Upper bound of the tokens that a chat template adds to the whole prompt. */
const PROMPT_OVERHEAD_TOKENS = 32

/** Fields of a chat message that count towards the prompt. */
export interface PromptMessage {
  readonly role: string
  /** Text, or the parts of a multi-part message. */
  readonly content?: unknown
}

/** Returns an upper bound of the tokens of a prompt; each token covers at least one byte of UTF-8 text. */
export function promptTokenUpperBound (messages: readonly PromptMessage[]): number {
  return messages.reduce((sum, message) => sum + messageBytes(message) + MESSAGE_OVERHEAD_TOKENS, PROMPT_OVERHEAD_TOKENS)
}

/** Returns the tokens to reserve for a request whose completion is limited to `completionTokens`. */
export function reservationCeiling (messages: readonly PromptMessage[], completionTokens: number): number {
  return promptTokenUpperBound(messages) + completionTokens
}

/** Messages with other content than text count with their JSON, which is never shorter than the text in it. */
function messageBytes (message: PromptMessage): number {
  const isPlain = typeof message.content === 'string' && Object.keys(message).length === 2
  return Buffer.byteLength(isPlain ? message.role + String(message.content) : JSON.stringify(message), 'utf8')
}
