import type { Fleet } from '@quinceshunt/scenarios'
import { z } from 'zod'

const target = z.string().min(1)
const service = z.enum(['table', 'objects', 'instances']).optional()
const common = {
  /** Seconds after the start of the load. */
  atSeconds: z.number().nonnegative(),
  /** How long it lasts; without it, until the end of the run. */
  forSeconds: z.number().positive().optional()
}

/** One fault of a run; described in docs/experiments.md. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('platformDown'), ...common, service, instance: target.optional() }),
  z.strictObject({ kind: z.literal('platformSlow'), ...common, service, instance: target.optional(), delayMilliseconds: z.int().positive() }),
  z.strictObject({ kind: z.literal('loseReplies'), ...common, service, instance: target.optional(), probability: z.number().min(0).max(1) }),
  z.strictObject({ kind: z.literal('isolate'), ...common, instance: target, state: z.enum(['refused', 'stalled']).optional() }),
  z.strictObject({ kind: z.literal('cut'), ...common, instances: z.tuple([target, target]), state: z.enum(['refused', 'stalled']).optional() }),
  z.strictObject({ kind: z.literal('pause'), ...common, instance: target }),
  z.strictObject({ kind: z.literal('kill'), ...common, instance: target }),
  z.strictObject({ kind: z.literal('terminate'), ...common, instance: target })
])

export type Fault = z.infer<typeof faultSchema>

/** Faults that are running their course. */
export interface FaultSchedule {
  /** Ends all faults at once. */
  stop (): Promise<void>
}

/** Starts the faults of a run; errors of faults are reported, since the run goes on without them. */
export function startFaults (fleet: Fleet, faults: readonly Fault[], onError: (error: unknown) => void): FaultSchedule {
  const timers: NodeJS.Timeout[] = []
  for (const fault of faults) {
    timers.push(setTimeout(() => { begin(fleet, fault).catch(onError) }, fault.atSeconds * 1000))
    if (fault.forSeconds !== undefined) timers.push(setTimeout(() => { end(fleet, fault).catch(onError) }, (fault.atSeconds + fault.forSeconds) * 1000))
  }
  return {
    stop: async () => {
      timers.forEach(clearTimeout)
      await fleet.platform.clearFaults()
      fleet.network.heal()
      for (const fault of faults) if (fault.kind === 'pause') fleet.member(fault.instance).resume()
    }
  }
}

async function begin (fleet: Fleet, fault: Fault): Promise<void> {
  switch (fault.kind) {
    case 'platformDown': return await fleet.platform.setFault({ kind: 'down', ...scopeOf(fault) })
    case 'platformSlow': return await fleet.platform.setFault({ kind: 'slow', delayMilliseconds: fault.delayMilliseconds, ...scopeOf(fault) })
    case 'loseReplies': return await fleet.platform.setFault({ kind: 'loseReplies', probability: fault.probability, ...scopeOf(fault) })
    case 'isolate': return fleet.network.isolate(fault.instance, fault.state)
    case 'cut': return fleet.network.cut(...fault.instances, fault.state)
    case 'pause': return fleet.member(fault.instance).pause()
    case 'kill': await fleet.member(fault.instance).kill(); return
    case 'terminate': await fleet.member(fault.instance).terminate()
  }
}

function scopeOf (fault: { readonly service?: 'table' | 'objects' | 'instances' | undefined, readonly instance?: string | undefined }): { service?: 'table' | 'objects' | 'instances', instanceId?: string } {
  return { ...(fault.service === undefined ? {} : { service: fault.service }), ...(fault.instance === undefined ? {} : { instanceId: fault.instance }) }
}

/** Platform faults and cuts end all of their kind together; an ended process is started again as a new incarnation. */
async function end (fleet: Fleet, fault: Fault): Promise<void> {
  switch (fault.kind) {
    case 'platformDown':
    case 'platformSlow':
    case 'loseReplies': return await fleet.platform.clearFaults()
    case 'isolate':
    case 'cut': return fleet.network.heal()
    case 'pause': return fleet.member(fault.instance).resume()
    case 'kill':
    case 'terminate': await fleet.member(fault.instance).restart()
  }
}
