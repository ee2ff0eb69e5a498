import { describe, expect, it } from '@jest/globals'
import { createMetrics } from '@quinceshunt/telemetry'
import type { IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { createConnectionReception, type ConnectionReception } from '../tasks/connectionReception.js'
import { TUNNEL_CONFIGURATION_HEADER, TUNNEL_HEADER } from '../tasks/connectionTunnel.js'

const IDLE_SECOND = { sampledMilliseconds: 1000, requests: 0, forwarded: 0, receivedBytes: 0, sentBytes: 0, processorMilliseconds: 20 }

interface Reception { readonly reception: ConnectionReception, readonly served: () => number }

function startReception ({ hasRoom = true, delay = 0, share = 0.1 as number | 'unknown' } = {}): Reception {
  let served = 0
  const reception = createConnectionReception({
    incarnationId: 'north.1',
    settings: { processorShare: share === 'unknown' ? undefined : share, processorCores: 1 },
    hasRoom: () => hasRoom,
    configurationVersion: () => 7,
    eventLoopDelay: { milliseconds: delay },
    serve: () => { served++ },
    metrics: createMetrics()
  })
  reception.note(IDLE_SECOND)
  return { reception, served: () => served }
}

function connectTo ({ reception }: Reception, incarnation = 'north.1', version = '7'): void {
  reception.receive({ headers: { [TUNNEL_HEADER]: incarnation, [TUNNEL_CONFIGURATION_HEADER]: version } } as unknown as IncomingMessage, new PassThrough() as unknown as Socket)
}

describe('a connection that a peer forwards', () => {
  it('is taken while the instance has room', async () => {
    const started = startReception()
    await expect(started.reception.answer({ to: 'north.1' })).resolves.toEqual({ connections: 4 })
    for (let sent = 0; sent < 10; sent++) connectTo(started)
    expect(started.served()).toBe(4)
    await expect(started.reception.answer({ to: 'north.1' })).resolves.toEqual({ connections: 0 })
  })

  // Guards against a caller who gets 401 or 404 for a key or route that worked at the instance to which it is connected.
  it.each(['8', 'new'])('is declined when the other instance has configuration "%s", which is newer or can not be compared', (version) => {
    const started = startReception()
    connectTo(started, 'north.1', version)
    expect(started.served()).toBe(0)
  })

  it('is declined at another process, and at one that is not ready, behind with its work or of unknown capacity', () => {
    const other = startReception()
    connectTo(other, 'north.0')
    expect(other.served()).toBe(0)
    for (const options of [{ hasRoom: false }, { delay: 300 }, { share: 'unknown' as const }]) {
      const started = startReception(options)
      connectTo(started)
      expect(started.served()).toBe(0)
    }
  })
})
