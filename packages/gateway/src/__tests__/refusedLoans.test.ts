import { afterEach, describe, expect, test } from '@jest/globals'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import type { ReportedUse } from '../decisions/knownUse.js'
import type { Peer } from '../tasks/fleetTask.js'
import { createTokenLoans, type TokenLoans } from '../tasks/tokenLoans.js'

/** What a home does with one message: a status, or the connection closed without a reply. */
type HomeReply = 'handled' | 'refused' | 'replyLost'

let servers: Server[] = []
afterEach(() => {
  for (const server of servers) {
    server.closeAllConnections()
    server.close()
  }
  servers = []
})

interface TestLoans {
  readonly loans: TokenLoans
  /** Messages that each home received, by their IDs. */
  readonly received: readonly string[][]
  /** Tokens that the borrower has kept or got late. */
  readonly keptTokens: () => number
}

/** Starts homes that treat their messages as scripted, and the last entry for each further one. */
async function startLoans (scripts: readonly (readonly HomeReply[])[]): Promise<TestLoans> {
  const received: string[][] = scripts.map(() => [])
  let kept = 0
  const homes: Peer[] = await Promise.all(scripts.map(async (script, index) => {
    const server = createServer((request, response) => {
      let text = ''
      request.on('data', (chunk: Buffer) => { text += chunk.toString() })
      request.on('end', () => {
        const ids = received[index] ?? []
        ids.push((JSON.parse(text) as { id: string }).id)
        const reply = script[Math.min(ids.length, script.length) - 1]
        if (reply === 'replyLost') return request.socket.destroy()
        if (reply === 'refused') return response.writeHead(503, { connection: 'close' }).end()
        response.end(request.url === '/loans' ? JSON.stringify({ tokens: 500, isShort: false }) : '{}')
      })
    })
    servers.push(server)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    return { instanceId: `home${index}`, incarnationId: `home${index}.1`, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, failureDomain: 'north' }
  }))
  const loans = createTokenLoans({
    incarnationId: 'edge.1',
    homes: () => homes,
    currentIncarnation: (instanceId) => `${instanceId}.1`,
    log: createRecordingLog(),
    onLateTokens: (_account, tokens) => { kept += tokens },
    onUse: () => {}
  })
  return { loans, received, keptTokens: () => kept }
}

const noUse: ReportedUse = { process: 'edge.1', own: 0, total: 0 }

describe('a message about tokens that its home refuses as overloaded', () => {
  // Guards against tokens that are lost because a refused return is repeated to the same home until it is given up.
  test('gives the tokens back to the next home', async () => {
    const { loans, received, keptTokens } = await startLoans([['refused'], ['handled']])
    await loans.giveBack('school', 500, noUse)
    expect(received.map((ids) => ids.length)).toEqual([1, 1])
    expect(keptTokens()).toBe(0)
  }, 60_000)

  // Guards against tokens that are lost when no home takes them.
  test('leaves the tokens with the borrower when all homes refuse', async () => {
    const { loans, received, keptTokens } = await startLoans([['refused'], ['refused']])
    await loans.giveBack('school', 500, noUse)
    expect(received.map((ids) => ids.length)).toEqual([1, 1])
    expect(keptTokens()).toBe(500)
    expect(loans.tokensInTransit).toBe(0)
  }, 60_000)

  // Guards against a refused loan whose tokens count as in transit for as long as the message is repeated.
  test('borrows the tokens from the next home', async () => {
    const { loans, received } = await startLoans([['refused'], ['handled']])
    expect(await loans.borrow('school', 500, 'whole', noUse)).toEqual({ tokens: 500, isShort: false })
    await new Promise((resolve) => setTimeout(resolve, 300))
    expect(received.map((ids) => ids.length)).toEqual([1, 1])
    expect(loans.tokensInTransit).toBe(0)
  })

  // Guards against tokens that are created twice: a repeat was refused, while the first copy was handled and its reply lost.
  test('is repeated to the same home when an earlier copy may have been handled', async () => {
    const { loans, received, keptTokens } = await startLoans([['replyLost', 'refused', 'refused', 'handled'], ['handled']])
    await loans.giveBack('school', 500, noUse)
    expect(received.map((ids) => ids.length)).toEqual([4, 0])
    expect(new Set(received[0]).size).toBe(1)
    expect(keptTokens()).toBe(0)
  })
})
