/** True when the path is the prefix or lies below it; prefixes end at segment boundaries. */
export function pathMatchesPrefix (path: string, prefix: string): boolean {
  if (path === prefix) return true
  return path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

/**
 * Path without its query, or undefined when a backend server might read it as another path than the route check does:
 * dot segments, empty segments, backslashes and escapes of any of them.
 */
export function canonicalPath (path: string): string | undefined {
  const [withoutQuery = ''] = path.split('?', 1)
  if (!withoutQuery.startsWith('/') || /%(?:2e|2f|5c)|\\|\/\/|#/i.test(withoutQuery)) return undefined
  return withoutQuery.split('/').some((segment) => segment === '.' || segment === '..') ? undefined : withoutQuery
}
