import { createServer } from 'node:http'
import { signature } from './platform.mjs'

/**
 * Starts a replica with some slots and a short queue; it turns away what does not fit. With `brittle` it says so in all its answers,
 * lets nothing wait once all machines had time to learn of it, and falls over when it turns more than that away within a second.
 */
export async function startReplica ({ id, slots, queue, workMilliseconds, onArrival = () => {}, onRejected = () => {}, onFall = () => {}, brittleness = () => undefined }) {
  const replica = { id, running: 0, isDown: false, rejectedAt: [] }
  let waiting = []
  let life = 0

  function fall () {
    replica.isDown = true
    replica.rejectedAt = []
    life++
    waiting = []
    replica.running = 0
    server.closeAllConnections()
    server.close()
    onFall(replica)
  }

  function headersOf (attempt) {
    const brittle = brittleness()
    return { 'Quinceshunt-Attempt-Id': attempt, 'Quinceshunt-Replica-Load': `${replica.running},${waiting.length},${slots}`, ...(brittle === undefined ? {} : { 'Server-Brittle': String(brittle.rejections) }) }
  }

  function reject (attempt, response) {
    response.writeHead(503, { ...headersOf(attempt), 'Quinceshunt-Not-Executed': '1' })
    response.end()
    onRejected(replica, attempt)
    const now = Date.now()
    replica.rejectedAt = [...replica.rejectedAt.filter((at) => at > now - 1000), now]
    const brittle = brittleness()
    if (brittle?.isInForce === true && replica.rejectedAt.length > brittle.rejections) fall()
  }

  function handle (incoming, response) {
    incoming.resume()
    if (incoming.url === '/healthz') {
      response.writeHead(200, { 'Quinceshunt-Replica-Id': replica.id, ...headersOf('') })
      response.end()
      return
    }
    const attempt = incoming.headers['quinceshunt-attempt-id']
    onArrival(replica, attempt)
    if (incoming.headers['quinceshunt-expect-replica'] !== replica.id) {
      response.writeHead(421, { 'Quinceshunt-Attempt-Id': attempt, 'Quinceshunt-Replica-Id': replica.id })
      response.end()
      return
    }
    const room = brittleness()?.isInForce === true ? 0 : queue
    if (replica.running >= slots && waiting.length >= room) return reject(attempt, response)
    const ownLife = life
    const next = () => waiting.shift()?.()
    const work = () => {
      if (response.destroyed) return next()
      replica.running++
      setTimeout(() => {
        if (ownLife !== life) return
        replica.running--
        if (!response.destroyed) {
          response.writeHead(200, { ...signature(attempt), ...headersOf(attempt) })
          response.end('done')
        }
        next()
      }, workMilliseconds)
    }
    if (replica.running < slots) work()
    else waiting.push(work)
  }

  let server
  async function listen (port) {
    server = createServer(handle)
    await new Promise((resolve, reject) => server.once('error', reject).listen(port, '127.0.0.1', resolve))
    replica.address = `127.0.0.1:${server.address().port}`
  }
  replica.restart = async (newId) => {
    replica.id = newId
    await listen(Number(replica.address.split(':')[1]))
    replica.isDown = false
  }
  replica.close = () => {
    server.closeAllConnections()
    server.close()
  }
  await listen(0)
  return replica
}
