import { describe, expect, test } from '@jest/globals'
import type { IncomingMessage } from 'node:http'
import { encodeRelayEnvelope, RELAY_HEADER } from '../decisions/relayEnvelope.js'
import type { GatewayContext } from '../tasks/gatewayContext.js'
import { admitRelay } from '../tasks/relayReception.js'

const INCARNATION = 'edge.1'

function contextOf (isFull: boolean): GatewayContext {
  return { incarnationId: INCARNATION, configuration: () => ({ configuration: { version: 1 } }), eventLoopDelay: { milliseconds: 0 }, occupancy: { isFull } } as unknown as GatewayContext
}

const relayed = { headers: { [RELAY_HEADER]: encodeRelayEnvelope({ from: 'other', to: INCARNATION, configurationVersion: 1, attemptsLeft: 1, isRepeat: false }) } } as unknown as IncomingMessage

describe('a request that another instance relays', () => {
  // Issue 57, the same class: an instance whose link is full took the requests of others beside those of its own callers.
  test('is declined by an instance that has more callers than it can serve, and taken by another one', () => {
    expect(admitRelay(contextOf(true), relayed).kind).toBe('declined')
    expect(admitRelay(contextOf(false), relayed).kind).toBe('taken')
  })
})
