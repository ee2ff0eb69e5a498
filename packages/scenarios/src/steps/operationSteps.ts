import { Given, Then, When } from '@cucumber/cucumber'
import { runTableDecision } from '@quinceshunt/table-store'
import { orderKey, requestOrder } from '@quinceshunt/orders'
import { strict as assert } from 'node:assert'
import { spawnSync } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer, type Server } from 'node:http'
import { request, type RequestOptions } from 'node:https'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { sendChat } from '../callers/sendChat.js'
import { createCertificates, type Certificates } from '../fleet/certificates.js'
import { keyOf } from '../fleet/fleetSheet.js'
import { binaryFile } from '../launcher/binaries.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const EXPORT_MILLISECONDS = 10_000
const GOSSIP_MILLISECONDS = 5000

interface ExportedSpan {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly name: string
}

interface OperationWorld extends FleetWorld {
  traces?: { readonly server: Server, readonly spans: ExportedSpan[] }
  certificates?: Certificates
  ended?: { readonly code: number | null, readonly message: string }
}

interface TraceExport {
  readonly resourceSpans: readonly { readonly scopeSpans: readonly { readonly spans: readonly ExportedSpan[] }[] }[]
}

/** Stand-in of a trace collector: takes OTLP exports as JSON. */
async function startTraceCollector (): Promise<{ readonly server: Server, readonly spans: ExportedSpan[], readonly endpoint: string }> {
  const spans: ExportedSpan[] = []
  const server = createServer((message, response) => {
    const parts: Buffer[] = []
    message.on('data', (part: Buffer) => parts.push(part))
    message.on('end', () => {
      const exported = JSON.parse(Buffer.concat(parts).toString('utf8')) as TraceExport
      spans.push(...exported.resourceSpans.flatMap((resource) => resource.scopeSpans.flatMap((scope) => scope.spans)))
      response.setHeader('content-type', 'application/json')
      response.end('{}')
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  server.unref()
  return { server, spans, endpoint: `http://127.0.0.1:${(server.address() as AddressInfo).port}/v1/traces` }
}

Given('a fleet that exports its traces', async function (this: OperationWorld) {
  const collector = await startTraceCollector()
  this.traces = collector
  this.configure({ routers: 1, routerSettings: { trace: { enabled: true, endpoint: collector.endpoint, sampleRatio: 1 } } })
})

When('a caller with the trace context {string} sends a chat', async function (this: OperationWorld, traceparent: string) {
  const fleet = await this.fleet()
  const answer = await sendChat({ address: fleet.routers[0]!.address(), key: keyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: [{ role: 'user', content: 'hello [tokens:3]' }], stream: true, headers: { traceparent } })
  assert.equal(answer.ended, true)
})

Then('the trace has the spans {string} and {string}, each a child of the one before', async function (this: OperationWorld, first: string, second: string) {
  const { spans, server } = this.traces!
  await eventually(EXPORT_MILLISECONDS, async () => {
    const own = spans.filter((span) => span.traceId === '0af7651916cd43dd8448eb211c80319c')
    const outer = own.find((span) => span.name === first)
    const inner = own.find((span) => span.name === second)
    if (outer === undefined || inner === undefined) return `spans so far: ${own.map((span) => span.name).join(', ')}`
    if (outer.parentSpanId !== 'b7ad6b7169203331') return `parent of ${first} is ${outer.parentSpanId}`
    return inner.parentSpanId === outer.spanId ? undefined : `parent of ${second} is ${inner.parentSpanId}`
  })
  server.close()
})

Given('a fleet of {int} routers with certificates of one authority', async function (this: OperationWorld, routers: number) {
  this.certificates = await createCertificates()
  const { certificateFile, keyFile, authorityFile } = this.certificates
  const tls = { enabled: true, certificateFile, keyFile, authorityFile }
  this.configure({ routers, routerSettings: { callersTls: tls, peersTls: tls } })
})

/** Status of an HTTPS request, or the error code of a connection that was refused. */
function probe (address: string, path: string, options: RequestOptions): Promise<number | string> {
  return new Promise((resolve) => {
    const client = request(new URL(path, address), { ...options, agent: false }, (message) => {
      message.resume()
      resolve(message.statusCode ?? 0)
    })
    client.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message))
    client.end()
  })
}

Then('a caller that trusts the authority is answered over HTTPS', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const headers = { authorization: `Bearer ${keyOf(fleet.accounts[0]!.id)}` }
  const address = fleet.routers[0]!.address()
  assert.ok(address.startsWith('https://'))
  assert.equal(await probe(address, '/v1/models', { ca: this.certificates!.authority, headers }), 200)
  // Without the authority the caller can't verify the router, which shows that the certificate is really used.
  assert.notEqual(await probe(address, '/v1/models', { headers }), 200)
})

Then('the routers know each other', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    await eventually(GOSSIP_MILLISECONDS, async () => {
      const peers = await countPeers(router.process.listening['peers']!, this.certificates!)
      return peers === fleet.routers.length - 1 ? undefined : `${router.id} knows ${peers} peers`
    })
  }
})

