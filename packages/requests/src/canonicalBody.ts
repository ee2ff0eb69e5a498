/** Deeper JSON is hashed as sent, because the recursive serializer would overflow the stack on malicious nesting. */
const MAX_CANONICAL_DEPTH = 256

/**
 * Canonical form of a body: JSON with sorted keys and no insignificant whitespace, so that the same request is recognized
 * after a client has serialized it again. A body that is not JSON is returned unchanged.
 */
export function canonicalBody (body: Uint8Array): Uint8Array {
  if (body.length === 0) return body
  let value: unknown
  try {
    value = JSON.parse(new TextDecoder('utf-8', { fatal: true, ignoreBOM: true }).decode(body))
  } catch {
    return body
  }
  const text = canonicalJson(value, 0)
  return text === undefined ? body : new TextEncoder().encode(text)
}

/** Returns undefined if the value exceeds the maximum depth. */
function canonicalJson (value: unknown, depth: number): string | undefined {
  if (depth > MAX_CANONICAL_DEPTH) return undefined
  if (typeof value !== 'object' || value === null) return JSON.stringify(value)
  if (Array.isArray(value)) {
    const items = value.map((item) => canonicalJson(item, depth + 1))
    return items.includes(undefined) ? undefined : `[${items.join(',')}]`
  }
  const members = Object.entries(value).sort(([first], [second]) => (first < second ? -1 : 1))
    .map(([name, member]) => {
      const text = canonicalJson(member, depth + 1)
      return text === undefined ? undefined : `${JSON.stringify(name)}:${text}`
    })
  return members.includes(undefined) ? undefined : `{${members.join(',')}}`
}
