import { create } from '@bufbuild/protobuf'
import { afterEach, describe, expect, test } from '@jest/globals'
import { BackendServerKind, BackendStandinSettingsSchema, type BackendStandinSettings } from '@quinceshunt/schemas'
import { startBackendServer, type BackendServer } from '../backendServer.js'
import { CACHE_BLOCK_BYTES, expectedAnswer } from '../prompt.js'

const messages = [{ role: 'user', content: 'name three reds [tokens:60]' }]
let server: BackendServer | undefined

async function startServer (overrides: Partial<BackendStandinSettings> = {}): Promise<string> {
  const settings = create(BackendStandinSettingsSchema, {
    id: 'engine-1', kind: BackendServerKind.ENGINE, target: 'painter', slots: 2, tokenMilliseconds: 2, prefillMilliseconds: 1, cacheBlocks: 100, seed: 1, ...overrides
  } as never)
  server = await startBackendServer(settings, () => { throw new Error('crash marker') })
  return server.address
}

function sendChat (address: string, requestId: string, fields: Record<string, unknown> = {}, signal?: AbortSignal): Promise<Response> {
  return fetch(`${address}/v1/chat/completions`, {
    method: 'POST', headers: { 'x-request-id': requestId }, body: JSON.stringify({ model: 'painter', messages, ...fields }), signal: signal ?? null
  })
}

function contentOf (events: string): string {
  return events.split('\n').filter((line) => line.startsWith('data: {')).map((line) => JSON.parse(line.slice('data: '.length)).choices[0]?.delta.content ?? '').join('')
}

/** Reads at least `bytes`, drops the connection and returns the complete events. */
async function readPart (response: Response, controller: AbortController, bytes: number): Promise<string> {
  const reader = response.body!.getReader()
  let text = ''
  while (text.length < bytes) text += new TextDecoder().decode((await reader.read()).value)
  controller.abort()
  return text.slice(0, text.lastIndexOf('\n\n') + 2)
}

afterEach(async () => await server?.stop())

