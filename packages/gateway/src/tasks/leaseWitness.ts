import { steadyNow } from '../clock.js'
import { decodeLeaseRow, leaseTotals, type LeaseRow } from '../decisions/leaseRow.js'
import { isCurrentKnowledge, missingTotals, toldTotalsSchema, type ToldLease } from '../decisions/toldLease.js'
import type { RowStore } from '../ports.js'
import { openBalanceTable, type BalanceTable, type ObservedBalance } from './balanceTable.js'
import type { DecisionLog } from './decisionLog.js'
import type { Peer } from './fleetTask.js'
import { PEER_PATH, postToPeer } from './peerMessages.js'
import type { StoreEra } from './storeEra.js'
import type { LeaseTotals } from './tokenAccounts.js'
import type { Post } from './tokenLoans.js'
import { CORRECTIONS_PER_TRANSACTION, TRANSACTION_TIMEOUT_MS } from './tokenTiming.js'
import * as v from 'valibot'

const TELL_TIMEOUT_MS = 500
/** Pause before a message is repeated, or until the first peers are known. */
const TELL_RETRY_MS = 250
const MAX_TELL_ATTEMPTS = 8
/** An instance that runs records its totals itself within this time after a restore. */
const RESTATE_DELAY_MS = 1000
const RESTATE_RETRY_MS = 200
const MAX_RESTATE_ATTEMPTS = 25

/**
 * Tells a few peers what this instance has recorded in the balances, and records it for instances that can't after a restore
 * of the store, because they were killed or are cut off.
 */
export interface LeaseWitness {
  /** Tells the peers of this instance's totals. */
  tell (totals: LeaseTotals): void
  /** Remembers the totals of a peer; returns those of its last process, if there was another one. */
  receive (told: ToldLease): ToldLease | undefined
}

/** Dependencies of the witness. */
export interface LeaseWitnessOptions {
  readonly store: RowStore
  readonly era: StoreEra
  readonly log: DecisionLog
  readonly instanceId: string
  readonly incarnationId: string
  readonly spansParts: boolean
  /** Peers that are told of this instance's totals. */
  readonly witnesses: () => readonly Peer[]
  /** True when an instance has recorded its totals itself since the last restore. */
  readonly hasRecovered: (instanceId: string) => boolean
  /** Called when the totals of an instance are recorded as its last process knew them. */
  readonly onRestated: (instanceId: string) => void
  readonly learnPredecessor: (lifetime: string, told: LeaseTotals) => void
  readonly post?: Post
}

