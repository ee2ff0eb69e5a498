import { create } from '@bufbuild/protobuf'
import { marksToSend, type LearnedMark } from '@quinceshunt/routing'
import { BackendServerMarkKind, BackendServerMarkSchema, type BackendServerMark } from '@quinceshunt/schemas'

/** Backend servers remembered as leaving; a fleet of 1,100 replicas restarts 530 processes on an ordinary day. */
const MARKS_LIMIT = 1024

/** Leaving marks to pass on to peers, also of backend servers outside this instance's subset. */
export class BackendMarks {
  readonly #marks = new Map<string, LearnedMark>()
  #turn = 0
  #learned = 0

  /** Grows with each mark learned. */
  get learned (): number {
    return this.#learned
  }

  /** Remembers the newest mark of a backend server; returns whether it is news. */
  learn (mark: Pick<BackendServerMark, 'backendServer' | 'incarnation' | 'markedAt'>, now: number): boolean {
    const known = this.#marks.get(mark.backendServer)?.mark
    if (known !== undefined && (known.incarnation === mark.incarnation || known.markedAt >= mark.markedAt)) return false
    this.#learned++
    this.#marks.delete(mark.backendServer)
    this.#marks.set(mark.backendServer, { learnedAt: now, mark: create(BackendServerMarkSchema, { ...pickFields(mark), kind: BackendServerMarkKind.LEAVING }) })
    for (const oldest of this.#marks.keys()) {
      if (this.#marks.size <= MARKS_LIMIT) break
      this.#marks.delete(oldest)
    }
    return true
  }

  /** Forgets a mark that a restart or an operator's undo has ended. */
  forget (backendServer: string): void {
    this.#marks.delete(backendServer)
  }

  of (backendServer: string): BackendServerMark | undefined {
    return this.#marks.get(backendServer)?.mark
  }

  /** Marks for the next gossip message. */
  next (now: number): readonly BackendServerMark[] {
    return marksToSend([...this.#marks.values()], now, this.#turn++)
  }
}

function pickFields (mark: Pick<BackendServerMark, 'backendServer' | 'incarnation' | 'markedAt'>) {
  return { backendServer: mark.backendServer, incarnation: mark.incarnation, markedAt: mark.markedAt }
}
