import { z } from 'zod'

// Text only: the byte length of an image or audio URL is no upper bound of the tokens of its content.
const contentPartSchema = z.looseObject({ type: z.literal('text'), text: z.string() })

const messageSchema = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(contentPartSchema), z.null()]).optional()
})

/** Fields of a chat completion request that the router uses; all others are passed to the engine unchanged. */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.int().min(1).nullish(),
  max_completion_tokens: z.int().min(1).nullish(),
  n: z.int().nullish()
})

/** A validated chat completion request. */
export type ChatBody = z.infer<typeof chatBodySchema>

/** Outcome of parsing and validating a request body. */
export type ChatBodyOutcome =
  | { readonly kind: 'valid', readonly body: ChatBody }
  | { readonly kind: 'invalidJson', readonly message: string }
  | { readonly kind: 'invalidRequest', readonly param: string, readonly message: string }

/** Parses and validates the body of a chat completion request. */
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
  // Multiple choices would need a token bound and a stream offset for each; no deployment uses them.
  if ((result.data.n ?? 1) !== 1) return { kind: 'invalidRequest', param: 'n', message: `n: ${result.data.n} is not allowed; send 1 or leave it out` }
  return { kind: 'valid', body: result.data }
}

/** Returns the completion token limit of the request, or the model's limit if the request sets none. */
export function completionTokenLimit (body: ChatBody, modelLimit: number): number {
  return body.max_completion_tokens ?? body.max_tokens ?? modelLimit
}

/** Creates the engine's request body, which always sets `max_tokens` and requests usage for streams. */
export function createEngineBody (body: ChatBody, completionTokens: number): Buffer {
  const { max_completion_tokens: omitted, ...rest } = body
  const limitedBody = { ...rest, max_tokens: completionTokens }
  const engineRequest = body.stream === true ? { ...limitedBody, stream_options: { ...body.stream_options, include_usage: true } } : limitedBody
  return Buffer.from(JSON.stringify(engineRequest))
}

/** Fields besides `messages` that engines include in the prompt. */
const ADDITIONAL_PROMPT_FIELDS = ['tools', 'tool_choice', 'functions', 'function_call', 'response_format'] as const

/** Byte length of the additional prompt fields; an upper bound of their tokens, as a token covers at least one byte. */
export function additionalPromptBytes (body: ChatBody): number {
  return ADDITIONAL_PROMPT_FIELDS.reduce((sum, field) => sum + (body[field] === undefined ? 0 : Buffer.byteLength(JSON.stringify(body[field]))), 0)
}
