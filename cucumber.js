export default {
  import: ['packages/scenarios/lib/steps/**/*.js'],
  format: ['summary', 'json:.scenario-result.json'],
  publishQuiet: true,
  // A scenario starts about eight processes; three at once keep ten cores busy and timing bounds valid.
  parallel: 3
}
