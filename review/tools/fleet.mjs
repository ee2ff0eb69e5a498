import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** The repository; the run command of the deploy file starts there. */
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const READY_TIMEOUT_MS = 15_000
const READINESS_INTERVAL_MS = 1000

export const pause = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds))

/** The program and its arguments as the deploy file names them. */
function runCommand () {
  const line = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8').split('\n').find((text) => text.startsWith('run = '))
  return JSON.parse(line.slice('run = '.length)).split(' ')
}

/** The template of the settings, filled with the values of one machine. */
function settingsText (values) {
  const template = readFileSync(join(ROOT, 'deploy', 'gateway.settings.yaml'), 'utf8')
  return template.replace(/\{\{([a-z_.0-9]+)(\|json)?\}\}/g, (_, name, isJson) => {
    const value = name.split('.').reduce((found, key) => found?.[key], values)
    return isJson === undefined ? String(value) : JSON.stringify(value)
  })
}

async function freePorts (host, count) {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer()
    await new Promise((resolve, reject) => server.once('error', reject).listen(0, host, resolve))
    return server
  }))
  const ports = servers.map((server) => server.address().port)
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return ports
}

/** Sends one request on a connection of its own and resolves with its answer; status 0 stands for a closed channel. */
export function sendRequest (address, path, { method = 'GET', headers = {}, body, timeoutMilliseconds = 20_000, agent, onData } = {}) {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    let text = ''
    let head
    let isOver = false
    const finish = (complete, error = '') => {
      if (isOver) return
      isOver = true
      clearTimeout(timer)
      resolve({ status: head?.statusCode ?? 0, headers: head?.headers ?? {}, body: text, complete, error })
    }
    const outgoing = request({ host, port: Number(port), path, method, headers: { ...headers, ...(body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }) }, agent: agent ?? false })
    const timer = setTimeout(() => {
      finish(false, 'the client gave up')
      outgoing.destroy()
    }, timeoutMilliseconds)
    outgoing.on('error', (error) => finish(false, error.message))
    outgoing.on('response', (incoming) => {
      head = incoming
      incoming.on('data', (chunk) => {
        text += chunk.toString('latin1')
        onData?.(chunk)
      })
      incoming.on('error', (error) => finish(false, error.message))
      incoming.on('end', () => finish(incoming.complete))
      incoming.on('close', () => finish(false, 'closed'))
    })
    outgoing.end(body)
  })
}

/** Bounds and names of a small deployment. */
export const SMALL_DEPLOYMENT = {
  zones: ['pichincha-a', 'pichincha-b', 'pichincha-c'],
  bounds: { drain_ms: 2000, grace_s: 8, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 52, reuse_window_s: 8.1 },
  platform: { cross_region: true }
}

/** Starts machines with one gateway each, with the run command of the deploy file. */
export async function startMachines (count, storeAddressOf, { log = () => {}, zones = SMALL_DEPLOYMENT.zones, bounds = {}, env = {} } = {}) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const [program, ...words] = runCommand()
  const machines = []
  for (let index = 0; index < count; index++) {
    const ip = `127.0.0.${index + 11}`
    const [frontend, readiness, first, second] = await freePorts(ip, 4)
    const values = {
      node_name: `edge-${index + 1}`,
      zone: zones[index % zones.length],
      ip,
      listen: { frontend: `${ip}:${frontend}`, readiness: `${ip}:${readiness}` },
      port_range: [first, second],
      platform: { ...SMALL_DEPLOYMENT.platform, address: storeAddressOf(index) },
      bounds: { ...SMALL_DEPLOYMENT.bounds, ...bounds }
    }
    const file = join(folder, `boot-${index + 1}.settings`)
    writeFileSync(file, settingsText(values))
    machines.push(createMachine({ name: values.node_name, zone: values.zone, frontend: values.listen.frontend, readiness: values.listen.readiness, metrics: `${ip}:${first}`, peer: `${ip}:${second}`, file, program, words, log, env }))
  }
  for (const machine of machines) machine.start()
  await Promise.all(machines.map((machine) => machine.untilReady()))
  const timer = setInterval(() => { for (const machine of machines) machine.checkReadiness() }, READINESS_INTERVAL_MS)
  return {
    machines,
    /** Machines that get new channels: two misses in a row take one out of rotation, unless none is left. */
    candidates: () => {
      const ready = machines.filter((machine) => machine.misses < 2)
      return ready.length > 0 ? ready : machines
    },
    close: async () => {
      clearInterval(timer)
      await Promise.all(machines.map((machine) => machine.end()))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

function createMachine ({ file, program, words, log, env, ...machine }) {
  let child
  let exited = Promise.resolve()
  const lines = []
  const created = {
    ...machine,
    misses: 0,
    lines,
    /** Exits that no signal of the test explains. */
    unexpectedExits: 0,
    expectsExit: false,
    start: () => {
      created.expectsExit = false
      child = spawn(program, words, { cwd: ROOT, stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, HOME: process.env.HOME, QUINCESHUNT_NODE_FILE: file, ...env } })
      const started = child
      let rest = ''
      started.stdout.on('data', (chunk) => {
        const parts = (rest + chunk.toString()).split('\n')
        rest = parts.pop()
        for (const line of parts) lines.push(line)
      })
      started.stderr.on('data', (chunk) => lines.push(`stderr ${chunk.toString()}`))
      exited = new Promise((resolve) => started.on('exit', (code, signal) => {
        if (!created.expectsExit) created.unexpectedExits++
        log(`exit ${machine.name} code=${code} signal=${signal}`)
        resolve()
      }))
    },
    get exited () { return exited },
    get processId () { return child.pid },
    signal: (name) => {
      if (name === 'SIGTERM' || name === 'SIGKILL') created.expectsExit = true
      log(`signal ${name} ${machine.name}`)
      child.kill(name)
    },
    checkReadiness: async () => {
      const { status } = await sendRequest(machine.readiness, '/readyz', { timeoutMilliseconds: 900 })
      created.misses = status === 200 ? 0 : created.misses + 1
    },
    untilReady: async () => {
      const endsAt = Date.now() + READY_TIMEOUT_MS
      while ((await sendRequest(machine.readiness, '/readyz', { timeoutMilliseconds: 500 })).status !== 200) {
        if (Date.now() > endsAt) throw new Error(`${machine.name} is not ready: ${lines.slice(-3).join(' ')}`)
        await pause(50)
      }
    },
    end: async () => {
      if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
      created.expectsExit = true
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await exited
    }
  }
  return created
}
