import { assertNever, runDecision, startTask } from '@quinceshunt/effects'
import { executeOrder, decodeOrder, ORDER_PREFIX, type EngineOrder, type OrderAnswer, type OrderCommand, type OrderKind, type OrderRow, type RoundOutcome } from '@quinceshunt/orders'
import { z } from 'zod'
import { readBody, sendBackendRequest } from './backendClient.js'
import { parseJson } from './parseJson.js'
import { newRequestId } from './requestIds.js'
import type { ConfigurationService } from './services.js'
import type { PeerDirectory, Stoppable, TaskContext } from './taskContracts.js'

/** The fleet as a whole scans the order rows about once per interval; each instance does its share of the scans. */
const FLEET_SCAN_INTERVAL_MS = 2000
const ORDER_LEASE_MS = 10_000
const ENGINE_TIMEOUT_MS = 5000
const MAX_RESPONSE_BYTES = 65_536
const MAX_SCAN_ROWS = 1000

const engineStateSchema = z.partialRecord(z.enum(['load_model', 'load_adapter', 'change_role']), z.string())

type OrderMessage =
  | { readonly kind: 'round' }
  | { readonly kind: 'roundEnded' }

/** Executes orders to engines. Every instance runs this task; leases in the order rows let only one execute an order at a time. */
export function createOrderTask (context: TaskContext, peers: PeerDirectory, configuration: ConfigurationService): Stoppable {
  const { clock, logger, metrics, platform, identity } = context
  const stopping = new AbortController()
  let running: Promise<void> | undefined

  const task = startTask<OrderMessage>({
    name: 'order task',
    handle: (message) => {
      switch (message.kind) {
        case 'round':
          // Scans with a probability of 1/instances, so that the fleet's scan rate does not depend on its size.
          if (running !== undefined || Math.random() * (peers.peers().length + 1) >= 1) return
          running = runRound().finally(() => task.post({ kind: 'roundEnded' }))
          return
        case 'roundEnded':
          running = undefined
          return
        default: assertNever(message)
      }
    },
    onError: (error) => logger.error({ error, step: 'order task' }, 'failed to handle an order task message')
  })

  async function runRound (): Promise<void> {
    try {
      const { rows } = await platform.table.scan(ORDER_PREFIX, '', MAX_SCAN_ROWS)
      for (const row of rows) {
        const order = decodeOrder(row)
        if (order === undefined || stopping.signal.aborted) continue
        reportOutcome(order, await runDecision(executeOrder({ incarnation: identity.incarnation, leaseMilliseconds: ORDER_LEASE_MS }, order), runOrderCommand))
      }
    } catch (error) {
      logger.debug({ error, step: 'order round', peer: 'platform' }, 'order round failed; the next round retries it')
    }
  }

  function reportOutcome (order: OrderRow, outcome: RoundOutcome): void {
    if (outcome === 'settled' || outcome === 'heldByAnother') return
    metrics.count('engine_orders_total', { kind: order.kind, outcome })
    logger.info({ step: 'engine order', peer: order.backendServer, kind: order.kind, name: order.record.name, outcome }, 'processed an engine order')
  }

  async function runOrderCommand (command: OrderCommand): Promise<unknown> {
    switch (command.kind) {
      case 'readTime': return clock.now()
      case 'sendOrder': return await sendOrder(command.backendServer, command.order)
      case 'readEngine': return await readEngine(command.backendServer, command.orderKind)
      case 'read': return await platform.table.read(command.keys)
      case 'scan': return await platform.table.scan(command.prefix, command.startAfter, MAX_SCAN_ROWS)
      case 'transact': return await platform.table.transact(command.checks, command.writes)
      default: return assertNever(command)
    }
  }

  function findAddress (backendServer: string): string | undefined {
    const servers = [...configuration.current()?.backendServers.values() ?? []].flat()
    return servers.find((server) => server.id === backendServer)?.address
  }

  async function callEngine (backendServer: string, method: string, content: string): Promise<{ readonly status: number, readonly text: string } | undefined> {
    const address = findAddress(backendServer)
    if (address === undefined) return undefined
    const deadline = clock.now() + ENGINE_TIMEOUT_MS
    const response = await sendBackendRequest({
      address,
      method,
      path: '/orders',
      headers: { 'x-request-id': newRequestId(), 'content-type': 'application/json' },
      body: Buffer.from(content),
      deadline,
      signal: stopping.signal,
      freshConnection: true
    })
    if (response.kind !== 'answering') return undefined
    const body = await readBody(response.message, { limitBytes: MAX_RESPONSE_BYTES, deadline })
    return body.kind === 'whole' ? { status: response.status, text: body.body.toString('utf8') } : undefined
  }

  async function sendOrder (backendServer: string, order: EngineOrder): Promise<OrderAnswer> {
    const answer = await callEngine(backendServer, 'POST', JSON.stringify(order))
    if (answer === undefined || answer.status >= 500) return { kind: 'unanswered' }
    if (answer.status === 409) return { kind: 'fenced' }
    return answer.status === 200 ? { kind: 'executed' } : { kind: 'refused', problem: `status ${answer.status}` }
  }

  async function readEngine (backendServer: string, kind: OrderKind): Promise<string | undefined> {
    const answer = await callEngine(backendServer, 'GET', '')
    if (answer?.status !== 200) return undefined
    const state = parseJson(engineStateSchema, answer.text)
    return state === undefined ? undefined : state[kind] ?? ''
  }

  async function schedule (): Promise<void> {
    while (!stopping.signal.aborted) {
      await clock.waitUntil(clock.now() + FLEET_SCAN_INTERVAL_MS, stopping.signal)
      task.post({ kind: 'round' })
    }
  }
  schedule().catch((error) => logger.error({ error, step: 'order task' }, 'the order schedule failed'))

  return {
    stop: async () => {
      stopping.abort()
      await running
    }
  }
}
