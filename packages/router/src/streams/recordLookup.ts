/** Asks the routers that hold the record of a stream for it. */
import {
  toSpoolgateError,
  waitFor,
  type HttpClient,
  type Logger,
  type StreamKey,
  type TimerService,
} from '@spoolgate/core'
import { decodeRecords, LOOKUP_PATH } from './recordMessages.js'
import { rankHolders, RECORD_COPIES } from './recordHolders.js'
import type { StreamRecord } from './streamRecords.js'

/** Options of {@link createRecordLookup}. */
export interface RecordLookupOptions {
  readonly ownUrl: string
  readonly listPeers: () => readonly string[]
  /**
   * Lists the URLs of the routers that keep records on a disk.
   * @default none
   */
  readonly listDurable?: () => readonly string[]
  /**
   * Whether the lists contain all routers; a leader that was just elected does not know them yet.
   * @default true
   */
  readonly isListComplete?: () => boolean
  readonly client: Pick<HttpClient, 'sendJson'>
  readonly timers: TimerService
  readonly logger: Logger
}

/** Result of a lookup. */
export interface LookupResult {
  readonly record: StreamRecord | undefined
  /** Routers that were asked, and those of them that answered. */
  readonly asked: number
  readonly answered: number
}

/**
 * Finds a record at other routers; `maxWaitMs` bounds the time that it takes. Resolves without a record once the lists are
 * complete and all routers that may have it answered: those that just started may not be reachable yet.
 */
export type RecordLookup = (key: StreamKey, maxWaitMs: number) => Promise<LookupResult>

/** Time within which a router answers when it is asked first, in ms; one that did not gets twice as long each time. */
const ANSWER_TIMEOUT_MS = 250
/** Time between two rounds, in ms; a record may be on its way while its stream is resumed already. */
const ROUND_PERIOD_MS = 100
/** Maximum routers with a disk that are asked, since each may have the record after all routers were lost. */
const MAX_DURABLE_ASKED = 12

/** Resolves with the first record that any holder has, or undefined once all have answered or failed. */
function findFirst(
  answers: readonly Promise<StreamRecord | undefined>[],
): Promise<StreamRecord | undefined> {
  return new Promise((resolve) => {
    const settled = answers.map(async (answer) => {
      const record = await answer
      if (record) resolve(record)
    })
    void Promise.all(settled).then(() => resolve(undefined))
  })
}

/** Creates a lookup. */
export function createRecordLookup(options: RecordLookupOptions): RecordLookup {
  const { ownUrl, listPeers, listDurable = () => [], client, timers, logger } = options
  const { isListComplete = () => true } = options
  /** Lists the holders of a record, those that replace failed ones, and routers with a disk. */
  const listCandidates = (key: StreamKey) => {
    const durable = listDurable().filter((url) => url !== ownUrl)
    const holders = rankHolders(key, listPeers(), ownUrl)
    return [...new Set([...holders, ...durable.slice(0, MAX_DURABLE_ASKED)])]
  }

  return async (key, maxWaitMs) => {
    const endsAt = timers.now() + maxWaitMs
    const asked = new Set<string>()
    const answered = new Set<string>()
    const answerTimeouts = new Map<string, number>()
    const askHolder = async (url: string): Promise<StreamRecord | undefined> => {
      asked.add(url)
      const startedAt = timers.now()
      const timeoutMs = answerTimeouts.get(url) ?? ANSWER_TIMEOUT_MS
      try {
        const body = await client.sendJson({
          method: 'POST',
          url: `${url}${LOOKUP_PATH}`,
          answer: 'records',
          json: { keys: [key] },
          timeoutMs: Math.max(1, Math.min(timeoutMs, endsAt - startedAt)),
        })
        answered.add(url)
        return decodeRecords(body).at(0)
      } catch (cause) {
        // A router that is not there yet must be asked soon; one that is slow answers only if it is given time.
        if (timers.now() - startedAt >= timeoutMs) answerTimeouts.set(url, 2 * timeoutMs)
        logger.info('streams.lookupFailed', {
          holder: url,
          ms: Math.round(timers.now() - startedAt),
          reason: toSpoolgateError(cause).message,
        })
        return undefined
      }
    }
    const askAll = (urls: readonly string[]) => findFirst(urls.map(askHolder))
    const isTimeLeft = () => endsAt - timers.now() > ROUND_PERIOD_MS
    let record = await askAll(listCandidates(key).slice(0, RECORD_COPIES))
    // Those that answered in the first round are asked once more.
    const missing = new Set<string>()
    let unanswered = listCandidates(key)
    while (!record && isTimeLeft() && (unanswered.length > 0 || !isListComplete())) {
      await waitFor(timers, ROUND_PERIOD_MS)
      unanswered = listCandidates(key).filter((url) => !missing.has(url))
      for (const url of unanswered) answered.delete(url)
      record = await askAll(unanswered)
      for (const url of unanswered) if (answered.has(url)) missing.add(url)
      unanswered = listCandidates(key).filter((url) => !missing.has(url))
    }
    return { record, asked: asked.size, answered: answered.size }
  }
}
