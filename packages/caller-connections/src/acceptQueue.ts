import { connect, type Socket } from 'node:net'

const INTERVAL_MS = 1000
/** While connections wait, so that the age of each is known more closely. */
const SHORT_INTERVAL_MS = 100
/** Wait from which probes come at the short interval. */
const LONG_WAIT_MS = 100
/** Probes that wait at once, as they take places in the queue. */
const MAX_PROBES = 16
/** Time after which a probe is replaced that did not get into the queue; a busy process hears late of one that did. */
const MAX_CONNECT_MS = 500
/** Callers with 1.5 s left give up a connection on which their request was not read by then; others wait for a second. */
const CALLER_PATIENCE_MS = 500
/** Connections accepted ahead of a probe from which the queue is long; fewer wait for long because a pass of the event loop does. */
const LONG_QUEUE = 16
/** Of the last new connections, so many more were left by their callers than served when connections are closed unread. */
const MANY_LEFT = 8
const MAX_LEFT = 16

/** A connection that a listener has accepted. */
export type AcceptedConnection =
  | { readonly kind: 'caller' }
  /** One of the process's own. */
  | { readonly kind: 'probe' }
  /** It waited for so long that its caller has given it up, or soon will, as those before it did. */
  | { readonly kind: 'abandoned' }

/** The queue in which connections wait until a listener of this process accepts them. */
export interface AcceptQueue {
  /** Milliseconds for which the probe that was accepted last had waited, or the first one in the queue waits by now. */
  readonly milliseconds: number
  /** To be called for each accepted connection; the caller closes those that are not a caller's. */
  classify (socket: Socket): AcceptedConnection
  /** To be called for each received request whose caller left before its turn; tells callers who wait for long from those that leave. */
  noteLeft (socket: Socket): void
  /** To be called for each received request that is started. */
  noteStarted (socket: Socket): void
  stop (): void
}

/** Dependencies of the probes. */
export interface AcceptQueueOptions {
  /** Of the listener. */
  readonly address: { readonly host: string, readonly port: number }
  /** Milliseconds. */
  readonly now: () => number
  /** Called for each accepted probe, and at each interval for the first one in the queue. */
  readonly onWait: (milliseconds: number, isWaiting: boolean) => void
  readonly onError: (error: NodeJS.ErrnoException) => void
}

interface Probe {
  readonly socket: Socket
  readonly openedAt: number
  /** When it was known to be in the queue. */
  queuedAt: number | undefined
  /** Connections that were accepted ahead of it since then. */
  acceptedAhead: number
}

/**
 * Starts to connect to a listener of this process at an interval. The system accepts connections in the order of arrival and
 * tells no ages; one that is accepted before a probe has waited for at least as long as that probe.
 */
export function startAcceptQueue ({ address, now, onWait, onError }: AcceptQueueOptions): AcceptQueue {
  /** In the order in which they were opened. */
  const probes = new Set<Probe>()
  let lastWait = 0
  /** First requests of connections that their callers left, less those that were started; 0 to `MAX_LEFT`. */
  let left = 0
  /** Connections of which the first request is counted. */
  const counted = new WeakSet<Socket>()
  /** Opening of the first probe since the last one that was accepted. */
  let waitingSince: number | undefined
  let timer = setTimeout(probe, INTERVAL_MS)
  timer.unref()

  function currentWait (): number {
    return waitingSince === undefined ? lastWait : Math.max(lastWait, now() - waitingSince)
  }

  function probe (): void {
    if (waitingSince !== undefined) onWait(now() - waitingSince, true)
    abandonUnqueued()
    if (probes.size < MAX_PROBES) openProbe()
    timer = setTimeout(probe, currentWait() >= LONG_WAIT_MS ? SHORT_INTERVAL_MS : INTERVAL_MS)
    timer.unref()
  }

  /** Ends probes for which the queue was full, as the system tries again only after seconds. */
  function abandonUnqueued (): void {
    for (const unqueued of probes) {
      if (unqueued.queuedAt !== undefined || now() - unqueued.openedAt < MAX_CONNECT_MS) continue
      probes.delete(unqueued)
      unqueued.socket.destroy()
    }
  }

  function openProbe (): void {
    const socket = connect(address.port, address.host)
    const opened: Probe = { socket, openedAt: now(), queuedAt: undefined, acceptedAhead: 0 }
    waitingSince ??= opened.openedAt
    probes.add(opened)
    socket.on('connect', () => { opened.queuedAt = now() })
    socket.on('error', onError)
    socket.on('close', () => probes.delete(opened))
  }

  /** True once for each connection: callers on open ones did not wait in the queue. */
  function isFirst (socket: Socket): boolean {
    if (counted.has(socket)) return false
    counted.add(socket)
    return true
  }

  function findProbe (accepted: Socket): Probe | undefined {
    for (const candidate of probes) {
      const { localPort, localAddress } = candidate.socket
      if (localPort !== undefined && localPort === accepted.remotePort && localAddress === accepted.remoteAddress) return candidate
    }
    return undefined
  }

  /** Takes a probe off the queue, and earlier ones that were lost on the way. */
  function endProbe (accepted: Probe): void {
    lastWait = now() - accepted.openedAt
    for (const { socket } of takeUntil(probes, accepted)) socket.destroy()
    const [first] = probes
    waitingSince = first?.openedAt
    onWait(lastWait, false)
  }

  return {
    get milliseconds () { return currentWait() },
    classify: (socket) => {
      const accepted = probes.size === 0 ? undefined : findProbe(socket)
      if (accepted !== undefined) {
        endProbe(accepted)
        return { kind: 'probe' }
      }
      const queued = findQueued(probes)
      if (queued?.queuedAt === undefined) return { kind: 'caller' }
      const isLong = ++queued.acceptedAhead > LONG_QUEUE
      return { kind: isLong && left >= MANY_LEFT && now() - queued.queuedAt >= CALLER_PATIENCE_MS ? 'abandoned' : 'caller' }
    },
    noteLeft: (socket) => { if (isFirst(socket)) left = Math.min(left + 1, MAX_LEFT) },
    noteStarted: (socket) => { if (isFirst(socket)) left = Math.max(left - 1, 0) },
    stop: () => {
      clearTimeout(timer)
      for (const { socket } of probes) socket.destroy()
      probes.clear()
      waitingSince = undefined
    }
  }
}

/** Yields the probes up to the given one, and deletes them. */
function * takeUntil (probes: Set<Probe>, last: Probe): Generator<Probe> {
  for (const probe of [...probes]) {
    probes.delete(probe)
    yield probe
    if (probe === last) return
  }
}

/** Returns the first probe in the queue. */
function findQueued (probes: ReadonlySet<Probe>): Probe | undefined {
  for (const probe of probes) if (probe.queuedAt !== undefined) return probe
  return undefined
}
