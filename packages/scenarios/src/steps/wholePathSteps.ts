import { Then, When } from '@cucumber/cucumber'
import OpenAI from 'openai'
import assert from 'node:assert/strict'
import { connect } from 'node:net'
import { findAnswerFault, promptOf } from '../callers/checkAnswer.js'
import { chatBody, sendChat, type CallerErrorBody, type ChatCall } from '../callers/sendChat.js'
import { openExchange, readText } from '../callers/openExchange.js'
import { readRuns } from '../fleet/backendRecord.js'
import type { FleetMember } from '../fleet/fleetMember.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { readLedger } from '../fleet/ledger.js'
import type { Fleet } from '../fleet/startFleet.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const BILLED_MILLISECONDS = 5000
const ANSWER_TOKENS = 50
/** Longer than any answer that a scenario lets finish. */
const LONG_ANSWER_TOKENS = 2000
/** Slow senders are cut off at the request's deadline, set to 2 s in these scenarios. */
const SLOW_SENDER_MILLISECONDS = 10_000

type BadInputWorld = FleetWorld & { badAnswer?: { readonly status: number, readonly text: string } }

function firstRouter (fleet: Fleet): FleetMember {
  return fleet.routers[0]!
}

function chatCall (fleet: Fleet, router: FleetMember, text: string, tokens: number): ChatCall {
  return { address: router.address(), key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: promptOf(text, tokens), stream: true }
}

When('{int} callers send a streamed chat through each router', async function (this: FleetWorld, callers: number) {
  const fleet = await this.fleet()
  const calls = fleet.routers.flatMap((router) => Array.from({ length: callers }, (_unused, index) => chatCall(fleet, router, `${router.id} caller ${index}`, ANSWER_TOKENS)))
  this.chats.push(...await Promise.all(calls.map(async (call) => ({ call, answer: await sendChat(call) }))))
})

Then('every answer is whole and its caller\'s own', function (this: FleetWorld) {
  assert.ok(this.chats.length > 0)
  const faults = this.chats.map(({ call, answer }) => findAnswerFault(call, answer)).filter((fault) => fault !== undefined)
  assert.deepEqual(faults, [])
})

Then('every request is billed once with the usage that its caller was told', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await eventually(BILLED_MILLISECONDS, async () => {
    const { bills } = await readLedger(fleet.platform.ports.table)
    const faults = this.chats.map(({ answer }) => {
      const own = bills.filter((bill) => bill.requestId === answer.requestId)
      if (own.length !== 1) return `${own.length} bills for ${answer.requestId}`
      return own[0]!.chargedTokens === BigInt(answer.usage!.total_tokens) ? undefined : `${own[0]!.chargedTokens} charged, ${answer.usage!.total_tokens} told`
    }).filter((fault) => fault !== undefined)
    if (bills.length !== this.chats.length) faults.push(`${bills.length} bills for ${this.chats.length} requests`)
    return faults.join('; ') || undefined
  })
})

