import neostandard from 'neostandard'

export default [
  { ignores: ['**/lib/**', '**/src/gen/**', 'results/**', 'target/**'] },
  ...neostandard({ ts: true }),
  {
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }]
    }
  }
]
