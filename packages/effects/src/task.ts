/** A task owns its state; others reach it only by posting messages. */
export interface Task<Message> {
  readonly name: string
  /** Queues a message; messages are handled one at a time, in order. */
  post (message: Message): void
  /** Posts a message that carries a reply callback and resolves with the reply. */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message): Promise<Reply>
}

/** What a task needs to run. */
export interface TaskOptions<Message> {
  /** Name for logs and errors. */
  readonly name: string
  /** Handles one message; it must not wait for input or output, which belongs in a background call that posts its result. */
  readonly handle: (message: Message) => void
  /** Told of errors thrown by `handle`. */
  readonly onError: (error: unknown, message: Message) => void
}

/** Starts a task. Messages posted while one is handled wait in order. */
export function startTask<Message> (options: TaskOptions<Message>): Task<Message> {
  const waiting: Message[] = []
  let handling = false

  function drain (): void {
    if (handling) return
    handling = true
    for (let message = waiting.shift(); message !== undefined; message = waiting.shift()) {
      try {
        options.handle(message)
      } catch (error) {
        options.onError(error, message)
      }
    }
    handling = false
  }

  function post (message: Message): void {
    waiting.push(message)
    drain()
  }

  return {
    name: options.name,
    post,
    ask: (build) => new Promise((resolve) => post(build(resolve)))
  }
}
