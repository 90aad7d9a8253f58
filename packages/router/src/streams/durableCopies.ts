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

/** Routers with a disk that keep a record. */
export const DURABLE_COPIES = 2
/** Time for which records are gathered, in ms: per router, since their messages meet at few others, and its bounds. */
const GATHER_MS_PER_ROUTER = 2.5
const MIN_GATHER_MS = 5
const MAX_GATHER_MS = 1_000
/** Time until records are sent again for which too few routers were listed or reached, in ms. */
const RESEND_MS = 200
/** Maximum records that wait. */
const MAX_PENDING = 4_096

/** Creates the copies of one router. */
export function createDurableCopies(options: DurableCopiesOptions): DurableCopies {
  const { ownUrl, listDurable, listPeers, client, timers, logger, countMessage } = options
  const { isListComplete = () => true } = options
  const rankKey = toStreamKey(ownUrl)
  const pending: StreamRecord[] = []
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
  /** Sends a batch to the first routers that take it; false if they are too few. */
  const sendBatch = async (batch: readonly StreamRecord[]) => {
    let copies = 0
    for (const url of rankHolders(rankKey, listDurable(), ownUrl)) {
      if (await sendTo(url, batch)) copies += 1
      if (copies === DURABLE_COPIES) return true
    }
    return false
  }
  const sendPending = async () => {
    while (pending.length > 0) {
      const gatherMs = Math.max(MIN_GATHER_MS, listPeers().length * GATHER_MS_PER_ROUTER)
      if (!isClosed) await waitFor(timers, Math.min(MAX_GATHER_MS, gatherMs))
      const batch = pending.splice(0, MAX_RECORDS_PER_MESSAGE)
      if ((await sendBatch(batch)) || isClosed || isListComplete()) continue
      pending.unshift(...batch)
      await waitFor(timers, RESEND_MS)
    }
    sending = undefined
  }
  return {
    add: (record) => {
      if (isClosed || (listDurable().length === 0 && isListComplete())) return
      if (pending.length >= MAX_PENDING) pending.shift()
      pending.push(record)
      sending ??= sendPending()
    },
    close: async () => {
      isClosed = true
      await sending
    },
  }
}
