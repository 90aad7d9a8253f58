/** Assembles what a router needs to resume streams: its records, their exchange with other routers, and the metrics. */
import type { FeedClient } from '@spoolgate/control'
import type { Logger, MemoryBudget, Metrics, TimerService } from '@spoolgate/core'
import { openRecordExchange, type PeerEndpoint } from './recordExchange.js'
import { createStreamContinuity, type StreamContinuity } from './streamContinuity.js'
import { createStreamRecords, MAX_DURABLE_RECORDS, MAX_STREAM_RECORDS } from './streamRecords.js'

/** Time after its start in which lists may lack routers that restarted with this one, in ms. */
const SETTLE_MS = 5_000

/** Options of {@link openStreamSetup}. */
export interface StreamSetupOptions {
  /** Undefined if the router has no exchange with others. */
  readonly peers: PeerEndpoint | undefined
  /** Folder on the disk of this router, where records outlive its process; undefined if it has none. */
  readonly folder: string | undefined
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Metrics
  /**
   * Memory budgets of the process.
   * @default undefined, bodies are bounded one by one
   */
  readonly memory?: MemoryBudget
}

/** See {@link openStreamSetup}. */
export interface StreamSetup {
  /** URL at which other routers reach this one. */
  readonly peerUrl: string | undefined
  /** Starts to follow the software versions and the peers that the feed reports. */
  start(feed: FeedClient): StreamContinuity
  /** Sends the records to other routers and stops. */
  close(): Promise<void>
}

/** Opens the exchange of records, if the router has one. */
export async function openStreamSetup(options: StreamSetupOptions): Promise<StreamSetup> {
  const { peers: endpoint, folder, timers, logger, metrics, memory } = options
  const isDurable = folder !== undefined
  const records = createStreamRecords(timers, isDurable ? MAX_DURABLE_RECORDS : MAX_STREAM_RECORDS)
  let followed: FeedClient | undefined
  let continuity: StreamContinuity | undefined
  const listPeers = () => followed?.listPeers() ?? []
  const listDurable = () => followed?.listDurablePeers() ?? []
  const settledAt = timers.now() + SETTLE_MS
  const isListComplete = () =>
    timers.now() >= settledAt && (followed?.isPeerListComplete() ?? false)
  const exchange =
    endpoint &&
    (await openRecordExchange({
      endpoint,
      records,
      listPeers,
      listDurable,
      isListComplete,
      folder,
      timers,
      logger,
      metrics,
      memory,
    }))
  metrics.gauge('stream_records', 'Records of streams that may be resumed', records.count)
  return {
    peerUrl: exchange?.url,
    start: (feed) => {
      followed = feed
      continuity = createStreamContinuity({ records, exchange, feed, timers, metrics })
      return continuity
    },
    close: async () => {
      continuity?.close()
      await exchange?.close()
      records.close()
    },
  }
}
