import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals'
import { createLoanNetwork, type LinkFault, type LoanNetwork } from '../__fixtures__/loanNetwork.js'
import { createRecordingLog } from '../__fixtures__/recordingLog.js'
import { startPlainService, type PlainService, type PlainServiceOptions, type SimulatedRequest } from '../__fixtures__/plainService.js'
import { createSeededRandom } from '../__fixtures__/seededRandom.js'
import { steadyNow } from '../clock.js'
import { createRoomIssuer, MAX_LINE_WAIT_MS, type RoomIssuer, type RoomIssuingPower, type RoomRequest } from '../decisions/roomIssuer.js'
import type { ResponseFields } from '../ports.js'
import { createPeerMessageHandler, PEER_PATH } from '../tasks/peerMessages.js'

const SERVICE = 'model'
/** 4 slots and 2 requests that wait there. */
const ROOM = 6

function ask (changes: Partial<RoomRequest> = {}): RoomRequest {
  return { service: SERVICE, instanceId: 'a', sequence: 1, openRequests: [], inProgress: {}, failed: [], full: [], loads: {}, wanted: [{ backendProcess: 's1', slots: 4 }], priority: 0, account: 'usual', waitUntil: 1000, ...changes }
}

describe('the issuer of room with a line', () => {
  const power: RoomIssuingPower = { fraction: 1, instances: 2, waiting: 0, hasLine: true }

  /** An issuer whose room is used by instance `a`, with requests 1 to 6. */
  function createFullIssuer (): RoomIssuer {
    const issuer = createRoomIssuer()
    for (let sequence = 1; sequence <= ROOM; sequence++) expect(issuer.handleOrQueue(ask({ sequence, openRequests: [1, 2, 3, 4, 5].filter((open) => open < sequence) }), power, 0).kind).toBe('granted')
    return issuer
  }

  test('queues a request without room, and answers it once another one has ended', () => {
    const issuer = createFullIssuer()
    expect(issuer.handleOrQueue(ask({ instanceId: 'b' }), power, 0)).toEqual({ kind: 'queued', answerAt: MAX_LINE_WAIT_MS })
    expect(issuer.takeAnswers(SERVICE, power, 10)).toEqual([])
    issuer.handleOrQueue(ask({ sequence: 7, inProgress: { s1: 5 }, wanted: [] }), power, 20)
    expect(issuer.takeAnswers(SERVICE, power, 20)).toEqual([{ instanceId: 'b', sequence: 1, reply: { kind: 'granted', backendProcess: 's1' }, waitedMilliseconds: 20 }])
  })

  test('denies a request whose wait has ended', () => {
    const issuer = createFullIssuer()
    issuer.handleOrQueue(ask({ instanceId: 'b', waitUntil: 30 }), power, 0)
    expect(issuer.takeAnswers(SERVICE, power, 29)).toEqual([])
    const [answer] = issuer.takeAnswers(SERVICE, power, 30)
    expect(answer).toMatchObject({ instanceId: 'b', sequence: 1, reply: { kind: 'denied' } })
    expect(issuer.lineLength(SERVICE)).toBe(0)
  })

  // Guards against grants for requests whose caller has left, and against a line that they fill.
  test('removes a request that the next message of its instance no longer names', () => {
    const issuer = createFullIssuer()
    issuer.handleOrQueue(ask({ instanceId: 'b', sequence: 1 }), power, 0)
    issuer.handleOrQueue(ask({ instanceId: 'b', sequence: 2, openRequests: [1] }), power, 0)
    issuer.handleOrQueue(ask({ instanceId: 'b', sequence: 3, openRequests: [2], wanted: [] }), power, 5)
    expect(issuer.lineLength(SERVICE)).toBe(1)
    expect(issuer.takeAnswers(SERVICE, power, 5)).toMatchObject([{ sequence: 1, reply: { kind: 'noted' } }])
  })

  // Guards against later requests that take the room for which earlier ones wait.
  test('lets no request pass those that wait', () => {
    const issuer = createFullIssuer()
    issuer.handleOrQueue(ask({ instanceId: 'b', sequence: 1 }), power, 0)
    const [early] = [issuer.handleOrQueue(ask({ instanceId: 'c', sequence: 1, wanted: [{ backendProcess: 's1', slots: 4 }] }), power, 1)]
    expect(early?.kind).toBe('queued')
    issuer.handleOrQueue(ask({ sequence: 7, inProgress: { s1: 5 }, wanted: [] }), power, 2)
    expect(issuer.handleOrQueue(ask({ instanceId: 'd', sequence: 1 }), power, 2).kind).toBe('queued')
    expect(issuer.takeAnswers(SERVICE, power, 2).map(({ instanceId }) => instanceId)).toEqual(['b'])
  })

  // Instances of the previous release send no time until which waiting makes sense.
  test('replies immediately to a request that names no time', () => {
    const issuer = createFullIssuer()
    expect(issuer.handleOrQueue(ask({ instanceId: 'b', priority: undefined, account: undefined, waitUntil: undefined }), power, 0).kind).toBe('denied')
  })

  test('denies all that wait when the backend servers become brittle', () => {
    const issuer = createFullIssuer()
    issuer.handleOrQueue(ask({ instanceId: 'b' }), power, 0)
    expect(issuer.takeAnswers(SERVICE, { ...power, hasLine: false }, 1)).toMatchObject([{ reply: { kind: 'denied' } }])
  })

  // Guards against a line that waits for servers which answer nothing any more.
  test('denies immediately what would wait for too long', () => {
    const issuer = createFullIssuer()
    let sequence = ROOM
    // One slot becomes free every 40 ms.
    for (let now = 0; now <= 2000; now += 40) {
      issuer.handleOrQueue(ask({ sequence: ++sequence, inProgress: { s1: 5 }, wanted: [] }), power, now)
      issuer.handleOrQueue(ask({ sequence: ++sequence, inProgress: { s1: 6 }, wanted: [] }), power, now)
    }
    const kinds = [1, 2, 3, 4, 5].map((asked) => issuer.handleOrQueue(ask({ instanceId: 'b', sequence: asked, openRequests: [1, 2, 3, 4].filter((open) => open < asked), waitUntil: 3000 }), power, 2010).kind)
    expect(kinds).toEqual(['queued', 'queued', 'queued', 'denied', 'denied'])
  })

  test('still issues half of the slots of a server that rejects all the same', () => {
    const issuer = createRoomIssuer()
    issuer.handleOrQueue(ask({ instanceId: 'c', sequence: 1, full: ['s1'], wanted: [] }), power, 0)
    for (let sequence = 2; sequence < 30; sequence++) issuer.handleOrQueue(ask({ instanceId: 'c', sequence, full: ['s1'], wanted: [] }), power, 0)
    const grants = [1, 2, 3, 4].filter((sequence) => issuer.handleOrQueue(ask({ sequence, openRequests: [1, 2, 3].filter((open) => open < sequence) }), power, 0).kind === 'granted')
    expect(grants).toHaveLength(2)
  })
})

