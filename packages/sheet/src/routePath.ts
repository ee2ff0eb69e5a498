/** True when the path equals the prefix or is below it; a prefix matches whole segments only. */
export function pathMatchesPrefix (path: string, prefix: string): boolean {
  if (path === prefix) return true
  return path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}

/**
 * Path without its query. Undefined when a backend server might resolve it to another path than the one that the route
 * check has seen: with dot segments, empty segments, backslashes, or percent-encoded dots, slashes or backslashes.
 */
export function canonicalPath (path: string): string | undefined {
  const [withoutQuery = ''] = path.split('?', 1)
  if (!withoutQuery.startsWith('/') || /%(?:2e|2f|5c)|\\|\/\/|#/i.test(withoutQuery)) return undefined
  return withoutQuery.split('/').some((segment) => segment === '.' || segment === '..') ? undefined : withoutQuery
}
