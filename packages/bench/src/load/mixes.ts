import { z } from 'zod'

/** One request class of a mix. */
export const requestClassSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('chat'),
    name: z.string().min(1),
    /** Relative share of requests. */
    share: z.number().positive(),
    streamed: z.boolean(),
    /** Size of the prompt prefix that several requests share. */
    documentBytes: z.int().nonnegative(),
    /** Number of shared documents per client account. */
    documents: z.int().positive(),
    /** Size of the part of the prompt that is unique to the request. */
    questionBytes: z.int().positive(),
    answerTokens: z.tuple([z.int().positive(), z.int().positive()])
  }),
  z.strictObject({
    kind: z.literal('action'),
    name: z.string().min(1),
    share: z.number().positive(),
    bodyBytes: z.int().nonnegative()
  }),
  z.strictObject({
    kind: z.literal('query'),
    name: z.string().min(1),
    share: z.number().positive()
  })
])

export type RequestClass = z.infer<typeof requestClassSchema>

/** Request mixes of the two deployments in section 1 of the design page. */
export const mixes: Readonly<Record<'taller' | 'fundacion', readonly RequestClass[]>> = {
  taller: [
    { kind: 'chat', name: 'paintingPlan', share: 5, streamed: true, documentBytes: 24_000, documents: 4, questionBytes: 400, answerTokens: [200, 400] },
    { kind: 'chat', name: 'colourChat', share: 25, streamed: true, documentBytes: 600, documents: 1, questionBytes: 200, answerTokens: [30, 90] },
    { kind: 'action', name: 'depositConfirmation', share: 10, bodyBytes: 300 },
    { kind: 'query', name: 'orderStatus', share: 60 }
  ],
  fundacion: [
    { kind: 'chat', name: 'ledgerSummary', share: 4, streamed: true, documentBytes: 48_000, documents: 2, questionBytes: 300, answerTokens: [250, 450] },
    { kind: 'chat', name: 'doorQuestion', share: 46, streamed: true, documentBytes: 500, documents: 1, questionBytes: 150, answerTokens: [20, 70] },
    { kind: 'action', name: 'pledge', share: 10, bodyBytes: 200 },
    { kind: 'query', name: 'householdLookup', share: 40 }
  ]
}
