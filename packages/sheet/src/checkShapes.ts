import type { z } from 'zod'
import { quoteValue, type RawRecord, type ValidationProblem } from './rawRecord.js'
import { describeAllowedValues, fieldNames, recordShapes } from './recordShapes.js'

/** Validates each record against its schema; reports at most one problem per field. */
export function checkShapes (records: readonly RawRecord[]): ValidationProblem[] {
  return records.flatMap((record) => {
    const result = recordShapes[record.kind].safeParse(record.fields)
    if (result.success) return []
    const problems = result.error.issues.flatMap((issue) => toValidationProblems(record, issue))
    return problems.filter((problem, index) => problems.findIndex((other) => other.place === problem.place) === index)
  })
}

function toValidationProblems (record: RawRecord, issue: z.core.$ZodIssue): ValidationProblem[] {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({ place: record.placeOf(key), value: quoteValue(record.fields[key]), message: 'the field is not known', fix: `use one of ${fieldNames(record.kind).join(', ')}` }))
  }
  const field = String(issue.path[0])
  const value = quoteValue(record.fields[field])
  const message = value === 'nothing' ? `${field} is missing` : `${field} has a value that is not allowed`
  return [{ place: record.placeOf(field), value, message, fix: describeAllowedValues(record.kind, field) }]
}
