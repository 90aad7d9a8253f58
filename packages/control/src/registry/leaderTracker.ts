/**
 * Knows the current leader from outside the control group: searches it among the seeds, the instances that led before
 * and those that voters announce, and checks it periodically.
 */
import {
  createTimeLimit,
  SpoolgateError,
  toSpoolgateError,
  type HttpClient,
  type Logger,
  type RandomSource,
  type TimerService,
} from '@spoolgate/core'
import { LRUCache } from 'lru-cache'
import { firstValueFrom, fromEvent, map, race, Subject } from 'rxjs'
import { OPERATION_PATH } from './fleetOperations.js'
import { createInstanceSearch, SILENT_INSTANCE_MS } from './instanceSearch.js'

/** Options of {@link createLeaderTracker}. */
export interface LeaderTrackerOptions {
  /** URLs of control instances, some of which may be wrong, gone or relays; called again on each use. */
  readonly seeds: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
}

/** A leader as seen from outside its group. */
export interface KnownLeader {
  readonly url: string
  /** Term in which it confirmed its lease; undefined if it has only been named or has only run an operation. */
  readonly term?: number
}

/** See {@link createLeaderTracker}. */
export interface LeaderTracker {
  /** Returns the leader that was confirmed last; undefined while none is known. */
  current(): KnownLeader | undefined
  /**
   * Searches for an instance that confirms its lease. The search continues after `signal` aborts.
   * @returns undefined if none is found before `signal` aborts
   */
  search(signal: AbortSignal): Promise<KnownLeader | undefined>
  /** Records an instance that answered as the leader, if none is known: a late answer may be from a former one. */
  recordLeader(url: string): void
  /** Records an instance that may be the leader; searches also ask it. */
  recordCandidate(url: string): void
  /** Records that an instance does not lead or does not listen. */
  recordRefusal(url: string): void
  /** Records that the leader did not answer; it stays the current one until a search finds another. */
  recordSilence(): void
  close(): Promise<void>
}

/** Interval between checks of the leader, in ms: as long as an election. */
const CHECK_PERIOD_MS = 500
/** Maximum number of candidates that are searched besides the seeds: the largest number of voters. */
const MAX_CANDIDATES = 8

/** Creates the tracker and starts its periodic check. */
export function createLeaderTracker(options: LeaderTrackerOptions): LeaderTracker {
  const { client, timers, logger } = options
  const stopping = new AbortController()
  /** Instances that led before or were announced as the leader. */
  const candidates = new LRUCache<string, true>({ max: MAX_CANDIDATES })
  let leader: KnownLeader | undefined
  let searching: Promise<void> | undefined
  /** Emits the result of each search; waiting on its promise would hold every waiter until the search ends. */
  const searched = new Subject<KnownLeader | undefined>()

  const confirm = (url: string, signal: AbortSignal) =>
    client.sendJson<{ readonly term: number }>({
      method: 'POST',
      url: `${url}${OPERATION_PATH}/confirmLeader`,
      json: {},
      signal,
    })
  const instances = createInstanceSearch({
    listInstances: () => [...new Set([...candidates.keys(), ...options.seeds()])],
    send: confirm,
    timers,
    random: options.random,
    logger,
    logEvent: 'relay.searching',
    describeState: () => ({ leader: leader?.url }),
    stopping: stopping.signal,
  })
  const install = (next: KnownLeader) => {
    candidates.set(next.url, true)
    if (leader?.url !== next.url) logger.info('relay.leader', { url: next.url, term: next.term })
    leader = next
  }
  const runSearch = async () => {
    const found = await instances.run()
    searching = undefined
    if (found) install({ url: found.url, term: found.answer.term })
    searched.next(found && leader)
  }
  const startSearch = () => (searching ??= runSearch())
  const recordRefusal = (url: string) => {
    if (leader?.url === url) leader = undefined
    void startSearch()
  }
  const checkLeader = async ({ url }: KnownLeader) => {
    const limit = createTimeLimit(timers, SILENT_INSTANCE_MS, [stopping.signal])
    try {
      const { term } = await confirm(url, limit.signal)
      if (leader?.url === url) leader = { url, term }
    } catch (cause) {
      logger.debug('relay.leaderUnconfirmed', { url, reason: toSpoolgateError(cause).message })
      // Only an answer proves that the instance does not lead; a busy leader may be silent for longer.
      if (cause instanceof SpoolgateError) recordRefusal(url)
      else void startSearch()
    } finally {
      limit.close()
    }
  }
  const runCheck = () => {
    if (searching) return
    if (leader) void checkLeader(leader)
    else void startSearch()
  }
  const checks = timers.every(CHECK_PERIOD_MS).subscribe(runCheck)
  void startSearch()
  return {
    current: () => leader,
    search: async (signal) => {
      if (signal.aborted) return undefined
      const aborted = fromEvent(signal, 'abort').pipe(map(() => undefined))
      const found = firstValueFrom(race(searched, aborted))
      void startSearch()
      return found
    },
    recordLeader: (url) => {
      if (!leader) install({ url })
    },
    recordCandidate: (url) => {
      if (!candidates.has(url)) logger.info('relay.leaderAnnounced', { leaderUrl: url })
      candidates.set(url, true)
    },
    recordRefusal,
    recordSilence: () => void startSearch(),
    close: async () => {
      stopping.abort()
      checks.unsubscribe()
      await searching
    },
  }
}
