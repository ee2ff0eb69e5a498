import type { z } from 'zod'

/** Parses a JSON text; undefined when it is malformed, as one that was cut off is, or doesn't match. */
export function parseJson<Schema extends z.ZodType> (schema: Schema, text: string): z.infer<Schema> | undefined {
  try {
    const result = schema.safeParse(JSON.parse(text))
    return result.success ? result.data : undefined
  } catch {
    return undefined
  }
}
