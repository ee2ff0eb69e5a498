import { sendRequest } from './fleet.mjs'
import { attemptId, clientHeaders } from './platform.mjs'

/** Clients that send requests at a steady rate, each on a new channel to a machine in rotation. They don't retry. `path` may be a function of the request's number. */
export function createTraffic ({ machines, path, deadlineMilliseconds, note }) {
  const sent = []
  const statuses = {}
  const answers = new Map()
  const pending = new Set()
  let perSecond = 0
  let since = Date.now()
  let due = 0

  function sendOne () {
    const candidates = machines()
    const machine = candidates[Math.floor(Math.random() * candidates.length)]
    const id = attemptId()
    sent.push({ at: Date.now(), id, machine: machine.name })
    const answered = sendRequest(machine.frontend, typeof path === 'function' ? path(sent.length) : path, { headers: clientHeaders(id, deadlineMilliseconds), timeoutMilliseconds: deadlineMilliseconds }).then(({ status, error }) => {
      statuses[status] = (statuses[status] ?? 0) + 1
      answers.set(id, status)
      note(`answer ${id} ${machine.name} ${status} ${error}`)
    })
    pending.add(answered)
    answered.finally(() => pending.delete(answered))
  }

  const timer = setInterval(() => {
    due = Math.floor((Date.now() - since) / 1000 * perSecond)
    while (sentSince < due) {
      sentSince++
      sendOne()
    }
  }, 5)
  let sentSince = 0

  return {
    sent,
    statuses,
    /** Status of each answered request. */
    answers,
    setRate: (rate) => {
      perSecond = rate
      since = Date.now()
      sentSince = 0
    },
    stop: async () => {
      clearInterval(timer)
      await Promise.all(pending)
    }
  }
}

/** Notes what happens, with the time since the start, and writes it beside the script. */
export function createRecord () {
  const startedAt = Date.now()
  const lines = []
  return {
    startedAt,
    note: (text) => lines.push(`${String(Date.now() - startedAt).padStart(6)} ${text}`),
    text: (summary) => `${lines.join('\n')}\n${summary}\n`
  }
}

/**
 * The window in which repeats exceed the retry budget most, by the rule: `ratio` x the requests of that window, the one before or the one
 * half a window before, whichever has most, + `slack`. Windows that begin before `from` are left out.
 */
export function worstRetryWindow ({ sent, arrivals, windowMilliseconds, ratio, slack, from: earliest = -Infinity }) {
  const seen = new Set()
  const repeats = []
  for (const { at, attempt } of arrivals) {
    if (seen.has(attempt)) repeats.push(at)
    seen.add(attempt)
  }
  const countBetween = (times, from, to) => times.filter((at) => at > from && at <= to).length
  const sentAt = sent.map(({ at }) => at)
  let worst = { excess: -Infinity }
  for (const end of repeats) {
    const from = end - windowMilliseconds
    if (from < earliest) continue
    const count = countBetween(repeats, from, end)
    const requests = Math.max(countBetween(sentAt, from, end), countBetween(sentAt, from - windowMilliseconds, from), countBetween(sentAt, from - windowMilliseconds / 2, end - windowMilliseconds / 2))
    const allowed = ratio * requests + slack
    if (count - allowed > worst.excess) worst = { excess: Math.round(count - allowed), repeats: count, allowed: Math.round(allowed), requests, end }
  }
  return worst
}
