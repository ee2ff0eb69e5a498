export default {
  import: ['packages/scenarios/lib/steps/**/*.js'],
  format: ['summary', 'json:.scenario-result.json'],
  publishQuiet: true
}
