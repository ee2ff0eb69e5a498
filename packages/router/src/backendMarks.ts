import { create } from '@bufbuild/protobuf'
import { marksToSend, type LearnedMark } from '@quinceshunt/routing'
import { BackendServerMarkKind, BackendServerMarkSchema, type BackendServerMark } from '@quinceshunt/schemas'

/** A fleet of 1,100 replicas restarts 530 processes on an ordinary day. */
const MAX_MARKS = 1024

/** Leaving marks to gossip to peers, including those of backend servers outside this instance's subset. */
export class BackendMarks {
  readonly #marks = new Map<string, LearnedMark>()
  #messageCount = 0
  #learnedCount = 0

  /** Total number of marks learned. */
  get learnedCount (): number {
    return this.#learnedCount
  }

  /** Stores a backend server's mark if it is newer and of another incarnation than the stored one; returns whether it was stored. */
  learn (mark: Pick<BackendServerMark, 'backendServer' | 'incarnation' | 'markedAt'>, now: number): boolean {
    const known = this.#marks.get(mark.backendServer)?.mark
    if (known !== undefined && (known.incarnation === mark.incarnation || known.markedAt >= mark.markedAt)) return false
    this.#learnedCount++
    this.#marks.delete(mark.backendServer)
    this.#marks.set(mark.backendServer, { learnedAt: now, mark: create(BackendServerMarkSchema, { ...pickFields(mark), kind: BackendServerMarkKind.LEAVING }) })
    for (const oldest of this.#marks.keys()) {
      if (this.#marks.size <= MAX_MARKS) break
      this.#marks.delete(oldest)
    }
    return true
  }

  /** Removes a mark that no longer applies after a restart or an operator's undo. */
  remove (backendServer: string): void {
    this.#marks.delete(backendServer)
  }

  get (backendServer: string): BackendServerMark | undefined {
    return this.#marks.get(backendServer)?.mark
  }

  /** Marks for the next gossip message. */
  marksForNextMessage (now: number): readonly BackendServerMark[] {
    return marksToSend([...this.#marks.values()], now, this.#messageCount++)
  }
}

function pickFields (mark: Pick<BackendServerMark, 'backendServer' | 'incarnation' | 'markedAt'>) {
  return { backendServer: mark.backendServer, incarnation: mark.incarnation, markedAt: mark.markedAt }
}
