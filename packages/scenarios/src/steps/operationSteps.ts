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
import { bearerKeyOf } from '../fleet/fleetSheet.js'
import { binaryPath } from '../launcher/binaries.js'
import { eventually } from './eventually.js'
import { FleetWorld } from './world.js'

const TRACE_EXPORT_TIMEOUT_MS = 10_000
const PEER_DISCOVERY_TIMEOUT_MS = 5000

interface ExportedSpan {
  readonly traceId: string
  readonly spanId: string
  readonly parentSpanId?: string
  readonly name: string
}

interface OperationWorld extends FleetWorld {
  traces?: { readonly server: Server, readonly spans: ExportedSpan[] }
  certificates?: Certificates
  exit?: { readonly code: number | null, readonly message: string }
}

interface TraceExport {
  readonly resourceSpans: readonly { readonly scopeSpans: readonly { readonly spans: readonly ExportedSpan[] }[] }[]
}

/** Stand-in for a trace collector: receives OTLP exports as JSON. */
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
  const response = await sendChat({ address: fleet.routers[0]!.address(), key: bearerKeyOf(fleet.accounts[0]!.id), model: fleet.names.model, messages: [{ role: 'user', content: 'hello [tokens:3]' }], stream: true, headers: { traceparent } })
  assert.equal(response.complete, true)
})

Then('the trace has the spans {string} and {string}, each a child of the one before', async function (this: OperationWorld, first: string, second: string) {
  const { spans, server } = this.traces!
  await eventually(TRACE_EXPORT_TIMEOUT_MS, async () => {
    const traceSpans = spans.filter((span) => span.traceId === '0af7651916cd43dd8448eb211c80319c')
    const outer = traceSpans.find((span) => span.name === first)
    const inner = traceSpans.find((span) => span.name === second)
    if (outer === undefined || inner === undefined) return `spans so far: ${traceSpans.map((span) => span.name).join(', ')}`
    if (outer.parentSpanId !== 'b7ad6b7169203331') return `parent of ${first} is ${outer.parentSpanId}`
    return inner.parentSpanId === outer.spanId ? undefined : `parent of ${second} is ${inner.parentSpanId}`
  })
  server.close()
})

Given('a fleet of {int} routers with certificates of one certificate authority', async function (this: OperationWorld, routers: number) {
  this.certificates = await createCertificates()
  const { certificateFile, keyFile, authorityFile } = this.certificates
  const tls = { enabled: true, certificateFile, keyFile, authorityFile }
  this.configure({ routers, routerSettings: { callersTls: tls, peersTls: tls } })
})

/** Resolves with the status of an HTTPS request, or with the error code of a failed connection. */
function sendHttpsRequest (address: string, path: string, options: RequestOptions): Promise<number | string> {
  return new Promise((resolve) => {
    const client = request(new URL(path, address), { ...options, agent: false }, (message) => {
      message.resume()
      resolve(message.statusCode ?? 0)
    })
    client.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message))
    client.end()
  })
}

Then('a caller that trusts the certificate authority gets a response over HTTPS', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const headers = { authorization: `Bearer ${bearerKeyOf(fleet.accounts[0]!.id)}` }
  const address = fleet.routers[0]!.address()
  assert.ok(address.startsWith('https://'))
  assert.equal(await sendHttpsRequest(address, '/v1/models', { ca: this.certificates!.authority, headers }), 200)
  // Without the authority the caller can't verify the router, which shows that the router presents the certificate.
  assert.notEqual(await sendHttpsRequest(address, '/v1/models', { headers }), 200)
})

Then('the routers list each other as peers', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  for (const router of fleet.routers) {
    await eventually(PEER_DISCOVERY_TIMEOUT_MS, async () => {
      const peers = await countPeers(router.process.listening['peers']!, this.certificates!)
      return peers === fleet.routers.length - 1 ? undefined : `${router.id} has ${peers} peers`
    })
  }
})

