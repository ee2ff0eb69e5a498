/** Placeholder until measurements are added. */
export async function runMeasurements (only: readonly string[] | undefined, folder: string): Promise<void> {
  throw new Error(`no measurements yet (${only?.join(',') ?? 'all'}, ${folder})`)
}
