/**
 * Sends records to the routers that hold them. A holder has one message in flight; records that come meanwhile follow in
 * the next one, so that a busy router sends few messages and no record waits for a timer.
 */
import { readErrorAnswer, toSpoolgateError, type HttpClient, type Logger } from '@spoolgate/core'
import {
  encodeRecord,
  MAX_RECORDS_PER_MESSAGE,
  RECORDS_PATH,
  TAKEN_STATUS,
} from './recordMessages.js'
import { rankHolders, RECORD_COPIES } from './recordHolders.js'
import type { StreamRecord } from './streamRecords.js'

/** Options of {@link createRecordSender}. */
export interface RecordSenderOptions {
  readonly ownUrl: string
  readonly listPeers: () => readonly string[]
  readonly client: Pick<HttpClient, 'send'>
  readonly logger: Logger
  /** Counts a message by outcome, with the records in it. */
  readonly countMessage: (outcome: 'sent' | 'failed', records: number) => void
}

/** See {@link createRecordSender}. */
export interface RecordSender {
  /** Sends a record to its holders; those that fail are replaced by the next ones. */
  send(record: StreamRecord): void
  /** Resolves once nothing is waiting or in flight. */
  waitUntilIdle(): Promise<void>
}

/** A record on its way to one holder. */
interface Transfer {
  readonly record: StreamRecord
  /** Holders to try after this one. */
  readonly next: readonly string[]
}

/** Time within which a holder answers, in ms. */
const SEND_TIMEOUT_MS = 500
/** Maximum records that wait for one holder. */
const MAX_WAITING = 1_024

/**
 * Sends records to a router.
 * @throws ConnectionError, or the error that it answered
 */
export async function sendRecords(
  client: Pick<HttpClient, 'send'>,
  url: string,
  records: readonly StreamRecord[],
): Promise<void> {
  const answer = await client.send({
    method: 'POST',
    url: `${url}${RECORDS_PATH}`,
    body: JSON.stringify({ records: records.map(encodeRecord) }),
    timeoutMs: SEND_TIMEOUT_MS,
  })
  if (answer.statusCode !== TAKEN_STATUS) throw await readErrorAnswer(answer)
  answer.resume()
}

/** Creates a sender. */
export function createRecordSender(options: RecordSenderOptions): RecordSender {
  const { ownUrl, listPeers, client, logger, countMessage } = options
  const waiting = new Map<string, Transfer[]>()
  const active = new Map<string, Promise<void>>()

  const sendBatch = async (url: string, batch: readonly Transfer[]) => {
    try {
      const records = batch.map(({ record }) => record)
      await sendRecords(client, url, records)
      countMessage('sent', batch.length)
    } catch (cause) {
      countMessage('failed', batch.length)
      const { message: reason } = toSpoolgateError(cause)
      logger.info('streams.holderFailed', { holder: url, records: batch.length, reason })
      for (const transfer of batch) addToNext(transfer)
    }
  }
  const sendWaiting = async (url: string) => {
    for (let batch = takeBatch(url); batch.length > 0; batch = takeBatch(url))
      await sendBatch(url, batch)
    active.delete(url)
  }
  const takeBatch = (url: string): readonly Transfer[] => {
    const transfers = waiting.get(url) ?? []
    const batch = transfers.splice(0, MAX_RECORDS_PER_MESSAGE)
    if (batch.length === 0) waiting.delete(url)
    return batch
  }
  const add = (url: string, transfer: Transfer) => {
    const transfers = waiting.get(url) ?? []
    if (transfers.length >= MAX_WAITING) return addToNext(transfer)
    waiting.set(url, transfers)
    transfers.push(transfer)
    if (!active.has(url)) active.set(url, sendWaiting(url))
  }
  const addToNext = ({ record, next: [url, ...next] }: Transfer) => {
    if (url !== undefined) add(url, { record, next })
  }
  return {
    send: (record) => {
      const holders = rankHolders(record.key, listPeers(), ownUrl)
      const spare = holders.slice(RECORD_COPIES)
      for (const url of holders.slice(0, RECORD_COPIES)) add(url, { record, next: spare })
    },
    waitUntilIdle: async () => {
      while (active.size > 0) await Promise.all(active.values())
    },
  }
}
