import { z } from 'zod'

// Only text: the tokens of an image or a recording can't be bounded by the bytes of its address.
const contentPartSchema = z.looseObject({ type: z.literal('text'), text: z.string() })

const messageSchema = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(contentPartSchema), z.null()]).optional()
})

/** The parts of a chat completion request that the router acts on; everything else passes through. */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  n: z.int().nullish()
})

/** A checked chat completion request. */
export type ChatBody = z.infer<typeof chatBodySchema>

/** Result of checking a caller's body. */
export type ChatBodyOutcome =
  | { readonly kind: 'valid', readonly body: ChatBody }
  | { readonly kind: 'invalidJson', readonly message: string }
  | { readonly kind: 'invalidRequest', readonly param: string, readonly message: string }

/** Parses and checks the body of a chat completion request. */
export function parseChatBody (bytes: Buffer): ChatBodyOutcome {
  let json: unknown
  try {
    json = JSON.parse(bytes.toString('utf8'))
  } catch (error) {
    return { kind: 'invalidJson', message: `the body is not valid JSON: ${(error as Error).message}` }
  }
  const result = chatBodySchema.safeParse(json)
  if (!result.success) {
    const issue = result.error.issues[0]
    const param = issue?.path.join('.') ?? ''
    return { kind: 'invalidRequest', param, message: `${param === '' ? 'the body' : param}: ${issue?.message ?? 'not allowed'}` }
  }
  // Several choices would need several bounds and stream offsets; none of the deployments uses them.
  if ((result.data.n ?? 1) !== 1) return { kind: 'invalidRequest', param: 'n', message: `n: ${result.data.n} is not allowed; send 1 or leave it out` }
  return { kind: 'valid', body: result.data }
}

/** Largest number of completion tokens that the caller asks for; the model's limit when it asks for none. */
export function requestedCompletionTokens (body: ChatBody, modelLimit: number): number {
  return body.max_completion_tokens ?? body.max_tokens ?? modelLimit
}

/** Body sent to the engine: always bounded, and always with a usage report. */
export function engineBody (body: ChatBody, completionTokens: number): Buffer {
  const { max_completion_tokens: ignored, ...rest } = body
  const bounded = { ...rest, max_tokens: completionTokens }
  const streamed = body.stream === true ? { ...bounded, stream_options: { ...body.stream_options, include_usage: true } } : bounded
  return Buffer.from(JSON.stringify(streamed))
}

/** Fields besides the messages that engines render into the prompt. */
const PROMPT_FIELDS = ['tools', 'tool_choice', 'functions', 'function_call', 'response_format'] as const

/** Upper bound of the prompt tokens that fields besides the messages add: a token covers at least one byte. */
export function extraPromptBytes (body: ChatBody): number {
  return PROMPT_FIELDS.reduce((sum, field) => sum + (body[field] === undefined ? 0 : Buffer.byteLength(JSON.stringify(body[field]))), 0)
}
