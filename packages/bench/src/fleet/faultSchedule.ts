import type { Fleet } from '@quinceshunt/scenarios'
import { z } from 'zod'

const instanceSchema = z.string().min(1)
const serviceSchema = z.enum(['table', 'objects', 'instances']).optional()
const timingFields = {
  /** Seconds after the start of the load. */
  atSeconds: z.number().nonnegative(),
  /** Duration; until the end of the run if omitted. */
  forSeconds: z.number().positive().optional()
}

/** One fault to inject; described in docs/experiments.md. */
export const faultSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('platformDown'), ...timingFields, service: serviceSchema, instance: instanceSchema.optional() }),
  z.strictObject({ kind: z.literal('platformSlow'), ...timingFields, service: serviceSchema, instance: instanceSchema.optional(), delayMilliseconds: z.int().positive() }),
  z.strictObject({ kind: z.literal('loseReplies'), ...timingFields, service: serviceSchema, instance: instanceSchema.optional(), probability: z.number().min(0).max(1) }),
  z.strictObject({ kind: z.literal('isolate'), ...timingFields, instance: instanceSchema, state: z.enum(['refused', 'stalled']).optional() }),
  z.strictObject({ kind: z.literal('cut'), ...timingFields, instances: z.tuple([instanceSchema, instanceSchema]), state: z.enum(['refused', 'stalled']).optional() }),
  z.strictObject({ kind: z.literal('pause'), ...timingFields, instance: instanceSchema }),
  z.strictObject({ kind: z.literal('kill'), ...timingFields, instance: instanceSchema }),
  z.strictObject({ kind: z.literal('terminate'), ...timingFields, instance: instanceSchema })
])

export type Fault = z.infer<typeof faultSchema>

/** Handle of the scheduled faults of a run. */
export interface FaultSchedule {
  /** Cancels pending faults, clears platform and network faults and resumes paused processes. */
  stop (): Promise<void>
}

/** Schedules the faults of a run. A fault that fails is reported to `onError`, and the run continues without it. */
export function scheduleFaults (fleet: Fleet, faults: readonly Fault[], onError: (error: unknown) => void): FaultSchedule {
  const timers: NodeJS.Timeout[] = []
  for (const fault of faults) {
    timers.push(setTimeout(() => { injectFault(fleet, fault).catch(onError) }, fault.atSeconds * 1000))
    if (fault.forSeconds !== undefined) timers.push(setTimeout(() => { clearFault(fleet, fault).catch(onError) }, (fault.atSeconds + fault.forSeconds) * 1000))
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

async function injectFault (fleet: Fleet, fault: Fault): Promise<void> {
  switch (fault.kind) {
    case 'platformDown': return await fleet.platform.setFault({ kind: 'down', ...faultScope(fault) })
    case 'platformSlow': return await fleet.platform.setFault({ kind: 'slow', delayMilliseconds: fault.delayMilliseconds, ...faultScope(fault) })
    case 'loseReplies': return await fleet.platform.setFault({ kind: 'loseReplies', probability: fault.probability, ...faultScope(fault) })
    case 'isolate': return fleet.network.isolate(fault.instance, fault.state)
    case 'cut': return fleet.network.cut(...fault.instances, fault.state)
    case 'pause': return fleet.member(fault.instance).pause()
    case 'kill': await fleet.member(fault.instance).kill(); return
    case 'terminate': await fleet.member(fault.instance).terminate()
  }
}

function faultScope (fault: { readonly service?: 'table' | 'objects' | 'instances' | undefined, readonly instance?: string | undefined }): { service?: 'table' | 'objects' | 'instances', instanceId?: string } {
  return { ...(fault.service === undefined ? {} : { service: fault.service }), ...(fault.instance === undefined ? {} : { instanceId: fault.instance }) }
}

/** Clearing a platform or network fault clears all others of that kind too; an ended process restarts as a new incarnation. */
async function clearFault (fleet: Fleet, fault: Fault): Promise<void> {
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
