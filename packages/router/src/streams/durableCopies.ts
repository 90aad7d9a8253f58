/**
 * Copies of stream records at routers that keep them on a disk. A router sends all of its records to the same few of
 * them, gathered, so that a large fleet sends these few routers a bounded number of messages.
 */
import {
  toStreamKey,
  waitFor,
  type HttpClient,
  type Logger,
  type TimerService,
} from '@spoolgate/core'
import { rankHolders } from './recordHolders.js'
import { MAX_RECORDS_PER_MESSAGE } from './recordMessages.js'
import { sendRecords } from './recordSender.js'
import type { StreamRecord } from './streamRecords.js'

/** Options of {@link createDurableCopies}. */
export interface DurableCopiesOptions {
  readonly ownUrl: string
  /** Lists the URLs of all routers that keep records on a disk. */
  readonly listDurable: () => readonly string[]
  /** Lists the URLs of all routers. */
  readonly listPeers: () => readonly string[]
  /**
   * Whether these lists contain all routers; until then records wait for those that are missing.
   * @default true
   */
  readonly isListComplete?: () => boolean
  readonly client: Pick<HttpClient, 'send'>
  readonly timers: TimerService
  readonly logger: Logger
  /** Counts a message by outcome, with the records in it. */
  readonly countMessage: (outcome: 'sent' | 'failed', records: number) => void
}

/** See {@link createDurableCopies}. */
export interface DurableCopies {
  /** Sends a record soon. */
  add(record: StreamRecord): void
  close(): Promise<void>
}

/** A record with the URLs of the routers that took it. */
interface PendingRecord {
  readonly record: StreamRecord
  readonly takenBy: Set<string>
  /** Times that a router did not take it. */
  failures: number
}

/** Routers with a disk that keep a record. */
export const DURABLE_COPIES = 2
/** Time for which records are gathered, in ms: per router, since their messages meet at few others, and its bounds. */
const GATHER_MS_PER_ROUTER = 2.5
const MIN_GATHER_MS = 5
const MAX_GATHER_MS = 1_000
/** Time until records are sent again for which too few routers were listed or reached, in ms. */
const RESEND_MS = 200
/** Failures after which a record is not sent again once all routers are listed: those of a router that stands still for seconds. */
const MAX_FAILURES = 8
/** Maximum records that wait, including those to send again. */
export const MAX_PENDING = 4_096

function isLacking({ takenBy }: PendingRecord): boolean {
  return takenBy.size < DURABLE_COPIES
}

/** Creates the copies of one router. */
export function createDurableCopies(options: DurableCopiesOptions): DurableCopies {
  const { ownUrl, listDurable, listPeers, client, timers, logger, countMessage } = options
  const { isListComplete = () => true } = options
  const rankKey = toStreamKey(ownUrl)
  const pending: PendingRecord[] = []
  /** Records that too few routers took; new ones are sent first. */
  const resending: PendingRecord[] = []
  let sending: Promise<void> | undefined
  let isClosed = false

  const sendTo = async (url: string, batch: readonly StreamRecord[]): Promise<boolean> => {
    try {
      await sendRecords(client, url, batch)
      countMessage('sent', batch.length)
      return true
    } catch (cause) {
      countMessage('failed', batch.length)
      const reason = cause instanceof Error ? cause.message : String(cause)
      logger.info('streams.holderFailed', { holder: url, records: batch.length, reason })
      return false
    }
  }
  /** Sends a batch to the first routers that take it; returns the records that too few took. */
  const sendBatch = async (batch: readonly PendingRecord[]) => {
    for (const url of rankHolders(rankKey, listDurable(), ownUrl)) {
      const missing = batch.filter((entry) => isLacking(entry) && !entry.takenBy.has(url))
      if (missing.length === 0) continue
      const isTaken = await sendTo(
        url,
        missing.map(({ record }) => record),
      )
      for (const entry of missing) {
        if (isTaken) entry.takenBy.add(url)
        else entry.failures += 1
      }
    }
    return batch.filter(isLacking)
  }
  const takeBatch = () => {
    const batch = pending.splice(0, MAX_RECORDS_PER_MESSAGE)
    return [...batch, ...resending.splice(0, MAX_RECORDS_PER_MESSAGE - batch.length)]
  }
  /** Whether another attempt may reach more routers: some are not listed yet, or one may take it next time. */
  const isWorthResending = ({ failures }: PendingRecord) =>
    !isListComplete() || (failures > 0 && failures < MAX_FAILURES)
  const countPending = () => pending.length + resending.length
  /** Keeps records for another attempt; the oldest are dropped where too many wait. */
  const addAgain = (lacking: readonly PendingRecord[]) => {
    const dropped = Math.max(0, countPending() + lacking.length - MAX_PENDING)
    resending.push(...lacking.slice(dropped))
  }
  const sendPending = async () => {
    while (countPending() > 0) {
      const gatherMs = Math.max(MIN_GATHER_MS, listPeers().length * GATHER_MS_PER_ROUTER)
      if (!isClosed) await waitFor(timers, Math.min(MAX_GATHER_MS, gatherMs))
      const lacking = (await sendBatch(takeBatch())).filter(isWorthResending)
      if (lacking.length === 0 || isClosed) continue
      addAgain(lacking)
      await waitFor(timers, RESEND_MS)
    }
    sending = undefined
  }
  return {
    add: (record) => {
      if (isClosed || (listDurable().length === 0 && isListComplete())) return
      if (countPending() >= MAX_PENDING) (resending.length > 0 ? resending : pending).shift()
      pending.push({ record, takenBy: new Set(), failures: 0 })
      sending ??= sendPending()
    },
    close: async () => {
      isClosed = true
      await sending
    },
  }
}
