/** An actor: it owns its state, and other code reaches it only through messages. */
export interface Task<Message> {
  readonly name: string
  /** Queues a message without waiting; messages are handled one at a time, in order. */
  post (message: Message): void
  /** The ask pattern: posts a message with a reply callback and resolves with the reply. */
  ask<Reply>(build: (reply: (value: Reply) => void) => Message): Promise<Reply>
}

/** Options of a task. */
export interface TaskOptions<Message> {
  /** Name for logs and errors. */
  readonly name: string
  /** Handles one message; it must not wait for I/O, which runs in the background and posts its result as a message. */
  readonly handle: (message: Message) => void
  /** Called with errors thrown by `handle`. */
  readonly onError: (error: unknown, message: Message) => void
}

/** Starts a task. Messages posted while another one is handled are queued. */
export function startTask<Message> (options: TaskOptions<Message>): Task<Message> {
  const queue: Message[] = []
  let isDraining = false

  function drainQueue (): void {
    if (isDraining) return
    isDraining = true
    for (let message = queue.shift(); message !== undefined; message = queue.shift()) {
      try {
        options.handle(message)
      } catch (error) {
        options.onError(error, message)
      }
    }
    isDraining = false
  }

  function post (message: Message): void {
    queue.push(message)
    drainQueue()
  }

  return {
    name: options.name,
    post,
    ask: (build) => new Promise((resolve) => post(build(resolve)))
  }
}
