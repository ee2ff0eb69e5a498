import { Agent, createServer, request } from 'node:http'

/**
 * Stands between one machine and the platform's store. `fateOf` tells what becomes of a write: undefined passes it on, and a time in
 * milliseconds has it done that much later, without an answer. The channel of a lost answer delivers nothing further.
 */
export async function startStoreProxy (storeAddress, fateOf) {
  const [host, port] = storeAddress.split(':')
  const agent = new Agent({ keepAlive: true })

  function forward (incoming, body, onAnswer) {
    const outgoing = request({ agent, host, port: Number(port), method: incoming.method, path: incoming.url, headers: incoming.headers }, onAnswer)
    outgoing.on('error', () => {})
    outgoing.end(body)
    return outgoing
  }

  const server = createServer((incoming, response) => {
    const parts = []
    incoming.on('data', (part) => parts.push(part))
    incoming.on('error', () => {})
    incoming.on('end', () => {
      const body = Buffer.concat(parts)
      const delay = incoming.url === '/rows-tx' ? fateOf(JSON.parse(body.toString())) : undefined
      if (delay !== undefined) {
        setTimeout(() => forward(incoming, body, (answer) => answer.resume()), delay)
        return
      }
      const outgoing = forward(incoming, body, (answer) => {
        response.writeHead(answer.statusCode, answer.headers)
        answer.pipe(response)
      })
      outgoing.on('error', () => response.destroy())
      response.on('close', () => outgoing.destroy())
    })
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.closeAllConnections()
      server.close()
      agent.destroy()
    }
  }
}
