import { describe, expect, test } from '@jest/globals'
import { createSetAside, type AttemptSetAside } from '../tasks/attemptSetAside.js'
import type { AttemptOutcome } from '../decisions/requestPlan.js'

interface Race {
  readonly first: AttemptSetAside
  readonly outcomes: readonly string[]
  /** The first attempt goes on. */
  goOn (): void
  readonly aborted: readonly string[]
}

/** Starts the race of a first attempt with its second send; both may answer at the same time. */
function startRace (): Race {
  const outcomes: string[] = []
  const aborted: string[] = []
  let isSetAside = true
  const first = createSetAside('secondSend', Promise.resolve<AttemptOutcome>({ kind: 'delivered', status: 200 }), {
    isSetAside: () => isSetAside,
    takeUp: () => { isSetAside = false },
    abort: () => { aborted.push('first') },
    settleRace: (outcome) => { outcomes.push(outcome) }
  })
  first.onGoneOn = () => { aborted.push('second') }
  return {
    first,
    outcomes,
    aborted,
    goOn: () => {
      if (!isSetAside || aborted.includes('first')) return
      isSetAside = false
      first.hasGoneOn = true
      first.onGoneOn()
    }
  }
}

describe('a first attempt and its second send', () => {
  // Guards against both attempts being ended, or none, when both answer at once.
  test('that answer at the same time end only the later one', async () => {
    const firstWins = startRace()
    firstWins.goOn()
    firstWins.first.giveUp(true)
    expect(firstWins.aborted).toEqual(['second'])
    expect(await firstWins.first.resume()).toEqual({ kind: 'delivered', status: 200 })
    expect(firstWins.outcomes).toEqual(['lost'])
    const secondWins = startRace()
    secondWins.first.giveUp(true)
    secondWins.goOn()
    expect(secondWins.aborted).toEqual(['first'])
    expect(secondWins.first.resume()).toBeUndefined()
    expect(secondWins.outcomes).toEqual(['won'])
  })

  // Guards against a second send that is counted as faster although its caller has left.
  test('is not won when it is given up without an answer', () => {
    const race = startRace()
    race.first.giveUp()
    race.first.giveUp(true)
    expect([race.outcomes, race.aborted]).toEqual([['lost'], ['first']])
  })
})
