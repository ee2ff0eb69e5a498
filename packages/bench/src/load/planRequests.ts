import { createRandom, type SeededRandom } from './random.js'
import type { RequestClass } from './mixes.js'

/** One request of an open-loop load: it is sent at its time even if earlier requests are still in progress. */
export interface PlannedRequest {
  readonly number: number
  /** Milliseconds after the start of the load. */
  readonly arrivalMilliseconds: number
  readonly requestClass: RequestClass
  readonly account: string
  /** Uniform random number from 0 up to but without 1, from which the load balancer picks the router. */
  readonly routerDraw: number
  /** Prompt of a chat, body of an action or last path segment of a query. */
  readonly content: string
  /** Completion tokens of a chat; 0 for plain services. */
  readonly answerTokens: number
}

export interface PlanOptions {
  readonly seed: number
  readonly durationMilliseconds: number
  readonly requestsPerSecond: number
  readonly mix: readonly RequestClass[]
  /** Client accounts with their relative shares of requests. */
  readonly accounts: readonly { readonly id: string, readonly share: number }[]
}

const WORDS = ['ochre', 'umber', 'pledge', 'parish', 'brush', 'resin', 'basket', 'maize', 'glaze', 'primer', 'roof', 'river', 'lantern', 'sleeve', 'ledger', 'stipple']

/** Plans requests with Poisson arrivals; the same options give the same plan. */
export function planRequests (options: PlanOptions): PlannedRequest[] {
  const random = createRandom(options.seed)
  const documents = new Map<string, string>()
  const planned: PlannedRequest[] = []
  const ratePerMillisecond = options.requestsPerSecond / 1000
  for (let arrivalMilliseconds = random.exponential(ratePerMillisecond); arrivalMilliseconds < options.durationMilliseconds; arrivalMilliseconds += random.exponential(ratePerMillisecond)) {
    const number = planned.length
    const requestClass = random.weightedChoice(options.mix, (candidate) => candidate.share)
    const account = random.weightedChoice(options.accounts, (candidate) => candidate.share).id
    const answerTokens = requestClass.kind === 'chat' ? random.integer(...requestClass.answerTokens) : 0
    const content = generateContent(requestClass, account, number, answerTokens, random, documents)
    planned.push({ number, arrivalMilliseconds, requestClass, account, routerDraw: random.uniform(), content, answerTokens })
  }
  return planned
}

function generateContent (requestClass: RequestClass, account: string, number: number, answerTokens: number, random: SeededRandom, documents: Map<string, string>): string {
  switch (requestClass.kind) {
    case 'query': return `${random.integer(1, 1000)}`
    case 'action': return JSON.stringify({ number, note: generateText(random, requestClass.bodyBytes) })
    case 'chat': {
      const documentName = `${account}/${requestClass.name}/${random.integer(1, requestClass.documents)}`
      const document = documents.get(documentName) ?? `${documentName}: ${generateText(random, requestClass.documentBytes)}`
      documents.set(documentName, document)
      return `${document}\nQuestion ${number}: ${generateText(random, requestClass.questionBytes)} [tokens:${answerTokens}]`
    }
  }
}

function generateText (random: SeededRandom, bytes: number): string {
  let text = ''
  while (text.length < bytes) text += `${WORDS[random.integer(0, WORDS.length - 1)]} `
  return text.slice(0, bytes)
}
