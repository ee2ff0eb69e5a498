import { assertNever, runDecision, startTask } from '@quinceshunt/effects'
import { executeOrder, decodeOrder, ORDER_PREFIX, type EngineOrder, type OrderAnswer, type OrderCommand, type OrderKind, type OrderRow, type RoundOutcome } from '@quinceshunt/orders'
import { z } from 'zod'
import { readBody, sendBackendRequest } from './backendClient.js'
import type { ConfigurationService } from './services.js'
import type { PeerDirectory, Stoppable, TaskContext } from './taskContracts.js'

/** One scan of the order rows in the whole fleet per this time; each instance scans with a share of that rate. */
const ROUND_MILLISECONDS = 2000
const LEASE_MILLISECONDS = 10_000
const ENGINE_MILLISECONDS = 5000
const ANSWER_LIMIT_BYTES = 65_536
const SCAN_LIMIT = 1000

const engineStateSchema = z.partialRecord(z.enum(['load_model', 'load_adapter', 'change_role']), z.string())

type OrderMessage =
  | { readonly kind: 'round' }
  | { readonly kind: 'roundEnded' }

/** Carries out orders to engines. Several instances may; the order rows let only one do so at a time. */
export function createOrderTask (context: TaskContext, peers: PeerDirectory, configuration: ConfigurationService): Stoppable {
  const { clock, logger, metrics, platform, identity } = context
  const stopping = new AbortController()
  let running: Promise<void> | undefined

  const task = startTask<OrderMessage>({
    name: 'order task',
    handle: (message) => {
      switch (message.kind) {
        case 'round':
          // The whole fleet scans at a constant rate, whatever its size.
          if (running !== undefined || Math.random() * (peers.peers().length + 1) >= 1) return
          running = runRound().finally(() => task.post({ kind: 'roundEnded' }))
          return
        case 'roundEnded':
          running = undefined
          return
        default: assertNever(message)
      }
    },
    onError: (error) => logger.error({ error, step: 'order task' }, 'an order message failed')
  })

  async function runRound (): Promise<void> {
    try {
      const { rows } = await platform.table.scan(ORDER_PREFIX, '', SCAN_LIMIT)
      for (const row of rows) {
        const order = decodeOrder(row)
        if (order === undefined || stopping.signal.aborted) continue
        report(order, await runDecision(executeOrder({ incarnation: identity.incarnation, leaseMilliseconds: LEASE_MILLISECONDS }, order), handle))
      }
    } catch (error) {
      logger.debug({ error, step: 'order round', peer: 'platform' }, 'order round ended early; the next one repeats it')
    }
  }

  function report (order: OrderRow, outcome: RoundOutcome): void {
    if (outcome === 'settled' || outcome === 'heldByAnother') return
    metrics.count('engine_orders_total', { kind: order.kind, outcome })
    logger.info({ step: 'engine order', peer: order.backendServer, kind: order.kind, name: order.record.name, outcome }, 'engine order round ended')
  }

  async function handle (command: OrderCommand): Promise<unknown> {
    switch (command.kind) {
      case 'readTime': return clock.now()
      case 'sendOrder': return await sendOrder(command.backendServer, command.order)
      case 'readEngine': return await readEngine(command.backendServer, command.orderKind)
      case 'read': return await platform.table.read(command.keys)
      case 'scan': return await platform.table.scan(command.prefix, command.startAfter, SCAN_LIMIT)
      case 'transact': return await platform.table.transact(command.checks, command.writes)
      default: return assertNever(command)
    }
  }

  function addressOf (backendServer: string): string | undefined {
    const servers = [...configuration.current()?.backendServers.values() ?? []].flat()
    return servers.find((server) => server.id === backendServer)?.address
  }

  async function call (backendServer: string, method: string, content: string): Promise<{ readonly status: number, readonly text: string } | undefined> {
    const address = addressOf(backendServer)
    if (address === undefined) return undefined
    const deadline = clock.now() + ENGINE_MILLISECONDS
    const response = await sendBackendRequest({
      address,
      method,
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      body: Buffer.from(content),
      deadline,
      signal: stopping.signal,
      freshConnection: true
    })
    if (response.kind !== 'answering') return undefined
    const body = await readBody(response.message, ANSWER_LIMIT_BYTES, deadline)
    return body.kind === 'whole' ? { status: response.status, text: body.body.toString('utf8') } : undefined
  }

  async function sendOrder (backendServer: string, order: EngineOrder): Promise<OrderAnswer> {
    const answer = await call(backendServer, 'POST', JSON.stringify(order))
    if (answer === undefined || answer.status >= 500) return { kind: 'unanswered' }
    if (answer.status === 409) return { kind: 'fenced' }
    return answer.status === 200 ? { kind: 'executed' } : { kind: 'refused', problem: `status ${answer.status}` }
  }

  async function readEngine (backendServer: string, kind: OrderKind): Promise<string | undefined> {
    const answer = await call(backendServer, 'GET', '')
    if (answer?.status !== 200) return undefined
    const parsed = engineStateSchema.safeParse(JSON.parse(answer.text))
    return parsed.success ? parsed.data[kind] ?? '' : undefined
  }

  async function schedule (): Promise<void> {
    while (!stopping.signal.aborted) {
      await clock.waitUntil(clock.now() + ROUND_MILLISECONDS, stopping.signal)
      task.post({ kind: 'round' })
    }
  }
  schedule().catch((error) => logger.error({ error, step: 'order task' }, 'the order schedule ended'))

  return {
    stop: async () => {
      stopping.abort()
      await running
    }
  }
}
