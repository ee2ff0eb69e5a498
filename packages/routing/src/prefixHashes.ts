import { createHash } from 'node:crypto'

/** Size of a prompt block in UTF-8. */
export const PREFIX_BLOCK_BYTES = 256
/** Length of a prefix hash in hex. */
export const PREFIX_HASH_CHARACTERS = 16

/** Serialization of a prompt that both the router and the engines hash. */
export function canonicalPrompt (messages: unknown): string {
  return JSON.stringify(messages)
}

/**
 * Hashes of the successive prefixes of a canonical prompt, shortest first. Hash i covers blocks 0 to i: the SHA-256 of
 * the full digest of the previous block (nothing for block 0) followed by the block. An incomplete last block has no hash.
 */
export function prefixHashes (canonicalText: string): string[] {
  const bytes = Buffer.from(canonicalText, 'utf8')
  const hashes: string[] = []
  let previous = Buffer.alloc(0)
  for (let end = PREFIX_BLOCK_BYTES; end <= bytes.length; end += PREFIX_BLOCK_BYTES) {
    previous = createHash('sha256').update(previous).update(bytes.subarray(end - PREFIX_BLOCK_BYTES, end)).digest()
    hashes.push(previous.toString('hex').slice(0, PREFIX_HASH_CHARACTERS))
  }
  return hashes
}