describe('queueing for room over several instances', () => {
  const INSTANCES = 5
  const WORK_MS = 40

  let service: PlainService
  let network: LoanNetwork
  let chooseFault: () => LinkFault

  beforeEach(() => {
    jest.useFakeTimers()
    chooseFault = () => ({ kind: 'none' })
    network = createLoanNetwork(() => chooseFault(), steadyNow)
  })
  afterEach(() => {
    service.stop()
    jest.useRealTimers()
  })

  function start (changes: Partial<PlainServiceOptions> = {}): void {
    service = startPlainService({ instances: INSTANCES, workMilliseconds: [WORK_MS], latencyTargetMilliseconds: 270, network, queueForRoom: true, random: createSeededRandom(3), ...changes })
    for (const { rooms, backends } of service.instances) for (const backend of backends) [1, 2].forEach(() => rooms.noteEnded(backend, 'full'))
  }

  async function settle (milliseconds = 1000): Promise<void> {
    await jest.advanceTimersByTimeAsync(milliseconds)
  }

  function outcomes (requests: readonly SimulatedRequest[]): Record<string, number> {
    const counts: Record<string, number> = {}
    for (const { outcome } of requests) counts[outcome] = (counts[outcome] ?? 0) + 1
    return counts
  }

  function sendMany (count: number, instance = 4): readonly SimulatedRequest[] {
    return Array.from({ length: count }, () => service.send(instance))
  }

  test('all requests are served that one instance sends at once and that can be served in time', async () => {
    start()
    // The rejections that started the shortage reduce what is issued for a second.
    await settle(1100)
    const requests = sendMany(14)
    await settle()
    expect(outcomes(requests)).toEqual({ served: 14 })
  })

  test('nothing changes without the setting', async () => {
    start({ queueForRoom: false })
    let messages = 0
    chooseFault = () => {
      messages++
      return { kind: 'none' }
    }
    const requests = sendMany(31)
    await settle()
    expect(outcomes(requests)).toEqual({ served: 30, rejected: 1 })
    expect(messages).toBe(0)
  })

  // Guards against requests that are lost with the home at which they wait.
  test('requests that wait at a home that is killed get room from the next one', async () => {
    start()
    await settle(500)
    chooseFault = () => ({ kind: 'replyLost' })
    const first = sendMany(5)
    await settle(1)
    network.kill('instance0:80')
    chooseFault = () => ({ kind: 'none' })
    await settle()
    // The second home issues a quarter of the slots, and as much that waits.
    expect(outcomes(first)['served']).toBeGreaterThanOrEqual(2)
    expect(outcomes(first)['open']).toBeUndefined()
    await settle(2000)
    const later = sendMany(2)
    await settle()
    expect(outcomes(later)).toEqual({ served: 2 })
  })

  // Guards against room that is lost for two seconds with each reply that comes too late.
  test('the grant of a reply that came too late is returned', async () => {
    start()
    await settle(1100)
    chooseFault = () => ({ kind: 'replyLost' })
    sendMany(9)
    await settle(10)
    chooseFault = () => ({ kind: 'none' })
    // The second home takes the requests that the first one has granted room.
    await settle(300)
    const others = sendMany(9, 3)
    await settle()
    expect(outcomes(others)).toEqual({ served: 9 })
  })

  test('a request whose caller leaves while it waits gets no room', async () => {
    start()
    const used = sendMany(9, 3)
    await settle(5)
    let leave = (): void => {}
    const left = service.send(4, 'usual', 0, {
      onCallerLeft: (listener) => {
        leave = listener
        return () => {}
      }
    })
    await settle(5)
    leave()
    await settle(15)
    expect(left.outcome).toBe('denied')
    expect(service.servers[0]?.served).toBe(0)
    await settle()
    expect(outcomes(used)).toEqual({ served: 9 })
    expect(service.servers[0]?.served).toBe(9)
  })

  test('an instance that reaches no home keeps to its even share while the service is short', async () => {
    start()
    for (const home of [0, 1, 2]) network.kill(`instance${home}:80`)
    const requests = sendMany(10)
    await settle(600)
    expect(outcomes(requests)['served']).toBe(1)
    expect(outcomes(requests)['denied']).toBe(9)
  })

  // A home of the previous release ignores the new fields and replies immediately, without the interval of returning callers.
  test('the reply of a home of the previous release is used', async () => {
    const network = createLoanNetwork(() => ({ kind: 'none' }), steadyNow)
    const asked: unknown[] = []
    start({
      network,
      roomOptions: {
        post: async (_address, path, message) => {
          if (path === PEER_PATH.rooms && (message as RoomRequest).wanted.length > 0) asked.push(message)
          return { kind: 'answered', reply: { kind: 'denied', askAgainAt: steadyNow() + 10, retryAt: steadyNow() + 300 } }
        }
      }
    })
    const request = service.send(4)
    await settle(100)
    expect(request.outcome).toBe('denied')
    expect(Math.round(request.retryAt - request.sentAt)).toBe(300)
    expect(asked[0]).toMatchObject({ priority: 0, account: 'usual' })
  })

  test.each([{ priority: -1 }, { priority: 'high' }, { priority: 1e9 }, { account: 7 }, { waitUntil: 'soon' }, { waitUntil: null }, { denied: -3 }, { unknown: 1 }])('the malformed field %j has no other effect', async (field) => {
    start()
    const outcome = network.post('instance0:80', PEER_PATH.rooms, { to: 'instance0.0', ...ask({ wanted: [{ backendProcess: 's0/0', slots: 6 }] }), ...field }, 120)
    await settle(10)
    expect(await outcome).toMatchObject({ kind: 'answered', reply: { kind: 'granted' } })
  })

  test('a malformed field is logged with its value, once', async () => {
    start()
    const log = createRecordingLog()
    const handle = createPeerMessageHandler({ incarnationId: 'here', tokens: { isClosing: false, lend: async () => ({ tokens: 0, isShort: false }), takeBack: () => {}, receiveUse: () => {} }, limits: { issue: () => { throw new Error('not expected') }, receive: () => {} }, rooms: { issue: () => ({ kind: 'noted' }) }, streams: { receive: () => {}, answer: () => ({ areVersionsMixed: false }) }, retries: { answer: () => ({ isGranted: false }) }, receiveReports: () => {}, receiveLease: () => undefined, log, now: steadyNow })
    for (let repeat = 0; repeat < 2; repeat++) await handle(PEER_PATH.rooms, { to: 'here', ...ask(), priority: 'high' })
    expect(log.lines).toEqual([{ name: 'peerFieldUnreadable', fields: { path: PEER_PATH.rooms, field: 'priority', value: '"high"' } }])
  })

  // Guards against a service whose servers ask for a pause, leave, or were replaced, that is taken for one that is short of room.
  test.each([{ pause: { kind: 'named', milliseconds: 1000 } }, { isLeaving: true }, { isMisdirected: true }])('a rejection with %j starts no shortage', (reason) => {
    service = startPlainService({ instances: 1, workMilliseconds: [WORK_MS], latencyTargetMilliseconds: 270, network, queueForRoom: true, random: Math.random })
    const { rooms, backends: [backend] } = service.instances[0]!
    const response = { brittleness: { kind: 'none' }, pause: { kind: 'none' }, isLeaving: false, isMisdirected: false, isSigned: true, ...reason } as ResponseFields
    for (let index = 0; index < 3; index++) {
      rooms.observe(backend!, response, 'request')
      rooms.noteEnded(backend!, 'full')
    }
    expect(rooms.isNeeded(SERVICE)).toBe(false)
    rooms.observe(backend!, { ...response, pause: { kind: 'none' }, isLeaving: false, isMisdirected: false }, 'request')
    rooms.noteEnded(backend!, 'full')
    rooms.noteEnded(backend!, 'full')
    expect(rooms.isNeeded(SERVICE)).toBe(true)
  })

  test('answers and rejections are counted for the fleet\'s figures', () => {
    start({ instances: 1 })
    const { rooms, backends: [backend] } = service.instances[0]!
    Object.assign(backend!.tally, { answered: 0, rejected: 0 })
    for (const how of ['answered', 'failed', 'full'] as const) rooms.noteEnded(backend!, how)
    expect(backend!.tally).toMatchObject({ answered: 2, rejected: 1 })
  })

  test('the start and the end of a shortage are logged', async () => {
    start({ instances: 1 })
    await settle(5600)
    expect(service.instances[0]?.rooms.isNeeded(SERVICE)).toBe(false)
    const names = service.instances[0]?.log.lines.map(({ name }) => name)
    expect(names).toEqual(expect.arrayContaining(['roomShort', 'roomEnough']))
  })
})
