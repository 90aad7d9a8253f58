/**
 * Which stores of KV cache answer, and in which life: a store that restarts is empty. The leader
 * keeps one waiting call open to each; what routers are told of a store holds for one life only.
 */
import { toSpoolgateError, waitFor, type Logger, type TimerService } from '@spoolgate/core'
import type { RoutingTable } from '@spoolgate/routing'
import { Subject, type Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type { ControlMachine } from '../state/controlMachine.js'
import type { StoreLife } from './feed.js'

/** Speaks to stores; deployments bring their own way. */
export interface StoreCalls {
  /**
   * Waits at a store until something changed there after `after`, or for a while.
   * @throws ConnectionError or SpoolgateError when there is no readable answer.
   */
  waitAtStore(address: string, after: number, signal: AbortSignal): Promise<StoreAnswer>
}

/** What a store says of itself. */
export interface StoreAnswer {
  /** Changes with each restart of the store. */
  readonly epoch: number
  /** Number after which the next call waits for changes. */
  readonly next: number
}

/** Options of {@link createStoreWatch}. */
export interface StoreWatchOptions {
  readonly member: RaftMember
  readonly machine: ControlMachine
  readonly calls: StoreCalls
  readonly decodeTable: (document: string) => RoutingTable
  readonly timers: TimerService
  readonly logger: Logger
}

/** The watch; see {@link createStoreWatch}. */
export interface StoreWatch {
  /** Stores that answered last time. */
  listLives(): readonly StoreLife[]
  readonly changes: Observable<void>
  close(): Promise<void>
}

/** Pause between two calls to a store, and between two looks at the table, in ms. */
const PAUSE_MS = 300

/** Creates the watch and starts its task. */
export function createStoreWatch(options: StoreWatchOptions): StoreWatch {
  const { member, machine, calls, timers, logger } = options
  const stopping = new AbortController()
  const changes = new Subject<void>()
  const lives = new Map<string, number>()
  const watched = new Set<string>()
  let tableVersion: number | undefined
  let addresses: readonly string[] = []

  const readAddresses = () => {
    const held = machine.table.current()
    if (!held || held.version === tableVersion) return addresses
    tableVersion = held.version
    addresses = options.decodeTable(held.document).stores.map(({ address }) => address)
    return addresses
  }
  const recordLife = (address: string, epoch: number | undefined) => {
    if (lives.get(address) === epoch) return
    if (epoch === undefined) lives.delete(address)
    else lives.set(address, epoch)
    logger.info('store.life', { address, epoch })
    changes.next()
  }
  const isWatching = (address: string) =>
    !stopping.signal.aborted &&
    member.status().role === 'leader' &&
    readAddresses().includes(address)
  const watchStore = async (address: string) => {
    let after = 0
    while (isWatching(address)) {
      try {
        const { epoch, next } = await calls.waitAtStore(address, after, stopping.signal)
        after = next
        recordLife(address, epoch)
        // A busy store answers at once, and nothing more is to be learned from asking more often.
        await waitFor(timers, PAUSE_MS, stopping.signal)
      } catch (cause) {
        const isKnown = lives.has(address)
        recordLife(address, undefined)
        const reason = toSpoolgateError(cause).message
        if (isKnown) logger.warn('store.lost', { address, reason })
        after = 0
        await waitFor(timers, PAUSE_MS, stopping.signal)
      }
    }
    recordLife(address, undefined)
    watched.delete(address)
  }
  const run = async () => {
    while (!stopping.signal.aborted) {
      const found = member.status().role === 'leader' ? readAddresses() : []
      for (const address of found) {
        if (watched.has(address)) continue
        watched.add(address)
        void watchStore(address)
      }
      await waitFor(timers, PAUSE_MS, stopping.signal)
    }
  }
  const running = run()
  return {
    listLives: () => [...lives].map(([address, epoch]) => ({ address, epoch })),
    changes,
    close: async () => {
      stopping.abort()
      await running
    },
  }
}
