import { createRandom, type SeededRandom } from './random.js'
import type { RequestClass } from './mixes.js'

/** One request to be sent at its time, whether or not earlier ones have been answered. */
export interface PlannedRequest {
  readonly number: number
  /** Milliseconds after the start of the load. */
  readonly atMilliseconds: number
  readonly requestClass: RequestClass
  readonly account: string
  /** Draw from 0 to 1 that picks the router, as a balancer would. */
  readonly routerShare: number
  /** Prompt of a chat, body of an action, path of a query. */
  readonly content: string
  /** Completion tokens of a chat; 0 for plain services. */
  readonly answerTokens: number
}

/** What to plan. */
export interface PlanOptions {
  readonly seed: number
  readonly durationMilliseconds: number
  readonly requestsPerSecond: number
  readonly mix: readonly RequestClass[]
  /** Accounts with their relative number of requests. */
  readonly accounts: readonly { readonly id: string, readonly share: number }[]
}

const WORDS = ['ochre', 'umber', 'pledge', 'parish', 'brush', 'resin', 'basket', 'maize', 'glaze', 'primer', 'roof', 'river', 'lantern', 'sleeve', 'ledger', 'stipple']

/** Plans arrivals as a Poisson process; the same options give the same plan. */
export function planRequests (options: PlanOptions): PlannedRequest[] {
  const random = createRandom(options.seed)
  const documents = new Map<string, string>()
  const planned: PlannedRequest[] = []
  const ratePerMillisecond = options.requestsPerSecond / 1000
  for (let at = random.interval(ratePerMillisecond); at < options.durationMilliseconds; at += random.interval(ratePerMillisecond)) {
    const number = planned.length
    const requestClass = random.pick(options.mix, (candidate) => candidate.share)
    const account = random.pick(options.accounts, (candidate) => candidate.share).id
    const answerTokens = requestClass.kind === 'chat' ? random.between(...requestClass.answerTokens) : 0
    const content = writeContent(requestClass, account, number, answerTokens, random, documents)
    planned.push({ number, atMilliseconds: at, requestClass, account, routerShare: random.share(), content, answerTokens })
  }
  return planned
}

function writeContent (requestClass: RequestClass, account: string, number: number, answerTokens: number, random: SeededRandom, documents: Map<string, string>): string {
  switch (requestClass.kind) {
    case 'query': return `${random.between(1, 1000)}`
    case 'action': return JSON.stringify({ number, note: writeText(random, requestClass.bodyBytes) })
    case 'chat': {
      const name = `${account}/${requestClass.name}/${random.between(1, requestClass.documents)}`
      const document = documents.get(name) ?? `${name}: ${writeText(random, requestClass.documentBytes)}`
      documents.set(name, document)
      return `${document}\nQuestion ${number}: ${writeText(random, requestClass.questionBytes)} [tokens:${answerTokens}]`
    }
  }
}

function writeText (random: SeededRandom, bytes: number): string {
  let text = ''
  while (text.length < bytes) text += `${WORDS[random.between(0, WORDS.length - 1)]} `
  return text.slice(0, bytes)
}
