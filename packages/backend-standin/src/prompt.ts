import { createHash } from 'node:crypto'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Bytes of one block of the prefix cache. */
export const CACHE_BLOCK_BYTES = 256
const HASH_CHARACTERS = 16
const BYTES_PER_TOKEN = 4
const MIN_RANDOM_ANSWER_TOKENS = 8
const MAX_RANDOM_ANSWER_TOKENS = 128
const DISCONNECT_MARKER = /\[disconnect:(\d{1,6})\]/
const CROSSED_MARKER = '[crossed]'
const TOKENS_MARKER = /\[tokens:(\d{1,6})\]/

/** Fields of a chat message that the stand-in reads. */
export interface ChatMessage {
  readonly role: string
  readonly content?: unknown
}

/** Returns the digest with which the answer begins: the first 16 hexadecimal characters of SHA-256 of the messages' JSON. */
export function promptDigest (messages: readonly ChatMessage[]): string {
  return createHash('sha256').update(JSON.stringify(messages)).digest('hex').slice(0, HASH_CHARACTERS)
}

/**
 * Hashes the complete 256-byte blocks of the messages' JSON, in order. Each hash is SHA-256 over the previous block's
 * digest (32 bytes; empty for the first block) and the block's bytes, truncated to its first 16 hexadecimal characters.
 */
export function prefixBlockHashes (messages: readonly ChatMessage[]): string[] {
  const bytes = Buffer.from(JSON.stringify(messages))
  const hashes: string[] = []
  let previous = Buffer.alloc(0)
  for (let end = CACHE_BLOCK_BYTES; end <= bytes.length; end += CACHE_BLOCK_BYTES) {
    previous = createHash('sha256').update(previous).update(bytes.subarray(end - CACHE_BLOCK_BYTES, end)).digest()
    hashes.push(previous.toString('hex').slice(0, HASH_CHARACTERS))
  }
  return hashes
}

/** Returns the billed prompt tokens: a quarter of the UTF-8 bytes of all roles and contents, rounded up. */
export function countPromptTokens (messages: readonly ChatMessage[]): number {
  const bytes = messages.reduce((sum, message) => sum + Buffer.byteLength(message.role) + Buffer.byteLength(contentText(message.content)), 0)
  return Math.ceil(bytes / BYTES_PER_TOKEN)
}

function contentText (content: unknown): string {
  if (typeof content === 'string') return content
  return content === undefined || content === null ? '' : JSON.stringify(content)
}

/** Returns the answer length without a token limit: N of a `[tokens:N]` marker in the prompt, or a seeded random number. */
export function countAnswerTokens (messages: readonly ChatMessage[], seed: number): number {
  const marker = TOKENS_MARKER.exec(JSON.stringify(messages))
  if (marker !== null) return Math.max(1, Number(marker[1]))
  const random = xoroshiro128plus(seed ^ Number.parseInt(promptDigest(messages).slice(0, 8), 16))
  return uniformInt(random, MIN_RANDOM_ANSWER_TOKENS, MAX_RANDOM_ANSWER_TOKENS)
}

/** Stream faults that markers in the prompt request. */
export interface StreamFaults {
  /** Content tokens after which the first stream's connection is dropped; generation continues and the stream can be resumed. */
  readonly disconnectAfterTokens: number
  /** Whether the stream's events carry another request's ID. */
  readonly wrongRequestId: boolean
}

export const NO_FAULTS: StreamFaults = { disconnectAfterTokens: Infinity, wrongRequestId: false }

/** Parses the prompt markers `[disconnect:N]` and `[crossed]`. */
export function readStreamFaults (messages: readonly ChatMessage[]): StreamFaults {
  const text = JSON.stringify(messages)
  const marker = DISCONNECT_MARKER.exec(text)
  return { disconnectAfterTokens: marker === null ? Infinity : Number(marker[1]), wrongRequestId: text.includes(CROSSED_MARKER) }
}

/** Returns the text of one answer token: the prompt digest for token 0, otherwise the token's index. */
export function answerToken (digest: string, index: number): string {
  return index === 0 ? digest : ` ${index}`
}

/** Returns the text of the answer tokens from `start` to `end`, exclusive. */
export function answerText (digest: string, start: number, end: number): string {
  return Array.from({ length: Math.max(0, end - start) }, (_unused, index) => answerToken(digest, start + index)).join('')
}

/** Returns the complete answer of an engine to a prompt. */
export function expectedAnswer (messages: readonly ChatMessage[], tokens: number): string {
  return answerText(promptDigest(messages), 0, tokens)
}
