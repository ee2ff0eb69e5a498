import { createHash } from 'node:crypto'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Bytes of one block of the prefix cache. */
export const CACHE_BLOCK_BYTES = 256
const HASH_CHARACTERS = 16
const BYTES_PER_TOKEN = 4
const SHORTEST_DRAWN_ANSWER_TOKENS = 8
const LONGEST_DRAWN_ANSWER_TOKENS = 128
const DISCONNECT_MARKER = /\[disconnect:(\d{1,6})\]/
const CROSSED_MARKER = '[crossed]'
const TOKENS_MARKER = /\[tokens:(\d{1,6})\]/

/** Message of a chat request, as far as the stand-in reads it. */
export interface ChatMessage {
  readonly role: string
  readonly content?: unknown
}

/** Digest of a prompt, which the answer begins with: first 16 hexadecimal characters of SHA-256 of the messages' JSON. */
export function promptDigest (messages: readonly ChatMessage[]): string {
  return createHash('sha256').update(JSON.stringify(messages)).digest('hex').slice(0, HASH_CHARACTERS)
}

/**
 * Hashes of the whole 256-byte blocks of the messages' JSON, first block first. Each is SHA-256 over the previous
 * block's digest (32 bytes; nothing for the first block) and the block's bytes, given as its first 16 hexadecimal
 * characters.
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

/** Prompt tokens as billed: a quarter of the UTF-8 bytes of all roles and contents, rounded up. */
export function countPromptTokens (messages: readonly ChatMessage[]): number {
  const bytes = messages.reduce((sum, message) => sum + Buffer.byteLength(message.role) + Buffer.byteLength(contentText(message.content)), 0)
  return Math.ceil(bytes / BYTES_PER_TOKEN)
}

function contentText (content: unknown): string {
  if (typeof content === 'string') return content
  return content === undefined || content === null ? '' : JSON.stringify(content)
}

/** Tokens that the engine would generate without a limit: a `[tokens:N]` marker in the prompt, or a seeded draw. */
export function countWantedTokens (messages: readonly ChatMessage[], seed: number): number {
  const marker = TOKENS_MARKER.exec(JSON.stringify(messages))
  if (marker !== null) return Math.max(1, Number(marker[1]))
  const random = xoroshiro128plus(seed ^ Number.parseInt(promptDigest(messages).slice(0, 8), 16))
  return uniformInt(random, SHORTEST_DRAWN_ANSWER_TOKENS, LONGEST_DRAWN_ANSWER_TOKENS)
}

/** Faults that a prompt asks of its stream. */
export interface StreamFaults {
  /** Content tokens after which the first stream's connection is dropped; the engine goes on and can resume it. */
  readonly disconnectAfter: number
  /** Whether the answer carries the ID of another request. */
  readonly crossed: boolean
}

/** A stream without faults. */
export const NO_FAULTS: StreamFaults = { disconnectAfter: Infinity, crossed: false }

/** Reads the markers `[disconnect:N]` and `[crossed]`. */
export function readStreamFaults (messages: readonly ChatMessage[]): StreamFaults {
  const text = JSON.stringify(messages)
  const marker = DISCONNECT_MARKER.exec(text)
  return { disconnectAfter: marker === null ? Infinity : Number(marker[1]), crossed: text.includes(CROSSED_MARKER) }
}

/** Text of one token of the answer: the prompt's digest first, then its own number. */
export function answerToken (digest: string, index: number): string {
  return index === 0 ? digest : ` ${index}`
}

/** Text of tokens from `start` up to but without `end`. */
export function answerText (digest: string, start: number, end: number): string {
  return Array.from({ length: Math.max(0, end - start) }, (_unused, index) => answerToken(digest, start + index)).join('')
}

/** The whole answer that an engine gives to a prompt. */
export function expectedAnswer (messages: readonly ChatMessage[], tokens: number): string {
  return answerText(promptDigest(messages), 0, tokens)
}
