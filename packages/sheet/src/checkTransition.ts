import type { FleetConfiguration, Sheet } from '@quinceshunt/schemas'
import type { ValidationProblem } from './rawRecord.js'

/** Validates a sheet against the configuration that it would replace. */
export function checkTransition (current: FleetConfiguration | undefined, sheet: Sheet): ValidationProblem[] {
  if (current?.sheet === undefined) return []
  return [...checkDeployment(current.sheet, sheet), ...checkTopUps(current.sheet, sheet), ...checkIssuedKeys(current, sheet)]
}

/** Rejects the sheet of another organisation. */
function checkDeployment (current: Sheet, sheet: Sheet): ValidationProblem[] {
  if (current.deployment === sheet.deployment) return []
  return [{ place: 'deployment', value: sheet.deployment, message: `this fleet runs deployment ${current.deployment}`, fix: 'apply the sheet to the fleet of its own deployment' }]
}

/** Each top-up ID is added only once, so a changed amount under the same ID would have no effect. */
function checkTopUps (current: Sheet, sheet: Sheet): ValidationProblem[] {
  const amounts = new Map(current.budgets.flatMap((budget) => budget.topUps.map((topUp) => [`${budget.id} ${topUp.id}`, topUp.tokens] as const)))
  return sheet.budgets.flatMap((budget) => budget.topUps.flatMap((topUp) => {
    const before = amounts.get(`${budget.id} ${topUp.id}`)
    if (before === undefined || before === topUp.tokens) return []
    return [{ place: `budgets[${budget.id}].topUps[${topUp.id}].tokens`, value: String(topUp.tokens), message: `this top-up is in force with ${before} tokens`, fix: 'keep its amount, and add a top-up with a new ID for the rest' }]
  }))
}

function checkIssuedKeys (current: FleetConfiguration, sheet: Sheet): ValidationProblem[] {
  const issued = new Map(current.issuedKeys.map((key) => [key.id, key]))
  return sheet.keys.filter((key) => (issued.get(key.id)?.hashHex ?? key.hashHex) !== key.hashHex).map((key) => ({
    place: `keys[${key.id}].id`, value: key.id, message: 'an operator has issued another key with this ID', fix: 'give the key another ID'
  }))
}
