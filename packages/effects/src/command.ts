declare const responseType: unique symbol

/** A typed request that a decision yields to its runner; `Response` is the type of the result. */
export interface Command<Kind extends string, Response = void> {
  readonly kind: Kind
  /** Phantom property for the response type; absent at run time. */
  readonly [responseType]?: Response
}

/** Response type of a command. */
export type ResponseOf<Yielded> = Yielded extends Command<string, infer Response> ? Response : never

/** Control flow without side effects: a generator that yields commands to a runner and returns a result. */
export type Decision<Yielded, Result> = Generator<Yielded, Result, unknown>

/** Yields one command and returns its typed response: `const row = yield * perform(readRow)`. */
export function * perform<Yielded extends Command<string, unknown>> (
  command: Yielded
): Decision<Yielded, ResponseOf<Yielded>> {
  return (yield command) as ResponseOf<Yielded>
}

/** Runs a decision; an error of a command is thrown into the decision at its `yield`. */
export async function runDecision<Yielded, Result> (
  decision: Decision<Yielded, Result>,
  handle: (command: Yielded) => unknown
): Promise<Result> {
  let step = decision.next()
  while (step.done !== true) {
    let response: unknown
    try {
      response = await handle(step.value)
    } catch (error) {
      step = decision.throw(error)
      continue
    }
    step = decision.next(response)
  }
  return step.value
}

/** Default case of an exhaustive switch: a missing case is a compile-time error. */
export function assertNever (value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`)
}
