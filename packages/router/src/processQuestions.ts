import { handleArrivedEvents } from '@quinceshunt/caller-connections'
import { POLL_TIMEOUT_MS } from './backendPolling.js'
import type { BackendLoad, BackendReader } from './backendReader.js'

/** Until a connection is established. */
const CONNECT_TIMEOUT_MS = 400

/** Reply of a backend server that was asked which process it is. */
export type ProcessReply =
  | { readonly kind: 'told', readonly incarnation: string }
  /** No load report came: from no process, from one that is late, or from a forwarder in its place. */
  | { readonly kind: 'untold', readonly reason: string }

/** What questions need. */
export interface ProcessQuestionsOptions {
  readonly reader: Pick<BackendReader, 'loadOnNewConnection'>
  /** Called with each report that came as a reply. */
  readonly onReport: (address: string, load: BackendLoad) => void
}

/** Asks backend servers which process they are. */
export interface ProcessQuestions {
  /** Asks the process at an address (http://IP:PORT); a question counts that was sent at `since` (by `performance.now`) or later. */
  ask (address: string, since: number): Promise<ProcessReply>
}

interface Question {
  readonly askedAt: number
  readonly reply: Promise<ProcessReply>
}

/** Creates a record without questions; it keeps the last one for each address. */
export function createProcessQuestions (options: ProcessQuestionsOptions): ProcessQuestions {
  const questions = new Map<string, Question>()
  return {
    ask: (address, since) => {
      const last = questions.get(address)
      if (last !== undefined && last.askedAt >= since) return last.reply
      const question = { askedAt: performance.now(), reply: readIncarnation(options, address) }
      questions.set(address, question)
      return question.reply
    }
  }
}

async function readIncarnation ({ reader, onReport }: ProcessQuestionsOptions, address: string): Promise<ProcessReply> {
  const givingUp = new AbortController()
  let timer = setTimeout(giveUp, CONNECT_TIMEOUT_MS)
  /** After a pause of this process, a connection or reply that had arrived is read only now. */
  function giveUp (): void {
    const fired = timer
    handleArrivedEvents().then(() => { if (timer === fired) givingUp.abort() }, () => givingUp.abort())
  }
  /** A reply may take as long as that to a poll, after which a backend server counts as unresponsive. */
  function waitForReply (): void {
    clearTimeout(timer)
    timer = setTimeout(giveUp, POLL_TIMEOUT_MS)
  }
  try {
    const load = await reader.loadOnNewConnection(address, { onConnected: waitForReply, signal: givingUp.signal })
    onReport(address, load)
    return { kind: 'told', incarnation: load.incarnation }
  } catch (error) {
    return { kind: 'untold', reason: givingUp.signal.aborted ? 'no reply in time' : String(error) }
  } finally {
    clearTimeout(timer)
  }
}
