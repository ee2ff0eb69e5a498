// Measures the bytes and the processor time of the messages with which instances share load figures; docs/design/sharedLoads.md has
// the results. Usage: node scripts/measureSharedLoads.mjs, after `npx tsc -b packages/gateway`.
import { createLoadBoard } from '../packages/gateway/lib/decisions/loadBoard.js'
import { encodeRow, loadKeyOf, RATIO_UNITS } from '../packages/gateway/lib/decisions/loadRows.js'
import { createLoadView } from '../packages/gateway/lib/decisions/loadView.js'
import { encodeOthers, encodeSums, parseLoadMessage, parseOthers } from '../packages/gateway/lib/tasks/loadMessages.js'

const SECONDS = 40
const WARM_UP_SECONDS = 25
const REQUESTS_PER_SECOND = 5
const IN_PROGRESS = 25
const EXCHANGES_PER_SECOND = 1000 / 300
const VIEWS = 6
const NOW = 1_000_000

let seed = 1
function random () {
  seed = (seed * 48271) % 2147483647
  return seed / 2147483647
}

function pick (list) {
  return list[Math.floor(random() * list.length)]
}

const spent = new Map()

/** Adds the processor time of a step, milliseconds; the first seconds warm the compiler up. */
function timed (name, second, step) {
  const before = process.cpuUsage()
  const result = step()
  const { user, system } = process.cpuUsage(before)
  if (second >= WARM_UP_SECONDS) spent.set(name, (spent.get(name) ?? 0) + (user + system) / 1000)
  return result
}

function measure (instances, processes, domains) {
  spent.clear()
  const names = Array.from({ length: processes }, (_, index) => `i-${String(index).padStart(8, '0')}/1700000000000`)
  const keys = new Map(names.map((name) => [name, loadKeyOf(name)]))
  const listed = new Map(names.map((name) => [name, 'model']))
  const homes = Array.from({ length: domains }, () => createLoadBoard())
  const view = createLoadView(() => ({ processes, requests: IN_PROGRESS, unansweredTokens: 0 }))
  const bytes = { report: 0, reply: 0, largestReply: 0, messages: 0, sums: 0, exchanges: 0 }
  const lastReports = new Map()

  function report (instance, now) {
    const rows = new Map()
    const rowOf = (name) => {
      if (!rows.has(name)) rows.set(name, { requests: 0, unansweredTokens: 0, ratioSum: 0, ratioCount: 0, report: undefined, sent: 0, answered: 0, rejected: 0 })
      return rows.get(name)
    }
    for (let index = 0; index < IN_PROGRESS; index++) {
      const row = rowOf(pick(names))
      row.requests++
      if (random() < 0.1) row.unansweredTokens += 9190
    }
    for (let index = 0; index < REQUESTS_PER_SECOND; index++) {
      rowOf(pick(names)).sent++
      const row = rowOf(pick(names))
      row.answered++
      row.ratioSum += Math.round((random() - 0.4) * RATIO_UNITS)
      row.ratioCount += RATIO_UNITS
    }
    const reports = [...(lastReports.get(instance) ?? []), ...[...rows].filter(([, row]) => row.answered > 0).map(([name]) => ({ name, report: { running: 15 + Math.floor(random() * 17), waiting: random() < 0.2 ? 2 : 0, slots: 32, workPercent: 80 + Math.floor(random() * 60), receivedAt: now - Math.floor(random() * 1000) } }))].filter((entry) => now - entry.report.receivedAt <= 2000)
    lastReports.set(instance, reports)
    for (const entry of reports) rowOf(entry.name).report = entry.report
    return JSON.stringify({ to: 'i-00000001.0123abcd', kind: 'report', from: loadKeyOf(`i${instance}`), interval: 1000, services: [['model', [...rows].map(([name, row]) => encodeRow(keys.get(name), row, now)).join(';')]] })
  }

  function exchange (second, now) {
    homes.forEach((board, index) => {
      const sums = timed('exchange', second, () => encodeSums(`home-${index}`, `domain-${index}`, board.ownSums(now), now))
      for (const [other, otherBoard] of homes.entries()) {
        if (other === index) continue
        const sent = timed('exchange', second, () => JSON.stringify({ to: 'i-00000001.0123abcd', ...sums }))
        timed('exchange', second, () => otherBoard.learn(parseLoadMessage(JSON.parse(sent), now).sums, `domain-${other}`, now))
        bytes.sums += sent.length
        bytes.exchanges++
      }
    })
  }

  for (let second = 0; second < SECONDS; second++) {
    let exchangedAt = 0
    for (let instance = 0; instance < instances; instance++) {
      const now = NOW + second * 1000 + Math.floor(instance * 1000 / instances)
      if (now % 1000 >= exchangedAt) {
        exchange(second, now)
        exchangedAt += 1000 / EXCHANGES_PER_SECOND
      }
      const board = homes[instance % domains]
      const message = report(instance, now)
      const reply = timed('home', second, () => {
        const { report: parsed } = parseLoadMessage(JSON.parse(message), now)
        board.report(parsed, now)
        return JSON.stringify(encodeOthers(board.othersOf(parsed.reporter, ['model'], now)))
      })
      // A process has one view; more of them here would leave garbage whose collection counts for the homes.
      if (instance < VIEWS) timed('instance', second, () => view.takeReply(parseOthers(JSON.parse(reply)).others, listed, now))
      if (second < WARM_UP_SECONDS) continue
      bytes.report += message.length
      bytes.reply += reply.length
      bytes.largestReply = Math.max(bytes.largestReply, reply.length)
      bytes.messages++
    }
  }
  const measuredSeconds = SECONDS - WARM_UP_SECONDS
  const perSecond = (name, count) => (spent.get(name) ?? 0) / measuredSeconds / count
  console.log(`${instances} instances in ${domains} failure domains, ${processes} processes of one service`)
  console.log(`  bytes: report ${Math.round(bytes.report / bytes.messages)}, reply ${Math.round(bytes.reply / bytes.messages)} (largest ${bytes.largestReply}), sums ${Math.round(bytes.sums / bytes.exchanges)}`)
  console.log(`  processor time, ms: each message at the home ${(perSecond('home', instances)).toFixed(3)}, at the instance ${(perSecond('instance', VIEWS)).toFixed(3)}`)
  console.log(`  a home, ms in a second: ${perSecond('home', domains).toFixed(1)} for reports, ${perSecond('exchange', domains).toFixed(1)} for exchanges`)
}

const sizes = process.argv.length > 2 ? [process.argv.slice(2).map(Number)] : [[70, 98, 3], [390, 1100, 3]]
for (const [instances, processes, domains] of sizes) measure(instances, processes, domains)