/** Creates a witness that was told nothing. */
export function createLeaseWitness (options: LeaseWitnessOptions): LeaseWitness {
  const { store, era, log, spansParts } = options
  const post = options.post ?? postToPeer
  const told = new Map<string, ToldLease>()
  const predecessors = new Map<string, ToldLease>()
  let newest: LeaseTotals | undefined

  const pause = (milliseconds: number): Promise<void> => new Promise((resolve) => setTimeout(resolve, milliseconds))

  async function tellPeer (peer: Peer, totals: LeaseTotals): Promise<boolean> {
    const message: ToldLease = { instanceId: options.instanceId, lifetime: options.incarnationId, era: era.current, ...totals }
    const outcome = await post(peer.address, PEER_PATH.leases, { to: peer.incarnationId, ...message }, TELL_TIMEOUT_MS)
    if (outcome.kind !== 'answered') return outcome.kind === 'otherIncarnation'
    const reply = v.safeParse(toldTotalsSchema, outcome.reply)
    if (reply.success) options.learnPredecessor(reply.output.lifetime, reply.output)
    return true
  }

  async function tellAll (totals: LeaseTotals): Promise<void> {
    const reached = new Set<string>()
    for (let attempt = 0; attempt < MAX_TELL_ATTEMPTS; attempt++) {
      if (newest !== totals) return
      const peers = options.witnesses()
      const results = await Promise.all(peers.filter((peer) => !reached.has(peer.instanceId)).map(async (peer) => ({ peer, isTold: await tellPeer(peer, totals) })))
      for (const { peer, isTold } of results) if (isTold) reached.add(peer.instanceId)
      if (peers.length > 0 && reached.size >= peers.length) return
      await pause(TELL_RETRY_MS)
    }
  }

  function parseLease (value: string | undefined): LeaseRow | undefined {
    if (value === undefined) return undefined
    try {
      return decodeLeaseRow(value)
    } catch (error) {
      log.warning('leaseUnreadable', { reason: String(error).slice(0, 200) })
      return undefined
    }
  }

  async function readBalances (table: BalanceTable, names: Iterable<string>): Promise<ReadonlyMap<string, ObservedBalance> | undefined> {
    const balances = new Map<string, ObservedBalance>()
    for (const name of names) {
      const outcome = await table.readBalance(name, steadyNow() + TRANSACTION_TIMEOUT_MS)
      if (outcome.kind !== 'rows') return undefined
      const row = table.findBalanceRow(outcome.rows, name)
      balances.set(name, row === undefined || row.deleted ? { granted: 0, balanceVersion: 0, ceilingsVersion: 0 } : { granted: Number(row.value), balanceVersion: row.version, ceilingsVersion: 0 })
    }
    return balances
  }

  /** Records once what a peer had told; `done` when nothing is left to do. */
  async function restateOnce (lease: ToldLease): Promise<'done' | 'again'> {
    const table = openBalanceTable(store, lease.instanceId, spansParts)
    const outcome = await table.readLease(steadyNow() + TRANSACTION_TIMEOUT_MS)
    if (outcome.kind !== 'rows') return 'again'
    const stored = table.findLeaseRow(outcome.rows)
    const row = parseLease(stored?.value)
    // The instance has recorded its totals itself, or its next process asks for them.
    if (row !== undefined && row.era === era.current) return 'done'
    const missing = missingTotals(row, lease)
    if (missing.size === 0) {
      if (isCurrentKnowledge(row, lease)) options.onRestated(lease.instanceId)
      return 'done'
    }
    const corrections = new Map([...missing].slice(0, CORRECTIONS_PER_TRANSACTION))
    const balances = await readBalances(table, corrections.keys())
    if (balances === undefined) return 'again'
    const rowTotals = row === undefined ? new Map<string, number>() : leaseTotals(row)
    const accounts = { ...row?.accounts }
    for (const [name, tokens] of corrections) accounts[name] = { held: 0, limit: 0, opening: 0, total: (rowTotals.get(name) ?? 0) + tokens }
    const written: LeaseRow = { sealedUntil: 0, ...row, lifetime: lease.lifetime, era: row?.era ?? lease.era, sequence: corrections.size === missing.size ? lease.sequence : row?.sequence ?? 0, accounts }
    const result = await table.transact({ row: written, changes: new Map(), corrections, reclaimed: new Map(), ceilings: new Map() }, stored === undefined ? undefined : { key: stored.key, version: stored.version }, balances, steadyNow() + TRANSACTION_TIMEOUT_MS)
    if (result.kind === 'applied') log.event('balanceCorrectedForPeer', { instance: lease.instanceId, lifetime: lease.lifetime, accounts: [...corrections].map(([name, tokens]) => `${name}:${tokens}`).join(',') })
    if (result.kind !== 'applied' || corrections.size !== missing.size) return 'again'
    if (isCurrentKnowledge(row, lease)) options.onRestated(lease.instanceId)
    return 'done'
  }

  async function restate (lease: ToldLease, restoredAt: number | undefined): Promise<void> {
    for (let attempt = 0; attempt < MAX_RESTATE_ATTEMPTS; attempt++) {
      if (options.hasRecovered(lease.instanceId) || era.restoredAt !== restoredAt) return
      if (await restateOnce(lease) === 'done') return
      await pause(RESTATE_RETRY_MS)
    }
    log.warning('balanceNotCorrectedForPeer', { instance: lease.instanceId, lifetime: lease.lifetime })
  }

  era.onRestored(() => {
    const { restoredAt } = era
    setTimeout(() => {
      for (const lease of told.values()) {
        if (lease.era === era.current) continue
        restate(lease, restoredAt).catch((error: unknown) => log.warning('balanceNotCorrectedForPeer', { instance: lease.instanceId, reason: String(error) }))
      }
    }, RESTATE_DELAY_MS)
  })

  return {
    tell: (totals) => {
      newest = totals
      tellAll(totals).catch((error: unknown) => log.warning('totalsNotTold', { reason: String(error) }))
    },
    receive: (lease) => {
      const known = told.get(lease.instanceId)
      if (known !== undefined && known.lifetime !== lease.lifetime) predecessors.set(lease.instanceId, known)
      if (known === undefined || known.lifetime !== lease.lifetime || known.sequence <= lease.sequence) told.set(lease.instanceId, lease)
      return predecessors.get(lease.instanceId)
    }
  }
}
