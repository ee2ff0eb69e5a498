import { Then, When } from '@cucumber/cucumber'
import OpenAI from 'openai'
import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import { findResponseFault, createPrompt } from '../callers/findResponseFault.js'
import { serializeChatBody, sendChat, type ErrorBody, type ChatCall } from '../callers/sendChat.js'
import { sendHttpCall, readBody } from '../callers/sendHttpCall.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const BILLING_TIMEOUT_MS = 5000
const ANSWER_TOKENS = 50
/** Longer than any answer that a scenario reads to the end. */
const LONG_ANSWER_TOKENS = 2000
/** Exceeds the request deadline, 2 s in these scenarios, at which the router disconnects slow senders. */
const SLOW_SENDER_TIMEOUT_MS = 10_000

/** Time for which a router is behind with its work; longer than a caller's work may go on after it has left. */
const PAUSE_MS = 800

type InvalidInputWorld = FleetWorld & { errorResponse?: { readonly status: number, readonly text: string } }

function firstRouter (fleet: Fleet): FleetMember {
  return fleet.routers[0]!
}

function createChatCall (fleet: Fleet, router: FleetMember, text: string, tokens: number): ChatCall {
  return { address: router.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: createPrompt(text, tokens), stream: true }
}

When('{int} callers send a streamed chat through each router', async function (this: FleetWorld, callers: number) {
  const fleet = await this.fleet()
  const calls = fleet.routers.flatMap((router) => Array.from({ length: callers }, (_unused, index) => createChatCall(fleet, router, `${router.id} caller ${index}`, ANSWER_TOKENS)))
  this.chats.push(...await Promise.all(calls.map(async (call) => ({ call, response: await sendChat(call) }))))
})

Then('every response is complete and belongs to its request', function (this: FleetWorld) {
  assert.ok(this.chats.length > 0)
  const faults = this.chats.map(({ call, response }) => findResponseFault(call, response)).filter((fault) => fault !== undefined)
  assert.deepEqual(faults, [])
})

Then('every request is billed once with the usage that its response reported', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await eventually(BILLING_TIMEOUT_MS, async () => {
    const { bills } = await readLedger(fleet.platform.client.table)
    const faults = this.chats.map(({ response }) => {
      const requestBills = bills.filter((bill) => bill.requestId === response.requestId)
      if (requestBills.length !== 1) return `${requestBills.length} bills for ${response.requestId}`
      return requestBills[0]!.chargedTokens === BigInt(response.usage!.total_tokens) ? undefined : `${requestBills[0]!.chargedTokens} tokens charged, ${response.usage!.total_tokens} reported`
    }).filter((fault) => fault !== undefined)
    if (bills.length !== this.chats.length) faults.push(`${bills.length} bills for ${this.chats.length} requests`)
    return faults.join('; ') || undefined
  })
})

/** Sends one kind of invalid input and returns the response. */
async function sendInvalidInput (kind: string, fleet: Fleet): Promise<{ status: number, text: string }> {
  const router = firstRouter(fleet)
  const call = createChatCall(fleet, router, 'bad input', ANSWER_TOKENS)
  const post = async (body: string, headers: Record<string, string> = {}): Promise<{ status: number, text: string }> => {
    const exchange = await sendHttpCall({ address: router.address(), method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}`, ...headers }, body })
    return { status: exchange.status, text: (await readBody(exchange.message)).text }
  }
  switch (kind) {
    case 'malformed JSON': return await post('{"model":')
    case 'no messages': return await post(JSON.stringify({ model: call.model }))
    case 'an oversized body': return await post(serializeChatBody({ ...call, messages: createPrompt('x'.repeat(70_000), 1) }))
    case 'an unknown model': return await post(serializeChatBody({ ...call, model: 'nobody' }))
    case 'a wrong key': return await post(serializeChatBody(call), { authorization: `Bearer ${call.key}x` })
    case 'a huge header': return await post(serializeChatBody(call), { 'x-huge': 'h'.repeat(100_000) })
    case 'a slow sender': return await sendSlowly(router, call)
    default: throw new Error(`unknown kind of invalid input: ${kind}`)
  }
}

/** Sends half of the announced body and waits until the router closes the connection. */
function sendSlowly (router: FleetMember, call: ChatCall): Promise<{ status: number, text: string }> {
  const body = serializeChatBody(call)
  const { hostname, port } = new URL(router.address())
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname)
    let text = ''
    const timer = setTimeout(() => {
      socket.destroy()
      reject(new Error(`the router did not disconnect a slow sender within ${SLOW_SENDER_TIMEOUT_MS} ms`))
    }, SLOW_SENDER_TIMEOUT_MS)
    socket.setEncoding('utf8')
    socket.on('data', (part: string) => { text += part })
    socket.on('error', reject)
    socket.on('close', () => {
      clearTimeout(timer)
      resolve({ status: Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0), text: text.split('\r\n\r\n')[1] ?? '' })
    })
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: ${hostname}\r\nauthorization: Bearer ${call.key}\r\ncontent-length: ${body.length}\r\n\r\n${body.slice(0, body.length / 2)}`)
  })
}

