import { CALLER_DEADLINE_MS, rawResponse, rawResponseStart, sendRequest, startRawBackend, writeWithoutEnd, type RawBackend } from '@quinceshunt/platform-adapter/fixtures'
import type { Socket } from 'node:net'
import { BACKEND_FLOODS, FLOOD_ACCOUNT, FLOOD_SERVICES, LONG_ANSWER_BYTES, type BackendFloodKind, type FloodOutcome, type FloodService } from './flood.js'

/** Pace of a body that is below what a connection can carry: 1 MB/s. */
const PACED_CHUNK = 'x'.repeat(10_000)
const PACE_INTERVAL_MS = 10
const SURPLUS_COPIES = 20
/** Pause after which a request is replaced, so that a flood lasts although the gateways end its requests early. */
const REPLACEMENT_PAUSE_MS = 250
const PROMPT = { promptTokens: 100, outputTokens: 1000 } as const

const chunk = (text: string): string => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`

/** The long or short answer of a backend server that adds surplus bytes. */
function wholeAnswer (attempt: string): string {
  return attempt.endsWith('0') ? `answer to ${attempt} `.padEnd(LONG_ANSWER_BYTES, 'x') : `answer to ${attempt}`
}

function writeFlood (socket: Socket, how: BackendFloodKind, attempt: string): void {
  switch (how) {
    case 'pacedBody': {
      socket.write(`${rawResponseStart(attempt)}\r\n`)
      const timer = setInterval(() => { if (!socket.writableNeedDrain) socket.write(PACED_CHUNK) }, PACE_INTERVAL_MS)
      socket.on('close', () => clearInterval(timer))
      return
    }
    case 'endlessBody':
      socket.write(`${rawResponseStart(attempt)}Transfer-Encoding: chunked\r\n\r\n`)
      return writeWithoutEnd(socket, chunk('x'.repeat(16_000)))
    case 'endlessHead':
      socket.write(rawResponseStart(attempt))
      return writeWithoutEnd(socket, `X-Filler: ${'x'.repeat(1000)}\r\n`)
    case 'endlessEvents':
      socket.write(`${rawResponseStart(attempt)}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${chunk('id: 1\ndata: a\n\nid: 2\ndata: ')}`)
      return writeWithoutEnd(socket, chunk('x'.repeat(16_000)))
    case 'surplusGarbage':
      socket.write(rawResponse(attempt, wholeAnswer(attempt)))
      return writeWithoutEnd(socket, 'surplus\r\n'.repeat(1000))
    case 'surplusCopies':
      socket.write(rawResponse(attempt, wholeAnswer(attempt)).repeat(1 + SURPLUS_COPIES))
  }
}

/** Answers each request as its path says. */
function respond (socket: Socket, { attemptId, path }: { readonly attemptId: string, readonly path: string }): void {
  if (path.startsWith(FLOOD_SERVICES.crowd)) {
    socket.write(rawResponse(attemptId, path.endsWith('long') ? 'x'.repeat(LONG_ANSWER_BYTES) : 'short'))
    return
  }
  const how = BACKEND_FLOODS.find((kind) => path.includes(`/${kind}`))
  if (how === undefined) socket.write(rawResponse(attemptId, 'sound'))
  else writeFlood(socket, how, attemptId)
}

/** Starts one backend server for each service of the floods. */
export async function startFloodBackends (): Promise<Readonly<Record<FloodService, string>>> {
  const start = async (): Promise<RawBackend> => await startRawBackend(respond)
  const [crowd, flooding, surging] = await Promise.all([start(), start(), start()])
  return { crowd: crowd.address, flooding: flooding.address, surging: surging.address }
}

/** Asks a flooding backend server by way of a gateway, `requests` at once, until `endsAt`, in Unix milliseconds. */
export async function floodFromBackend (address: string, how: BackendFloodKind, requests: number, id: number, endsAt: number): Promise<FloodOutcome> {
  const statuses: Record<string, number> = {}
  const alteredAnswers: string[] = []
  const path = `${how === 'endlessEvents' ? FLOOD_SERVICES.surging : FLOOD_SERVICES.flooding}${how}`

  async function send (attemptId: string): Promise<void> {
    const remaining = Math.min(CALLER_DEADLINE_MS, Math.max(1, endsAt - Date.now()))
    const answer = await sendRequest(address, path, { attemptId, abortAfterMilliseconds: remaining, headers: { authorization: `Token ${FLOOD_ACCOUNT.apiKey}` }, ...(how === 'endlessEvents' ? { prompt: PROMPT } : {}) }).catch(() => undefined)
    const status = answer?.status ?? 0
    statuses[status] = (statuses[status] ?? 0) + 1
    if (how.startsWith('surplus') && status === 200 && answer?.complete === true && answer.body !== wholeAnswer(attemptId)) alteredAnswers.push(attemptId)
  }

  const pause = async (milliseconds: number): Promise<void> => { await new Promise((resolve) => setTimeout(resolve, milliseconds)) }
  await Promise.all(Array.from({ length: requests }, async (_, index) => {
    await pause(index * REPLACEMENT_PAUSE_MS / requests)
    for (let round = 0; Date.now() < endsAt; round++) {
      await send(`flood-${id}-${round}-${index}`)
      await pause(REPLACEMENT_PAUSE_MS)
    }
  }))
  return { statuses, alteredAnswers }
}