describe('engine', () => {
  // Guards against a resumed stream that repeats or omits a token.
  test('an interrupted stream resumes at the exact offset', async () => {
    const address = await startServer()
    const controller = new AbortController()
    const response = await sendChat(address, 'r1', { stream: true }, controller.signal)
    const first = contentOf(await readPart(response, controller, 2000))
    const received = first.split(' ').length
    const resumed = await (await fetch(`${address}/v1/streams/r1?offset=${received}`)).text()
    expect(first + contentOf(resumed)).toBe(expectedAnswer(messages, 60))
    expect(resumed).toMatch(/"usage":\{"prompt_tokens":8,"completion_tokens":60,"total_tokens":68\}\}\n\ndata: \[DONE\]\n\n$/)
    expect((await fetch(`${address}/v1/streams/r1?offset=61`)).status).toBe(416)
    expect((await fetch(`${address}/v1/streams/r2?offset=0`)).status).toBe(404)
  })

  // Guards against a cancellation that reports too few tokens or does not stop generation.
  test('a cancellation returns the usage and stops generation', async () => {
    const address = await startServer()
    const controller = new AbortController()
    await readPart(await sendChat(address, 'r1', { stream: true }, controller.signal), controller, 1000)
    const cancelled = await (await fetch(`${address}/v1/streams/r1`, { method: 'DELETE' })).json() as { usage: { completion_tokens: number } }
    await new Promise((resolve) => setTimeout(resolve, 50))
    const record = await (await fetch(`${address}/record`)).json() as { runs: unknown[] }
    expect(record.runs).toMatchObject([{ requestId: 'r1', count: 1, outcome: 'aborted', completionTokens: cancelled.usage.completion_tokens }])
    expect(cancelled.usage.completion_tokens).toBeGreaterThan(0)
    expect(cancelled.usage.completion_tokens).toBeLessThan(60)
  })

  // Guards against steps that are delayed when another sequence ends: such delays would hide the router's latency.
  test('a sequence is not delayed when concurrent sequences end', async () => {
    const address = await startServer({ slots: 64, tokenMilliseconds: 10 })
    const others = Array.from({ length: 50 }, (_unused, index) => sendChat(address, `other-${index}`, { max_tokens: index + 1 }))
    const answer = sendChat(address, 'r1')
    await Promise.all([answer, ...others].map(async (response) => await (await response).text()))
    const { runs } = await (await fetch(`${address}/record`)).json() as { runs: { requestId: string, startedAt: number, endedAt: number }[] }
    const run = runs.find(({ requestId }) => requestId === 'r1')!
    // 61 steps of 10 ms, each up to 50 % longer while other sequences run, plus 150 ms for a loaded machine. One extra
    // step per ended sequence would add 500 ms.
    const steps = Array.from({ length: 61 }, (_unused, step) => 10 * (1 + 0.5 * Math.max(0, 50 - step) / 63))
    expect(run.endedAt - run.startedAt).toBeLessThan(steps.reduce((sum, step) => sum + step, 0) + 150)
  })

  // Guards against ignored slots or priorities, on which routing measurements depend.
  test('queued requests start in order of priority', async () => {
    const address = await startServer({ slots: 1 })
    const send = (requestId: string, priority: string): Promise<string> =>
      fetch(`${address}/v1/chat/completions`, { method: 'POST', headers: { 'x-request-id': requestId, 'x-priority': priority }, body: JSON.stringify({ model: 'painter', messages }) }).then((response) => response.text())
    const first = send('first', 'bulk')
    await new Promise((resolve) => setTimeout(resolve, 20))
    await Promise.all([first, send('bulk', 'bulk'), send('interactive', 'interactive')])
    const record = await (await fetch(`${address}/record`)).json() as { runs: { requestId: string, startedAt: number }[] }
    const started = record.runs.sort((one, other) => one.startedAt - other.startedAt).map((run) => run.requestId)
    expect(started).toEqual(['first', 'interactive', 'bulk'])
  })

  // Guards against a router that relies on engines to check fencing numbers: the stand-in must also act as one that does not.
  test.each([[true, 409, false], [false, 200, true]])('fencing check of the engine enabled: %s', async (checksFencing, status, executed) => {
    const address = await startServer({ checksFencing })
    const order = (fencingNumber: number): Promise<Response> =>
      fetch(`${address}/orders`, { method: 'POST', body: JSON.stringify({ kind: 'load_adapter', name: 'glaze', fencingNumber }) })
    expect((await order(5)).status).toBe(200)
    expect((await order(4)).status).toBe(status)
    const record = await (await fetch(`${address}/record`)).json() as { orders: unknown[] }
    expect(record.orders).toMatchObject([{ fencingNumber: 5, executed: true }, { fencingNumber: 4, executed }])
  })

  // Guards against lost events that readers can't detect.
  test('lost cache events leave gaps below the next sequence number', async () => {
    const address = await startServer({ cacheEventLoss: 0.5 })
    const longPrompt = [{ role: 'user', content: `${'ochre '.repeat(2000)}[tokens:1]` }]
    const blocks = Math.floor(JSON.stringify(longPrompt).length / CACHE_BLOCK_BYTES)
    await (await sendChat(address, 'r1', { messages: longPrompt })).text()
    const page = await (await fetch(`${address}/cache-events?after=0`)).json() as { events: { sequence: number }[], next: number }
    expect(page.next).toBe(blocks)
    expect(page.events.length).toBeGreaterThan(0)
    expect(page.events.length).toBeLessThan(blocks)
  })
})

describe('plain service', () => {
  // Guards against duplicate runs that the record counts separately because routers assigned another request ID.
  test('counts runs by idempotency key and path', async () => {
    const address = await startServer({ kind: BackendServerKind.PLAIN_SERVICE, target: 'ledger' })
    const postDeposit = async (requestId: string): Promise<unknown> =>
      (await fetch(`${address}/deposits`, { method: 'POST', headers: { 'idempotency-key': 'k1', 'x-request-id': requestId }, body: 'ten' })).json()
    expect(await postDeposit('r1')).toEqual({ service: 'ledger', path: '/deposits', count: 1, requestId: 'r1', received: 'ten' })
    expect(await postDeposit('r2')).toMatchObject({ count: 2 })
  })
})
