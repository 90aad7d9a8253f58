/**
 * Exchange of stream records among routers: the server that takes and answers them, and the sender and lookup of this
 * router.
 */
import {
  createHttpClient,
  createHttpServer,
  BODY_LIMITS,
  readJson,
  sendJson,
  waitFor,
  type HttpExchange,
  type Logger,
  type MemoryBudget,
  type Metrics,
  type Route,
  type StreamKey,
  type TimerService,
} from '@spoolgate/core'
import {
  decodeLookup,
  decodeRecords,
  encodeRecord,
  LOOKUP_PATH,
  RECORDS_PATH,
  TAKEN_STATUS,
} from './recordMessages.js'
import { createRecordLookup, type LookupResult } from './recordLookup.js'
import { createDurableCopies } from './durableCopies.js'
import { openRecordJournal, type RecordJournal } from './recordJournal.js'
import { createRecordSender } from './recordSender.js'
import type { StreamRecord, StreamRecords } from './streamRecords.js'

/** Where the other routers reach this one. */
export interface PeerEndpoint {
  readonly host: string
  /** Port for traffic between routers; 0 lets the operating system choose. */
  readonly port: number
  /**
   * Maximum number of their connections.
   * @default Infinity
   */
  readonly maxConnections?: number
}

/** Options of {@link openRecordExchange}. */
export interface RecordExchangeOptions {
  readonly endpoint: PeerEndpoint
  readonly records: StreamRecords
  /** Lists the URLs of all routers, that of this one included. */
  readonly listPeers: () => readonly string[]
  /** Lists the URLs of those that keep records on a disk. */
  readonly listDurable: () => readonly string[]
  /** Whether these lists contain all routers. */
  readonly isListComplete: () => boolean
  /** Folder on the disk of this router; undefined if it has none. */
  readonly folder: string | undefined
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'counter'>
  /**
   * Memory budgets of the process.
   * @default undefined, bodies are bounded one by one
   */
  readonly memory?: MemoryBudget
}

/** See {@link openRecordExchange}. */
export interface RecordExchange {
  /** URL at which other routers reach this one. */
  readonly url: string
  /** Sends a record to the routers that hold it. */
  send(record: StreamRecord): void
  /** Finds a record at other routers; `maxWaitMs` bounds the time that it takes. */
  find(key: StreamKey, maxWaitMs: number): Promise<LookupResult>
  /** Sends all records to the routers that hold them without this one, and stops. */
  close(): Promise<void>
}

/** Connections to one peer: records must not delay lookups. */
const CONNECTIONS_PER_PEER = 2
/** Time that a router which stops takes to send its records, in ms; less than its margin before it is killed. */
const HAND_OVER_MS = 150

/**
 * Creates the routes with which a router takes the records of others and answers lookups. Lookups wait for the records
 * that an earlier process left on the disk.
 */
export function createRecordRoutes(
  records: Pick<StreamRecords, 'add' | 'find'>,
  journal?: Pick<RecordJournal, 'add' | 'loaded'>,
): Route[] {
  const takeRecords = async ({ request, response }: HttpExchange) => {
    for (const record of decodeRecords(await readJson(request, BODY_LIMITS.records))) {
      records.add(record)
      journal?.add(record)
    }
    response.sendDate = false
    response.writeHead(TAKEN_STATUS).end()
  }
  const findRecords = async ({ request, response }: HttpExchange) => {
    const keys = decodeLookup(await readJson(request, BODY_LIMITS.records))
    await journal?.loaded
    const found = keys.map(records.find).filter((record) => record !== undefined)
    sendJson(response, 200, { records: found.map(encodeRecord) })
  }
  return [
    { method: 'POST', path: RECORDS_PATH, handler: takeRecords },
    { method: 'POST', path: LOOKUP_PATH, handler: findRecords },
  ]
}

/** Opens the exchange; resolves once it is listening. */
export async function openRecordExchange(options: RecordExchangeOptions): Promise<RecordExchange> {
  const { endpoint, records, listPeers, listDurable, folder, timers, logger, metrics } = options
  const { isListComplete, memory } = options
  const journal =
    folder === undefined
      ? undefined
      : openRecordJournal({ folder, records, timers, logger, metrics })
  const server = await createHttpServer({
    ...endpoint,
    routes: createRecordRoutes(records, journal),
    traffic: 'fleet',
    logger,
    metrics,
    timers,
    memory,
  })
  const client = createHttpClient({ memory, maxConnections: CONNECTIONS_PER_PEER })
  const messages = metrics.counter('record_messages', 'Messages with stream records, by outcome')
  const sent = metrics.counter('records_sent', 'Stream records in them, by outcome')
  const countMessage = (outcome: 'sent' | 'failed', count: number) => {
    messages.add(1, { outcome })
    sent.add(count, { outcome })
  }
  const common = { ownUrl: server.url, listPeers, client, timers, logger, countMessage }
  const sender = createRecordSender(common)
  const copies = createDurableCopies({ ...common, listDurable, isListComplete })
  const lookup = createRecordLookup({ ...common, listDurable, isListComplete })
  return {
    url: server.url,
    send: (record) => {
      sender.send(record)
      copies.add(record)
      journal?.add(record)
    },
    find: async (key, maxWaitMs) => {
      const startedAt = timers.now()
      if (journal) await Promise.race([journal.loaded, waitFor(timers, maxWaitMs)])
      const record = records.find(key)
      if (record) return { record, asked: 0, answered: 0 }
      return lookup(key, maxWaitMs - (timers.now() - startedAt))
    },
    close: async () => {
      const handedOver = records.list()
      if (listPeers().length > 0) handedOver.forEach(sender.send)
      await Promise.race([sender.waitUntilIdle(), waitFor(timers, HAND_OVER_MS)])
      logger.info('streams.handedOver', { records: handedOver.length, peers: listPeers().length })
      await server.close(0)
      await Promise.race([
        Promise.all([copies.close(), journal?.close()]),
        waitFor(timers, HAND_OVER_MS),
      ])
      client.close()
    },
  }
}
