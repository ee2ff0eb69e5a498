import type { GatewayProcess } from '@quinceshunt/platform-adapter/fixtures'
import { readFileSync } from 'node:fs'

const READ_INTERVAL_MS = 50

/** What the watch needs of a process. */
export type WatchedProcess = Pick<GatewayProcess, 'processId' | 'exited'>

/** What was seen of one gateway process from outside. */
export interface ProcessObservation {
  readonly gateway: number
  readonly generation: number
  /** Highest resident memory that was read, in megabytes. */
  peakMegabytes: number
  /** Exit code of a process that ended without being told to; null after a signal. */
  unexpectedExit?: number | null
}

/** Watches gateway processes. */
export interface GatewayWatch {
  readonly observations: readonly ProcessObservation[]
  watch (gateway: number, process: WatchedProcess): void
  /** The process was told to end. */
  expectExit (process: WatchedProcess): void
  stop (): void
}

function readPeakMegabytes (processId: number): number {
  try {
    return Math.round(Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.[1] ?? 0) / 1024)
  } catch {
    return 0
  }
}

/** Creates a watch that reads the peak memory of the processes while they run. */
export function watchGateways (): GatewayWatch {
  const observations: ProcessObservation[] = []
  const running = new Map<WatchedProcess, ProcessObservation>()
  const timer = setInterval(() => {
    for (const [process, observation] of running) observation.peakMegabytes = Math.max(observation.peakMegabytes, readPeakMegabytes(process.processId))
  }, READ_INTERVAL_MS)

  return {
    observations,
    watch: (gateway, process) => {
      const observation: ProcessObservation = { gateway, generation: observations.filter((other) => other.gateway === gateway).length, peakMegabytes: 0 }
      observations.push(observation)
      running.set(process, observation)
      process.exited.then((code) => { if (running.delete(process)) observation.unexpectedExit = code }, () => {})
    },
    expectExit: (process) => { running.delete(process) },
    stop: () => {
      clearInterval(timer)
      running.clear()
    }
  }
}
