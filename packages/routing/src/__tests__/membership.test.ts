import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { acceptsNewWork, applyMark, currentLeavingMark, initialMembership, type MembershipMark } from '../membership.js'

const incarnation = fc.constantFrom('p1', 'p2', 'p3')
const at = fc.integer({ min: 1, max: 100 })
const state = fc.constantFrom('live' as const, 'leaving' as const)
const processMark: fc.Arbitrary<MembershipMark> = fc.oneof(
  fc.record({ kind: fc.constant('loadReport' as const), incarnation, state, at }),
  fc.record({ kind: fc.constant('instanceList' as const), incarnation, state, at }),
  fc.record({ kind: fc.constant('gossip' as const), incarnation, at })
)
const configurationMark: fc.Arbitrary<MembershipMark> = fc.record({ kind: fc.constant('configuration' as const), revision: fc.bigInt({ min: 1n, max: 9n }), drained: fc.boolean(), at })

/** The current process according to the reports: the one whose first report came last. */
function newestProcess (marks: readonly MembershipMark[]): string | undefined {
  const reported = marks.flatMap((mark) => mark.kind === 'loadReport' ? [mark.incarnation] : [])
  return [...new Set(reported)].at(-1)
}

function reportsLeaving (mark: MembershipMark, process: string | undefined): boolean {
  if (mark.kind === 'configuration') return false
  return (mark.kind === 'gossip' || mark.state === 'leaving') && (process === undefined || mark.incarnation === process)
}

describe('applyMark', () => {
  // Guards against a delayed or conflicting "live" from any source sending new work to a leaving backend server.
  test('a process gets new work exactly if no source reports it as leaving', () => {
    fc.assert(fc.property(fc.array(processMark, { maxLength: 30, size: 'max' }), (marks) => {
      const result = marks.reduce(applyMark, initialMembership())
      const process = newestProcess(marks)
      expect(acceptsNewWork(result)).toBe(!marks.some((mark) => reportsLeaving(mark, process)))
      expect(currentLeavingMark(result) === undefined).toBe(acceptsNewWork(result))
    }), { numRuns: 2000 })
  })

  // Guards against an older revision that arrives late undoing a drain.
  test('the highest configuration revision determines whether a backend server is drained', () => {
    fc.assert(fc.property(fc.array(configurationMark, { minLength: 1, maxLength: 12 }), (marks) => {
      const consistent = marks.map((mark) => mark.kind === 'configuration' ? { ...mark, drained: mark.revision % 2n === 1n } : mark)
      const highest = consistent.reduce((best, mark) => mark.kind === 'configuration' && mark.revision > best ? mark.revision : best, 0n)
      expect(acceptsNewWork(consistent.reduce(applyMark, initialMembership()))).toBe(highest % 2n === 0n)
    }))
  })

  test('undoing a drain clears earlier leaving marks, which delayed gossip does not restore', () => {
    const marks: MembershipMark[] = [
      { kind: 'loadReport', incarnation: 'p1', state: 'live', at: 1 },
      { kind: 'gossip', incarnation: 'p1', at: 2 },
      { kind: 'configuration', revision: 1n, drained: true, at: 3 },
      { kind: 'configuration', revision: 2n, drained: false, at: 4 },
      { kind: 'gossip', incarnation: 'p1', at: 2 }
    ]
    const undone = marks.reduce(applyMark, initialMembership())
    expect(acceptsNewWork(undone)).toBe(true)
    expect(acceptsNewWork(applyMark(undone, { kind: 'instanceList', incarnation: 'p1', state: 'leaving', at: 5 }))).toBe(false)
  })

  // Guards against a lagging instance list stopping new work to the process that replaced the leaving one.
  test('an instance list without incarnations that predates a restart does not mark the new process', () => {
    const marks: MembershipMark[] = [
      { kind: 'loadReport', incarnation: 'p1', state: 'leaving', at: 10 },
      { kind: 'loadReport', incarnation: 'p2', state: 'live', at: 20 },
      { kind: 'instanceList', incarnation: '', state: 'leaving', at: 15 }
    ]
    const restarted = marks.reduce(applyMark, initialMembership())
    expect(acceptsNewWork(restarted)).toBe(true)
    expect(acceptsNewWork(applyMark(restarted, { kind: 'instanceList', incarnation: '', state: 'leaving', at: 21 }))).toBe(false)
  })
})
