/**
 * Fetches tables that are too large for the feed: one task in the router that downloads the newest table from any
 * control instance while polling continues, so that loads, servers and the leader's confirmation are not delayed.
 */
import {
  waitFor,
  type HttpClient,
  type Logger,
  type RandomSource,
  type TimerService,
} from '@spoolgate/core'
import { NO_TABLE_VERSION, type TableUpdate } from '../table/tableUpdate.js'
import { TABLE_PATH } from './feed.js'
import { createInstanceSearch } from './instanceSearch.js'
import type { TableRequest } from './tableSource.js'

/** Options of {@link createTableFetcher}. */
export interface TableFetcherOptions {
  /** URLs of the control instances. */
  readonly listInstances: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Version of the router's table; -1 for none. */
  readonly heldVersion: () => number
  /** Applies an update; false if it does not apply. Throws if the table is unreadable. */
  readonly onUpdate: (update: TableUpdate) => boolean
  readonly stopping: AbortSignal
}

/** See {@link createTableFetcher}. */
export interface TableFetcher {
  /** Requests a version; it is fetched unless the router holds it or a newer one. */
  requestVersion(version: number): void
  /** Resolves once no fetch is running. */
  close(): Promise<void>
}

/** Pause after an unusable update, in ms, since the next one is likely to be unusable too. */
const UNUSABLE_PAUSE_MS = 500

/** Creates an idle fetcher. */
export function createTableFetcher(options: TableFetcherOptions): TableFetcher {
  const { client, timers, logger, heldVersion, stopping } = options
  let wantedVersion = NO_TABLE_VERSION
  /** Set when an update does not apply, until one does. */
  let isFullTableNeeded = false
  let running: Promise<void> | undefined

  const findBase = () => (isFullTableNeeded ? NO_TABLE_VERSION : heldVersion())
  const search = createInstanceSearch({
    listInstances: options.listInstances,
    send: (url, signal) =>
      client.sendJson<TableUpdate>({
        answer: 'table',
        method: 'POST',
        url: `${url}${TABLE_PATH}`,
        json: { heldVersion: findBase(), wantedVersion } satisfies TableRequest,
        signal,
      }),
    timers,
    random: options.random,
    logger,
    logEvent: 'table.searching',
    describeState: () => ({ tableVersion: heldVersion(), wantedVersion }),
    stopping,
  })
  const applyUpdate = async (url: string, update: TableUpdate) => {
    const held = heldVersion()
    // A reply of the feed may have installed a newer table in the meantime.
    const isOutdated = update.version <= held || (update.base !== null && update.base !== held)
    if (isOutdated) return
    if (options.onUpdate(update)) {
      isFullTableNeeded = false
      return
    }
    isFullTableNeeded = true
    logger.error('table.unfit', { url, held, base: update.base, version: update.version })
    await waitFor(timers, UNUSABLE_PAUSE_MS, stopping)
  }
  const fetchNewest = async () => {
    try {
      const found = await search.run()
      if (found) await applyUpdate(found.url, found.answer)
    } catch (cause) {
      // Only an unreadable table gets here: one written for a newer version of this program.
      const reason = String(cause)
      logger.error('table.unreadable', { held: heldVersion(), wantedVersion, reason })
      await waitFor(timers, UNUSABLE_PAUSE_MS, stopping)
    }
  }
  const isBehind = () => heldVersion() < wantedVersion && !stopping.aborted
  const run = async () => {
    while (isBehind()) await fetchNewest()
    // Reset in the same turn as the last check, so that a version requested later starts the task again.
    running = undefined
  }
  return {
    requestVersion: (version) => {
      wantedVersion = Math.max(wantedVersion, version)
      if (isBehind()) running ??= run()
    },
    close: async () => running,
  }
}
