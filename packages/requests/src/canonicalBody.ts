/** Deeper JSON is hashed as sent: the recursive writer would overflow the stack on hostile nesting. */
const DEEPEST_CANONICAL_NESTING = 256

/**
 * Canonical bytes of a body: JSON with sorted keys and without insignificant whitespace, so that a client that
 * serializes the same request anew is recognised. A body that is not JSON is returned as it is.
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

/** Undefined when the value is nested too deeply. */
function canonicalJson (value: unknown, depth: number): string | undefined {
  if (depth > DEEPEST_CANONICAL_NESTING) return undefined
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
