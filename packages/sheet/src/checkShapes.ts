import type { z } from 'zod'
import { quoteValue, type Entry, type SheetFault } from './entry.js'
import { allowedIn, fieldNames, recordShapes } from './recordShapes.js'

/** Checks the fields of each record by themselves; one fault for each bad field. */
export function checkShapes (entries: readonly Entry[]): SheetFault[] {
  return entries.flatMap((entry) => {
    const result = recordShapes[entry.kind].safeParse(entry.fields)
    if (result.success) return []
    const faults = result.error.issues.flatMap((issue) => describeIssue(entry, issue))
    return faults.filter((fault, index) => faults.findIndex((other) => other.place === fault.place) === index)
  })
}

function describeIssue (entry: Entry, issue: z.core.$ZodIssue): SheetFault[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ place: entry.placeOf(key), value: quoteValue(entry.fields[key]), message: 'the field is not known', fix: `use one of ${fieldNames(entry.kind).join(', ')}` }))
  }
  const field = String(issue.path[0])
  const value = quoteValue(entry.fields[field])
  const message = value === 'nothing' ? `${field} is missing` : `${field} has a value that is not allowed`
  return [{ place: entry.placeOf(field), value, message, fix: allowedIn(entry.kind, field) }]
}
