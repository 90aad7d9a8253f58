/**
 * A router's way to tables that are too large for the feed: one task that fetches the newest from any
 * control instance while the polls go on, so that loads, servers and the proof of the leader do not wait.
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

/** Options of {@link createTableFetch}. */
export interface TableFetchOptions {
  /** URLs of the control instances. */
  readonly listInstances: () => readonly string[]
  readonly client: HttpClient
  readonly timers: TimerService
  readonly random: RandomSource
  readonly logger: Logger
  /** Version that the router holds; -1 for none. */
  readonly heldVersion: () => number
  /** Takes an update over; false when it does not fit. Throws for a table that cannot be read. */
  readonly onUpdate: (update: TableUpdate) => boolean
  readonly stopping: AbortSignal
}

/** The task; see {@link createTableFetch}. */
export interface TableFetch {
  /** Notes that there is a version; it is fetched unless the router holds it or a newer one. */
  want(version: number): void
  /** Resolves once nothing is fetched any more. */
  close(): Promise<void>
}

/** Pause after an update that could not be used, in ms: the next will most likely be like it. */
const UNUSABLE_PAUSE_MS = 500

/** Creates the task; nothing is fetched yet. */
export function createTableFetch(options: TableFetchOptions): TableFetch {
  const { client, timers, logger, heldVersion, stopping } = options
  let wantedVersion = NO_TABLE_VERSION
  /** Set once an update did not fit, until one did. */
  let isWholeWanted = false
  let running: Promise<void> | undefined

  const findBase = () => (isWholeWanted ? NO_TABLE_VERSION : heldVersion())
  const search = createInstanceSearch({
    listInstances: options.listInstances,
    send: (url, signal) =>
      client.sendJson<TableUpdate>({
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
    // An answer of the feed may have brought the router further in the meantime.
    const isOutdated = update.version <= held || (update.base !== null && update.base !== held)
    if (isOutdated) return
    if (options.onUpdate(update)) {
      isWholeWanted = false
      return
    }
    isWholeWanted = true
    logger.error('table.unfit', { url, held, base: update.base, version: update.version })
    await waitFor(timers, UNUSABLE_PAUSE_MS, stopping)
  }
  const fetchNewest = async () => {
    try {
      const found = await search.run()
      if (found) await applyUpdate(found.url, found.answer)
    } catch (cause) {
      // Only what cannot be read comes here: a table of a newer version of this program.
      const reason = String(cause)
      logger.error('table.unreadable', { held: heldVersion(), wantedVersion, reason })
      await waitFor(timers, UNUSABLE_PAUSE_MS, stopping)
    }
  }
  const isBehind = () => heldVersion() < wantedVersion && !stopping.aborted
  const run = async () => {
    while (isBehind()) await fetchNewest()
    // In the turn of the last look, so that a version which is wanted from now on starts the task again.
    running = undefined
  }
  return {
    want: (version) => {
      wantedVersion = Math.max(wantedVersion, version)
      if (isBehind()) running ??= run()
    },
    close: async () => running,
  }
}
