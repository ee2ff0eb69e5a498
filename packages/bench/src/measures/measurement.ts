import type { Measurements } from '../experiment/experiment.js'

/** A measurement that starts a fleet of its own. */
export interface Measurement {
  readonly name: string
  /** What is measured and under which conditions; printed as progress. */
  readonly description: string
  run (reportProgress: (text: string) => void): Promise<Measurements>
}

export function sleep (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}
