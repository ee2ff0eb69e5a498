import { floodFromBackend, startFloodBackends } from './backendFloods.js'
import { floodFromCallers } from './callerFloods.js'
import type { Flood, FloodOutcome, FloodService } from './flood.js'

/** Asks this process for a flood of the gateway at `address`. */
export interface FloodOrder {
  readonly id: number
  readonly flood: Flood
  readonly address: string
}

/** Sent once, when the backend servers listen, and after each flood. */
export type FloodNotice =
  | { readonly kind: 'listening', readonly addresses: Readonly<Record<FloodService, string>> }
  | { readonly kind: 'ended', readonly id: number, readonly outcome: FloodOutcome }

async function play ({ id, flood, address }: FloodOrder): Promise<FloodOutcome> {
  const endsAt = Date.now() + flood.lasts
  if (flood.kind === 'backendFlood') return await floodFromBackend(address, flood.how, flood.requests, id, endsAt)
  await floodFromCallers(address, flood.how, endsAt)
  return { statuses: {}, alteredAnswers: [] }
}

function notify (notice: FloodNotice): void {
  process.send?.(notice)
}

process.on('message', (order: FloodOrder) => {
  play(order).then((outcome) => notify({ kind: 'ended', id: order.id, outcome }), () => process.exit(1))
})
process.on('disconnect', () => process.exit(0))
notify({ kind: 'listening', addresses: await startFloodBackends() })
