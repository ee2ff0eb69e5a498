import { rawRequestHead } from '@quinceshunt/platform-adapter/fixtures'
import { connect, type Socket } from 'node:net'
import { FLOOD_ACCOUNT, FLOOD_SERVICES, type CallerFloodKind } from './flood.js'

/** Connections that a flood has open at once. */
const CONNECTIONS: Readonly<Record<CallerFloodKind, number>> = { pipelinedUnread: 8, pipelinedRead: 8, unfinishedBodies: 380, unreadAnswers: 80 }
/** Pause before a closed connection is replaced, so that the flood goes on after a restart of the gateway. */
const RECONNECT_PAUSE_MS = 200
/** Connections that a flood opens in all, as a multiple of those at once. */
const MAX_OPENED_RATIO = 3
const REQUESTS_PER_WRITE = 50
/** Bounds the requests that a connection pipelines. */
const MAX_PIPELINED_WRITES = 400
/** More than the system buffers for a connection whose caller does not read. */
const LONG_ANSWERS_PER_CONNECTION = 30
const STATED_BODY_BYTES = 1_000_000
const SENT_BODY = Buffer.alloc(900_000, 'x')

let attemptCount = 0

function requestHead (method: string, path: string, headers = ''): string {
  return rawRequestHead(method, `${FLOOD_SERVICES.crowd}${path}`, { attemptId: `crowd-${++attemptCount}`, apiKey: FLOOD_ACCOUNT.apiKey, headers })
}

/** Writes requests as fast as the connection takes them. */
function writePipelined (socket: Socket): void {
  let writes = 0
  const write = (): void => {
    if (socket.destroyed || ++writes > MAX_PIPELINED_WRITES) return
    if (socket.write(Array.from({ length: REQUESTS_PER_WRITE }, () => requestHead('GET', 'short')).join(''))) setImmediate(write)
    else socket.once('drain', write)
  }
  write()
}

function flood (socket: Socket, how: CallerFloodKind): void {
  switch (how) {
    case 'pipelinedUnread':
      socket.pause()
      return writePipelined(socket)
    case 'pipelinedRead':
      socket.resume()
      return writePipelined(socket)
    case 'unfinishedBodies':
      socket.resume()
      socket.write(requestHead('POST', 'upload', `Content-Length: ${STATED_BODY_BYTES}\r\n`))
      socket.write(SENT_BODY)
      return
    case 'unreadAnswers':
      socket.pause()
      socket.write(Array.from({ length: LONG_ANSWERS_PER_CONNECTION }, () => requestHead('GET', 'long')).join(''))
  }
}

/** Floods a gateway from one client account until `endsAt`, in Unix milliseconds. */
export async function floodFromCallers (address: string, how: CallerFloodKind, endsAt: number): Promise<void> {
  const [host = '', port = ''] = address.split(':')
  const sockets = new Set<Socket>()
  let opened = 0

  function open (): void {
    if (Date.now() >= endsAt || opened === CONNECTIONS[how] * MAX_OPENED_RATIO) return
    opened++
    const socket = connect({ host, port: Number(port) })
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('connect', () => flood(socket, how))
    socket.on('close', () => {
      sockets.delete(socket)
      setTimeout(open, RECONNECT_PAUSE_MS)
    })
  }

  for (let index = 0; index < CONNECTIONS[how]; index++) open()
  await new Promise((resolve) => setTimeout(resolve, endsAt - Date.now()))
  for (const socket of sockets) socket.destroy()
}