const STATUS_PATH = '/quinceshunt.v1.PeerService/Status'

function statusOptions (certificates: Certificates): RequestOptions {
  return { method: 'POST', headers: { 'content-type': 'application/json' }, ca: certificates.authority, cert: certificates.certificate, key: certificates.key }
}

function countPeers (address: string, certificates: Certificates): Promise<number> {
  return new Promise((resolve, reject) => {
    const client = request(new URL(STATUS_PATH, address), { ...statusOptions(certificates), agent: false }, (message) => {
      const parts: Buffer[] = []
      message.on('data', (part: Buffer) => parts.push(part))
      message.on('end', () => resolve((JSON.parse(Buffer.concat(parts).toString('utf8')) as { peers?: unknown[] }).peers?.length ?? 0))
    })
    client.on('error', reject)
    client.end('{}')
  })
}

Then('a client without a certificate is refused by the peer listener', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const { method, headers, ca } = statusOptions(this.certificates!)
  const outcome = await probe(fleet.routers[0]!.process.listening['peers']!, STATUS_PATH, { method, headers, ca } as RequestOptions)
  assert.equal(typeof outcome, 'string', `answered with status ${outcome}`)
})

Then('a client with a certificate of another authority is refused by the peer listener', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const other = await createCertificates()
  const options = { ...statusOptions(other), ca: this.certificates!.authority }
  const outcome = await probe(fleet.routers[0]!.process.listening['peers']!, STATUS_PATH, options)
  assert.equal(typeof outcome, 'string', `answered with status ${outcome}`)
})

When('the router is started with the settings file:', function (this: OperationWorld, settings: string) {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), 'router.yaml')
  writeFileSync(file, settings)
  const ended = spawnSync(process.execPath, [binaryFile('router'), '--settings', file], { encoding: 'utf8' })
  this.ended = { code: ended.status, message: ended.stderr }
})

Then('it ends with exit code {int} and a message that has {string} and {string}', function (this: OperationWorld, code: number, key: string, allowed: string) {
  assert.equal(this.ended!.code, code)
  assert.ok(this.ended!.message.includes(key) && this.ended!.message.includes(allowed), this.ended!.message)
})

Given('engines that ignore fencing numbers', function (this: OperationWorld) {
  this.configure({ engineSettings: { checksFencing: false } })
})

When('an operator orders {string} to load the model {string}', async function (this: OperationWorld, backendServer: string, name: string) {
  const fleet = await this.fleet()
  await runTableDecision(requestOrder({ backendServer, kind: 'load_model', name, operator: 'test', now: Date.now() }), fleet.platform.ports.table)
  assert.notEqual((await fleet.platform.ports.table.read([orderKey(backendServer, 'load_model')]))[0]!.version, 0n)
})

Then('{string} has the model {string} within {int} s', async function (this: OperationWorld, backendServer: string, name: string, seconds: number) {
  const fleet = await this.fleet()
  await eventually(seconds * 1000, async () => {
    const state = await (await fetch(`${fleet.member(backendServer).address()}/orders`)).json() as { load_model?: string }
    return state.load_model === name ? undefined : `it has ${state.load_model}`
  })
})

When('a paused holder\'s older order for the model {string} reaches {string}', async function (this: OperationWorld, name: string, backendServer: string) {
  const fleet = await this.fleet()
  const response = await fetch(`${fleet.member(backendServer).address()}/orders`, { method: 'POST', body: JSON.stringify({ kind: 'load_model', name, fencingNumber: 0 }) })
  assert.equal(response.status, 200, 'the engine executes the old order')
})