When('a caller sends {}', async function (this: InvalidInputWorld, kind: string) {
  this.errorResponse = await sendInvalidInput(kind, await this.fleet())
})

Then('the response has status {int} and code {string} and says that nothing ran', function (this: InvalidInputWorld, status: number, code: string) {
  assert.equal(this.errorResponse?.status, status)
  if (code === '') return
  const { error } = JSON.parse(this.errorResponse.text) as { error: ErrorBody }
  assert.equal(error.code, code)
  assert.equal(error.run, 'no')
  assert.notEqual(error.message, '')
})

Then('no engine has run a request', async function (this: FleetWorld) {
  assert.deepEqual(await readRuns((await this.fleet()).engines), [])
})

Then('the routers still serve requests', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    assert.equal(router.process.hasExited(), false)
    const call = createChatCall(fleet, router, 'still there?', ANSWER_TOKENS)
    assert.equal(findResponseFault(call, await sendChat(call)), undefined)
  }
})

When('a caller disconnects in the middle of its stream', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const call = createChatCall(fleet, firstRouter(fleet), 'about to leave', LONG_ANSWER_TOKENS)
  const exchange = await sendHttpCall({ address: call.address, method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}` }, body: serializeChatBody(call) })
  assert.equal(exchange.status, 200)
  await new Promise((resolve) => exchange.message.once('data', resolve))
  exchange.client.destroy()
})

When('a caller disconnects while it waits for a response that is not streamed', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const call = { ...createChatCall(fleet, firstRouter(fleet), 'about to leave', LONG_ANSWER_TOKENS), stream: false }
  const abortController = new AbortController()
  const exchange = sendHttpCall({ address: call.address, method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}` }, body: serializeChatBody(call), signal: abortController.signal })
  await eventually(BILLING_TIMEOUT_MS, async () => {
    const [run] = await readRuns(fleet.engines)
    return run?.outcome === 'running' ? undefined : `the run is ${run?.outcome ?? 'missing'}`
  })
  abortController.abort()
  await assert.rejects(exchange)
})

When('{int} callers send a chat to a paused router and disconnect before it resumes', async function (this: FleetWorld, callers: number) {
  const fleet = await this.fleet()
  const router = firstRouter(fleet)
  const address = new URL(router.address())
  router.pause()
  await Promise.all(Array.from({ length: callers }, async (_, index) => {
    const call = createChatCall(fleet, router, `gone ${index}`, LONG_ANSWER_TOKENS)
    const body = serializeChatBody(call)
    const socket = connect({ host: address.hostname, port: Number(address.port) })
    await once(socket, 'connect')
    socket.end(`POST /v1/chat/completions HTTP/1.1\r\nHost: ${address.host}\r\nAuthorization: Bearer ${call.key}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
    await once(socket, 'finish')
  }))
  await new Promise((resolve) => setTimeout(resolve, PAUSE_MS))
  router.resume()
})

Then('only the chat of a caller that still waits has run', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const call = createChatCall(fleet, firstRouter(fleet), 'still waits', ANSWER_TOKENS)
  assert.equal(findResponseFault(call, await sendChat(call)), undefined)
  const runs = await readRuns(fleet.engines)
  assert.deepEqual(runs.map((run) => run.outcome), ['complete'])
})

Then('its run is cancelled at the engine and billed for the tokens used', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await eventually(BILLING_TIMEOUT_MS, async () => {
    const [run] = await readRuns(fleet.engines)
    if (run?.outcome !== 'aborted') return `the run is ${run?.outcome ?? 'missing'}`
    const { bills } = await readLedger(fleet.platform.client.table)
    const [bill] = bills
    if (bills.length !== 1 || bill === undefined) return `${bills.length} bills`
    const used = BigInt(run.promptTokens + run.completionTokens)
    return bill.chargedTokens === used && !bill.estimated ? undefined : `${bill.chargedTokens} charged (estimated: ${bill.estimated}), ${used} used`
  })
})

When('OpenAI\'s client library lists the models and streams a chat', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const router = firstRouter(fleet)
  const call = createChatCall(fleet, router, 'through the library', ANSWER_TOKENS)
  const client = new OpenAI({ baseURL: `${router.address()}/v1`, apiKey: call.key, maxRetries: 0 })
  const models = await client.models.list()
  assert.deepEqual(models.data.map((model) => model.id), [fleet.names.model])
  const messages = call.messages.map(({ content }) => ({ role: 'user' as const, content }))
  const completion = await client.chat.completions.create({ model: call.model, messages })
  const stream = await client.chat.completions.create({ model: call.model, messages, stream: true })
  let text = ''
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  assert.equal(text, completion.choices[0]?.message.content)
  assert.match(text, new RegExp(` ${ANSWER_TOKENS - 1}$`))
  await assert.rejects(client.chat.completions.create({ model: 'nobody', messages }), { status: 404, code: 'model_not_found' })
})

Then('the responses to the library were complete', async function (this: FleetWorld) {
  const runs = await readRuns((await this.fleet()).engines)
  assert.deepEqual(runs.map((run) => run.outcome), ['complete', 'complete'])
})
