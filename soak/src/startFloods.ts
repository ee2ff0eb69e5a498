import { fork } from 'node:child_process'
import type { Flood, FloodOutcome, FloodService } from './flood.js'
import type { FloodNotice, FloodOrder } from './floodProcess.js'

const FLOOD_SCRIPT = new URL('./floodProcess.js', import.meta.url).pathname

/** The callers and backend servers that flood, in a process of their own, so that the sound ones are not delayed. */
export interface FloodControl {
  /** Addresses of the backend servers of the floods, by service. */
  readonly addresses: Readonly<Record<FloodService, string>>
  /** Floods the gateway at an address and resolves when the flood has ended. */
  play (flood: Flood, address: string): Promise<FloodOutcome>
  close (): Promise<void>
}

/** Starts the process. */
export async function startFloods (): Promise<FloodControl> {
  const child = fork(FLOOD_SCRIPT)
  const exited = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  const waiting = new Map<number, (outcome: FloodOutcome) => void>()
  let orders = 0
  const addresses = await new Promise<FloodControl['addresses']>((resolve, reject) => {
    child.once('exit', (code) => reject(new Error(`the process of the floods exited with ${String(code)}`)))
    child.on('message', (notice: FloodNotice) => {
      if (notice.kind === 'listening') resolve(notice.addresses)
      else waiting.get(notice.id)?.(notice.outcome)
    })
  })

  return {
    addresses,
    play: async (flood, address) => {
      const order: FloodOrder = { id: ++orders, flood, address }
      const ended = new Promise<FloodOutcome>((resolve) => waiting.set(order.id, resolve))
      child.send(order)
      return await Promise.race([ended, exited.then(() => { throw new Error(`the process of the floods exited during ${flood.how}`) })])
    },
    close: async () => {
      child.kill('SIGKILL')
      await exited
    }
  }
}