/** Sends one kind of bad input and returns what came back. */
async function sendBadInput (kind: string, fleet: Fleet): Promise<{ status: number, text: string }> {
  const router = firstRouter(fleet)
  const call = chatCall(fleet, router, 'bad input', ANSWER_TOKENS)
  const post = async (body: string, headers: Record<string, string> = {}): Promise<{ status: number, text: string }> => {
    const exchange = await openExchange({ address: router.address(), method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}`, ...headers }, body })
    return { status: exchange.status, text: (await readText(exchange.message)).text }
  }
  switch (kind) {
    case 'malformed JSON': return await post('{"model":')
    case 'no messages': return await post(JSON.stringify({ model: call.model }))
    case 'an oversized body': return await post(chatBody({ ...call, messages: promptOf('x'.repeat(70_000), 1) }))
    case 'an unknown model': return await post(chatBody({ ...call, model: 'nobody' }))
    case 'a wrong key': return await post(chatBody(call), { authorization: `Bearer ${call.key}x` })
    case 'a huge header': return await post(chatBody(call), { 'x-huge': 'h'.repeat(100_000) })
    case 'a slow sender': return await sendSlowly(router, call)
    default: throw new Error(`no bad input called ${kind}`)
  }
}

/** Announces a body, sends half of it and waits for the router to give up. */
function sendSlowly (router: FleetMember, call: ChatCall): Promise<{ status: number, text: string }> {
  const body = chatBody(call)
  const { hostname, port } = new URL(router.address())
  return new Promise((resolve, reject) => {
    const socket = connect(Number(port), hostname)
    let text = ''
    const timer = setTimeout(() => {
      socket.destroy()
      reject(new Error(`a slow sender was not cut off within ${SLOW_SENDER_MILLISECONDS} ms`))
    }, SLOW_SENDER_MILLISECONDS)
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

When('a caller sends {}', async function (this: BadInputWorld, kind: string) {
  this.badAnswer = await sendBadInput(kind, await this.fleet())
})

Then('it is told {int} with the code {string} and that nothing ran', function (this: BadInputWorld, status: number, code: string) {
  assert.equal(this.badAnswer?.status, status)
  if (code === '') return
  const { error } = JSON.parse(this.badAnswer.text) as { error: CallerErrorBody }
  assert.equal(error.code, code)
  assert.equal(error.run, 'no')
  assert.notEqual(error.message, '')
})

Then('no engine has run anything', async function (this: FleetWorld) {
  assert.deepEqual(await readRuns((await this.fleet()).engines), [])
})

Then('the routers still answer', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    assert.equal(router.process.hasExited(), false)
    const call = chatCall(fleet, router, 'still there?', ANSWER_TOKENS)
    assert.equal(findAnswerFault(call, await sendChat(call)), undefined)
  }
})

When('a caller leaves in the middle of its stream', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const call = chatCall(fleet, firstRouter(fleet), 'about to leave', LONG_ANSWER_TOKENS)
  const exchange = await openExchange({ address: call.address, method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}` }, body: chatBody(call) })
  assert.equal(exchange.status, 200)
  await new Promise((resolve) => exchange.message.once('data', resolve))
  exchange.client.destroy()
})

When('a caller leaves before its whole answer comes', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const call = { ...chatCall(fleet, firstRouter(fleet), 'about to leave', LONG_ANSWER_TOKENS), stream: false }
  const leaving = new AbortController()
  const exchange = openExchange({ address: call.address, method: 'POST', path: '/v1/chat/completions', headers: { authorization: `Bearer ${call.key}` }, body: chatBody(call), signal: leaving.signal })
  await eventually(BILLED_MILLISECONDS, async () => {
    const [run] = await readRuns(fleet.engines)
    return run?.outcome === 'running' ? undefined : `the run is ${run?.outcome ?? 'missing'}`
  })
  leaving.abort()
  await assert.rejects(exchange)
})

Then('its stream is cancelled at the engine and billed as far as it ran', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  await eventually(BILLED_MILLISECONDS, async () => {
    const [run] = await readRuns(fleet.engines)
    if (run?.outcome !== 'aborted') return `the run is ${run?.outcome ?? 'missing'}`
    const { bills } = await readLedger(fleet.platform.ports.table)
    const [bill] = bills
    if (bills.length !== 1 || bill === undefined) return `${bills.length} bills`
    const used = BigInt(run.promptTokens + run.completionTokens)
    return bill.chargedTokens === used && !bill.estimated ? undefined : `${bill.chargedTokens} charged (estimated: ${bill.estimated}), ${used} used`
  })
})

When('OpenAI\'s client library streams a chat and asks for the models', async function (this: FleetWorld) {
  const fleet = await this.fleet()
  const router = firstRouter(fleet)
  const call = chatCall(fleet, router, 'through the library', ANSWER_TOKENS)
  const client = new OpenAI({ baseURL: `${router.address()}/v1`, apiKey: call.key, maxRetries: 0 })
  const models = await client.models.list()
  assert.deepEqual(models.data.map((model) => model.id), [fleet.names.model])
  const messages = call.messages.map(({ content }) => ({ role: 'user' as const, content }))
  const whole = await client.chat.completions.create({ model: call.model, messages })
  const stream = await client.chat.completions.create({ model: call.model, messages, stream: true })
  let text = ''
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? ''
  assert.equal(text, whole.choices[0]?.message.content)
  assert.match(text, new RegExp(` ${ANSWER_TOKENS - 1}$`))
  await assert.rejects(client.chat.completions.create({ model: 'nobody', messages }), { status: 404, code: 'model_not_found' })
})

Then('the library\'s answers were whole', async function (this: FleetWorld) {
  const runs = await readRuns((await this.fleet()).engines)
  assert.deepEqual(runs.map((run) => run.outcome), ['complete', 'complete'])
})