const PEER_STATUS_PATH = '/quinceshunt.v1.PeerService/Status'

function statusRequestOptions (certificates: Certificates): RequestOptions {
  return { method: 'POST', headers: { 'content-type': 'application/json' }, ca: certificates.authority, cert: certificates.certificate, key: certificates.key }
}

function countPeers (address: string, certificates: Certificates): Promise<number> {
  return new Promise((resolve, reject) => {
    const client = request(new URL(PEER_STATUS_PATH, address), { ...statusRequestOptions(certificates), agent: false }, (message) => {
      const parts: Buffer[] = []
      message.on('data', (part: Buffer) => parts.push(part))
      message.on('end', () => resolve((JSON.parse(Buffer.concat(parts).toString('utf8')) as { peers?: unknown[] }).peers?.length ?? 0))
    })
    client.on('error', reject)
    client.end('{}')
  })
}

Then('a client without a certificate is rejected by the peer listener', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const { method, headers, ca } = statusRequestOptions(this.certificates!)
  const outcome = await sendHttpsRequest(fleet.routers[0]!.process.listening['peers']!, PEER_STATUS_PATH, { method, headers, ca } as RequestOptions)
  assert.equal(typeof outcome, 'string', `responded with status ${outcome}`)
})

Then('a client with a certificate of another certificate authority is rejected by the peer listener', async function (this: OperationWorld) {
  const fleet = await this.fleet()
  const other = await createCertificates()
  const options = { ...statusRequestOptions(other), ca: this.certificates!.authority }
  const outcome = await sendHttpsRequest(fleet.routers[0]!.process.listening['peers']!, PEER_STATUS_PATH, options)
  assert.equal(typeof outcome, 'string', `responded with status ${outcome}`)
})

When('the router is started with the settings file:', function (this: OperationWorld, settings: string) {
  const file = join(mkdtempSync(join(tmpdir(), 'quinceshunt-')), 'router.yaml')
  writeFileSync(file, settings)
  const result = spawnSync(process.execPath, [binaryPath('router'), '--settings', file], { encoding: 'utf8' })
  this.exit = { code: result.status, message: result.stderr }
})

Then('it exits with code {int} and a message that contains {string} and {string}', function (this: OperationWorld, code: number, key: string, allowed: string) {
  assert.equal(this.exit!.code, code)
  assert.ok(this.exit!.message.includes(key) && this.exit!.message.includes(allowed), this.exit!.message)
})

Given('engines that ignore fencing numbers', function (this: OperationWorld) {
  this.configure({ engineSettings: { checksFencing: false } })
})

When('an operator orders {string} to load the model {string}', async function (this: OperationWorld, backendServer: string, name: string) {
  const fleet = await this.fleet()
  await runTableDecision(requestOrder({ backendServer, kind: 'load_model', name, operator: 'test', now: Date.now() }), fleet.platform.client.table)
  assert.notEqual((await fleet.platform.client.table.read([orderKey(backendServer, 'load_model')]))[0]!.version, 0n)
})

Then('{string} has the model {string} within {int} s', async function (this: OperationWorld, backendServer: string, name: string, seconds: number) {
  const fleet = await this.fleet()
  await eventually(seconds * 1000, async () => {
    const state = await (await fetch(`${fleet.member(backendServer).address()}/orders`)).json() as { load_model?: string }
    return state.load_model === name ? undefined : `it has ${state.load_model}`
  })
})

When('an outdated order for the model {string} from a paused lease holder reaches {string}', async function (this: OperationWorld, name: string, backendServer: string) {
  const fleet = await this.fleet()
  const response = await fetch(`${fleet.member(backendServer).address()}/orders`, { method: 'POST', body: JSON.stringify({ kind: 'load_model', name, fencingNumber: 0 }) })
  assert.equal(response.status, 200, 'the engine must execute the outdated order')
})
