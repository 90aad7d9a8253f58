/**
 * Loads of servers as a compact update since a router's last poll. Replies that name thousands of busy servers at hundreds
 * of polls per second exceed the leader's link and core, so servers are numbered and only changed loads are sent. An
 * update holds totals: a router subtracts the loads that it reported in the same poll.
 */
import type { ServerLoad, ServerLoads } from './feed.js'

/** A router's position in the loads: epoch of the numbering, sequence number of the last change, known names. */
export type LoadsCursor = readonly [epoch: number, sequence: number, names: number]

/** Loads that changed since a {@link LoadsCursor}. */
export interface LoadsUpdate {
  /** Position that the update applies to; null when it contains all loads and names. */
  readonly since: LoadsCursor | null
  /** Position of the router after the update. */
  readonly cursor: LoadsCursor
  /** Names of the servers that follow those that the router knows, in the order of their numbers. */
  readonly names: readonly string[]
  /** Number, calls, prompt tokens and backoffs of each server, one after the other. */
  readonly changed: readonly number[]
}

/** Cursor of a router without loads. */
export const NO_LOADS: LoadsCursor = [-1, 0, 0]

/** See {@link createLoadChanges}. */
export interface LoadChanges {
  /** Records that the total of a server changed. */
  record(server: string): void
  /** Builds the update since a cursor; a full one if the cursor is undefined or of another epoch. */
  buildUpdate(cursor: LoadsCursor | undefined, find: (server: string) => ServerLoad): LoadsUpdate
}

/** Maximum number of names: several times the servers of a large deployment with their restarts. */
const MAX_NAMES = 20_000

/** Numbers per server in {@link LoadsUpdate.changed}. */
const FIELDS = 4

/** Whether there is nothing to report of a load. */
export function isZeroLoad({ calls, promptTokens, backoffs = 0 }: ServerLoad): boolean {
  return calls === 0 && promptTokens === 0 && backoffs === 0
}

/** Adds a load to another one, or subtracts it. */
export function addLoad(a: ServerLoad, b: ServerLoad, sign: 1 | -1): ServerLoad {
  const backoffs = (a.backoffs ?? 0) + sign * (b.backoffs ?? 0)
  const calls = a.calls + sign * b.calls
  const promptTokens = a.promptTokens + sign * b.promptTokens
  return backoffs === 0 ? { calls, promptTokens } : { calls, promptTokens, backoffs }
}

/** Creates the record of changes at the leader. */
export function createLoadChanges(): LoadChanges {
  let epoch = 0
  let sequence = 0
  let names: string[] = []
  let changedAt: number[] = []
  const numbers = new Map<string, number>()

  const startEpoch = () => {
    epoch += 1
    names = []
    changedAt = []
    numbers.clear()
  }
  const addName = (server: string) => {
    numbers.set(server, names.length)
    return names.push(server) - 1
  }
  return {
    record: (server) => {
      if (names.length >= MAX_NAMES) startEpoch()
      sequence += 1
      changedAt[numbers.get(server) ?? addName(server)] = sequence
    },
    buildUpdate: (cursor, find) => {
      const base = cursor?.[0] === epoch ? cursor : null
      const [, since, known] = base ?? NO_LOADS
      const changed: number[] = []
      for (let number = 0; number < names.length; number += 1) {
        if (changedAt[number] <= since) continue
        const load = find(names[number])
        if (!base && isZeroLoad(load)) continue
        changed.push(number, load.calls, load.promptTokens, load.backoffs ?? 0)
      }
      const next: LoadsCursor = [epoch, sequence, names.length]
      return { since: base, cursor: next, names: names.slice(known), changed }
    },
  }
}

/** Loads as a router holds them; see {@link createLoadsReplica}. */
export interface LoadsReplica {
  cursor(): LoadsCursor
  /**
   * Applies an update and returns the loads of all other routers, in an object that the next update changes. Returns
   * undefined if the update applies to another position, after which all loads are requested.
   * @param own loads that the router reported in the poll of the update
   */
  apply(update: LoadsUpdate, own: ServerLoads): ServerLoads | undefined
}

/** Creates the replica of a router that has received nothing yet. */
export function createLoadsReplica(): LoadsReplica {
  let cursor = NO_LOADS
  let names: string[] = []
  let subtracted: ServerLoads = {}
  const totals = new Map<string, ServerLoad>()
  const others: Record<string, ServerLoad> = {}

  const setOthers = (server: string, own: ServerLoad | undefined) => {
    const total = totals.get(server)
    const rest = total && own ? addLoad(total, own, -1) : total
    // A report that crossed another one may exceed the total.
    const isNone = !rest || rest.calls < 0 || rest.promptTokens < 0 || isZeroLoad(rest)
    if (isNone) delete others[server]
    else others[server] = rest
  }
  const clear = () => {
    totals.clear()
    for (const server of Object.keys(others)) delete others[server]
    names = []
    subtracted = {}
  }
  const applyChanged = (changed: readonly number[], own: ServerLoads) => {
    for (let at = 0; at < changed.length; at += FIELDS) {
      const server = names[changed[at]]
      const calls = changed[at + 1]
      const promptTokens = changed[at + 2]
      const backoffs = changed[at + 3]
      const load = backoffs === 0 ? { calls, promptTokens } : { calls, promptTokens, backoffs }
      if (isZeroLoad(load)) totals.delete(server)
      else totals.set(server, load)
      setOthers(server, own[server])
    }
  }
  return {
    cursor: () => cursor,
    apply: (update, own) => {
      const { since } = update
      if (since && since.join() !== cursor.join()) {
        cursor = NO_LOADS
        return undefined
      }
      if (!since) clear()
      names.push(...update.names)
      applyChanged(update.changed, own)
      for (const server of Object.keys({ ...subtracted, ...own })) setOthers(server, own[server])
      subtracted = own
      cursor = update.cursor
      return others
    },
  }
}
