import { describe, expect, test } from '@jest/globals'
import { weighStart, type ProcessFinding } from '../decisions/streamCertainty.js'
import type { StartEvidence, StreamStart } from '../decisions/streamOrigins.js'

const CONNECTION: StartEvidence = { kind: 'connection', connection: { backendProcess: 'i-1/1', establishedAt: 10 }, wasSuspect: false }

function createStart (evidence: StartEvidence): StreamStart {
  return { kind: 'begun', service: 'model', version: 'v1', backendId: 'i-1', at: 20, evidence }
}

describe('weighing where a stream began', () => {
  // Guards against a stream that is bound to the listed version although another process may have begun it, and against one that ends without need.
  test.each<[ProcessFinding['kind'], boolean, StreamStart]>([
    ['listed', true, createStart({ kind: 'proven' })],
    ['listed', false, createStart({ kind: 'proven' })],
    ['other', true, { kind: 'unknown' }],
    ['other', false, { kind: 'unknown' }],
    ['open', true, createStart({ kind: 'listed' })],
    ['open', false, { kind: 'unknown' }]
  ])('with the finding %s and a list that is trusted: %s', (kind, isListTrusted, expected) => {
    expect(weighStart(createStart(CONNECTION), { kind }, isListTrusted)).toEqual(expected)
  })

  // Guards against a finding about a process that changes a start which does not rest on its connection.
  test.each<StreamStart>([createStart({ kind: 'proven' }), createStart({ kind: 'listed' }), { kind: 'notBegun' }, { kind: 'unknown' }])('leaves a start as it is that rests on no connection: %j', (start) => {
    for (const kind of ['listed', 'other', 'open'] as const) expect(weighStart(start, { kind }, false)).toEqual(start)
  })
})
