import { createSharedLimit, type SharedLimit } from '@quinceshunt/memory-limits'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import type { Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { createCallersListener } from '../callersListener.js'
import type { RouterServices } from '../routerServices.js'

const LIMIT_BYTES = 1_048_576
const BODY_LIMIT_BYTES = 100_000
const SENT_BYTES = 90_000
const CONNECTIONS = 20
const WAIT_MS = 5000
const POLL_MS = 10
/** Bytes that were written are read after this time. */
const READ_MS = 300

interface Conversation {
  readonly socket: Socket
  received: string
}

let limit: SharedLimit
let server: Server
let endClaims: () => void
let startedClaims: number

beforeEach(async () => {
  limit = createSharedLimit(LIMIT_BYTES)
  startedClaims = 0
  const claimsEnded = new Promise<void>((resolve) => { endClaims = resolve })
  server = createCallersListener(buildServices(claimsEnded)).server
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
})

afterEach(() => {
  endClaims()
  server.closeAllConnections()
  server.close()
})

/** The services that requests for a model which does not exist need, and calls whose claims wait for `claimsEnded`. */
function buildServices (claimsEnded: Promise<void>): RouterServices {
  const claim = async (): Promise<unknown> => {
    startedClaims += 1
    await claimsEnded
    return { kind: 'unknown', message: 'the outcome is unknown' }
  }
  const services = {
    settings: { requestDeadlineMilliseconds: 30_000, bodyLimitBytes: BODY_LIMIT_BYTES },
    clock: { now: Date.now },
    logger: { info: () => {}, warn: () => {}, error: () => {} },
    metrics: { count: () => {}, record: () => {} },
    configuration: {
      current: () => ({
        models: new Map(),
        findRoute: () => ({ idempotent: false, priceTokens: 0n }),
        authenticate: (key: string) => ({ account: { id: key, targets: ['orders'] }, budgetId: 'b', keyId: 'k' })
      })
    },
    claims: { claim },
    callerBodies: limit,
    isIsolated: () => false
  }
  return services as unknown as RouterServices
}

function head (account: string, bodyBytes: number, path = '/v1/chat/completions'): string {
  return `POST ${path} HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer ${account}\r\nIdempotency-Key: key\r\nContent-Length: ${bodyBytes}\r\n\r\n`
}

const TOO_LARGE_REQUEST = `${head('school', 0).replace('Content-Length: 0', 'Transfer-Encoding: chunked')}${(BODY_LIMIT_BYTES + 1).toString(16)}\r\n${'x'.repeat(BODY_LIMIT_BYTES + 1)}\r\n0\r\n\r\n`

function chat (account: string): string {
  const body = JSON.stringify({ model: 'none', messages: [{ role: 'user', content: 'x'.repeat(50_000) }] })
  return head(account, body.length) + body
}

function send (text: string): Conversation {
  const conversation = { socket: connect((server.address() as AddressInfo).port, '127.0.0.1'), received: '' }
  conversation.socket.on('data', (bytes) => { conversation.received += bytes.toString() })
  conversation.socket.on('error', () => {})
  conversation.socket.write(text)
  return conversation
}

async function waitUntil (isReached: () => boolean): Promise<void> {
  const deadline = Date.now() + WAIT_MS
  while (!isReached() && Date.now() < deadline) await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  expect(isReached()).toBe(true)
}

async function sendUnfinished (account: string): Promise<Conversation[]> {
  const unfinished = Array.from({ length: CONNECTIONS }, () => send(head(account, BODY_LIMIT_BYTES) + 'x'.repeat(SENT_BYTES)))
  await new Promise((resolve) => setTimeout(resolve, READ_MS))
  return unfinished
}

/** Sends a chat request that is answered at once behind a call that waits for its claim. */
async function sendBehindCall (): Promise<Conversation> {
  const conversation = send(`${head('school', SENT_BYTES, '/services/orders/new')}${'x'.repeat(SENT_BYTES)}${chat('school')}`)
  await waitUntil(() => startedClaims === 1)
  await new Promise((resolve) => setTimeout(resolve, READ_MS))
  return conversation
}

// Guards against bodies that each keep to their own limit and together fill the memory, or fail those of other accounts.
test('bodies that one account does not end are refused beyond its share, and one of another account is accepted', async () => {
  const unfinished = await sendUnfinished('flooding')
  const refused = unfinished.filter(({ received }) => received !== '')
  expect(refused.length).toBeGreaterThanOrEqual(CONNECTIONS - Math.floor(LIMIT_BYTES / 2 / SENT_BYTES))
  for (const { received } of refused) {
    expect(received).toMatch(/^HTTP\/1\.1 503 [^]*retry-after: \d+/i)
    expect(JSON.parse(received.slice(received.indexOf('{')))).toMatchObject({ error: { code: 'body_memory_exhausted', run: 'no' } })
  }
  expect(refused.length).toBeLessThan(CONNECTIONS)
  expect(limit.bytesOf('flooding')).toBeGreaterThan(0)
  expect(limit.bytesOf('flooding')).toBeLessThanOrEqual(LIMIT_BYTES / 2)
  const sound = send(chat('sound'))
  await waitUntil(() => sound.received.includes('model_not_found'))
  await waitUntil(() => limit.bytesOf('sound') === 0)
  for (const { socket } of unfinished) socket.destroy()
  await waitUntil(() => limit.heldBytes === 0)
  const later = send(chat('flooding'))
  await waitUntil(() => later.received.includes('model_not_found'))
  await waitUntil(() => limit.heldBytes === 0)
})

// Guards against bytes of a refused body that are taken for a request.
test('the rest of a refused body is dropped, and the next request of its connection is answered', async () => {
  const unfinished = await sendUnfinished('flooding')
  const refused = unfinished.find(({ received }) => received !== '')!
  for (const { socket } of unfinished) if (socket !== refused.socket) socket.destroy()
  await waitUntil(() => limit.heldBytes === 0)
  refused.socket.write('x'.repeat(BODY_LIMIT_BYTES - SENT_BYTES) + chat('flooding'))
  await waitUntil(() => refused.received.includes('model_not_found'))
  await waitUntil(() => limit.heldBytes === 0)
})

// Guards against bytes that are given back while a call that goes on without its caller still needs them, or never.
test.each([1, 3])('the bodies of calls stay counted after their caller has left until the calls end (%d on the connection)', async (calls) => {
  const { socket } = send((head('school', SENT_BYTES, '/services/orders/new') + 'x'.repeat(SENT_BYTES)).repeat(calls))
  await waitUntil(() => startedClaims === calls)
  socket.destroy()
  await new Promise((resolve) => setTimeout(resolve, READ_MS))
  expect(limit.bytesOf('school')).toBeGreaterThanOrEqual(calls * SENT_BYTES)
  endClaims()
  await waitUntil(() => limit.heldBytes === 0)
})

// Guards against requests with responses that can't be sent yet, and bodies that are no longer counted.
test('the body of a request stays counted until its response is closed', async () => {
  const { received } = await sendBehindCall()
  expect(received).toBe('')
  expect(limit.bytesOf('school')).toBeGreaterThanOrEqual(SENT_BYTES + chat('school').length - head('school', SENT_BYTES).length)
  endClaims()
  await waitUntil(() => limit.heldBytes === 0)
})

// Guards against bytes that are dropped, but counted until the refusal can be sent.
test('a refused body is not counted while its response waits for an earlier one', async () => {
  const { received } = send(`${head('school', SENT_BYTES, '/services/orders/new')}${'x'.repeat(SENT_BYTES)}${TOO_LARGE_REQUEST}`)
  await waitUntil(() => startedClaims === 1)
  await new Promise((resolve) => setTimeout(resolve, READ_MS))
  expect(received).toBe('')
  expect(limit.bytesOf('school')).toBeGreaterThanOrEqual(SENT_BYTES)
  expect(limit.bytesOf('school')).toBeLessThanOrEqual(BODY_LIMIT_BYTES)
})

// Guards against bytes of bodies that are refused for another reason, or that are whole, being kept.
test('whole, too large and abandoned bodies give their bytes back', async () => {
  const tooLarge = send(TOO_LARGE_REQUEST)
  const whole = send(chat('school').repeat(3))
  const abandoned = send(chat('school') + head('school', SENT_BYTES) + 'x')
  await waitUntil(() => tooLarge.received.includes('body_too_large') && whole.received.split('model_not_found').length === 4)
  await waitUntil(() => abandoned.received.includes('model_not_found') && limit.heldBytes > 0)
  abandoned.socket.destroy()
  await waitUntil(() => limit.heldBytes === 0)
})
