import type { Measurements } from '../experiment/experiment.js'

/** One measurement of the fleet. */
export interface Measurement {
  readonly name: string
  /** What is measured, for the table. */
  readonly description: string
  run (note: (text: string) => void): Promise<Measurements>
}

/** Waits for a time in milliseconds. */
export function pause (milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds))
}
