import { describe, expect, test } from '@jest/globals'
import { request } from 'node:http'
import { createServer, type AddressInfo } from 'node:net'
import { isFinalStatus, isMalformedStatus, receiveResponse } from '../receiveResponse.js'

/** Sends a request to a server that writes `text`, and resolves with how the response was received. */
async function receive (text: string, maxInterimResponses?: number): Promise<string> {
  const server = createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', () => socket.write(text))
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const received = await new Promise<string>((resolve) => {
    const outgoing = request({ port: (server.address() as AddressInfo).port, agent: false })
    const finish = (what: string): void => {
      resolve(what)
      outgoing.destroy()
    }
    receiveResponse(outgoing, { ...(maxInterimResponses === undefined ? {} : { maxInterimResponses }), onResponse: ({ statusCode }) => finish(`response ${statusCode ?? 0}`), onInvalid: finish })
    outgoing.on('error', (error) => finish(isMalformedStatus(error) ? 'malformed status' : error.message))
    outgoing.end()
  })
  await new Promise((resolve) => server.close(resolve))
  return received
}

describe('the response to a request', () => {
  // Guards against a range that is one too short or too long.
  test.each([[199, false], [200, true], [599, true], [600, false], [0, false], [101, false], [undefined, false]])('status %p has validity %p', (status, isValid) => {
    expect(isFinalStatus(status)).toBe(isValid)
  })

  // Guards against responses that only some of a process's clients reject.
  test.each([
    ['200 OK', 'response 200'],
    ['599 Odd', 'response 599'],
    ['600 Odd', 'invalid status 600'],
    ['000 Odd', 'invalid status 000'],
    ['099 Odd', 'invalid status 099'],
    ['101 Odd', 'invalid status 101'],
    ['101 Switching Protocols\r\nUpgrade: other\r\nConnection: Upgrade', 'invalid status 101'],
    ['1000 Odd', 'malformed status']
  ])('with the status line %s is received as %s', async (statusLine, expected) => {
    expect(await receive(`HTTP/1.1 ${statusLine}\r\nContent-Length: 2\r\n\r\nok`)).toBe(expected)
  })

  // Guards against interim responses that hold a request up for good, and against a limit that rejects sound ones.
  test.each([[3, 'response 200'], [4, 'interim responses without end']])('after %d interim responses of at most 3 is received as %s', async (count, expected) => {
    expect(await receive(`${'HTTP/1.1 102 Processing\r\n\r\n'.repeat(count)}HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n`, 3)).toBe(expected)
  })
})
