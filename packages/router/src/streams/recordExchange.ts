/**
 * Exchange of stream records among routers: the server that takes and answers them, and the sender and lookup of this
 * router.
 */
import {
  createHttpClient,
  createHttpServer,
  INTERNAL_BODY_LIMITS,
  readJson,
  sendJson,
  waitFor,
  type HttpExchange,
  type Logger,
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
} from './recordMessages.js'
import { createRecordLookup, type LookupResult } from './recordLookup.js'
import { createRecordSender } from './recordSender.js'
import type { StreamRecord, StreamRecords } from './streamRecords.js'

/** Where the other routers reach this one. */
export interface PeerEndpoint {
  readonly host: string
  /** Port for traffic between routers; 0 lets the operating system choose. */
  readonly port: number
}

/** Options of {@link openRecordExchange}. */
export interface RecordExchangeOptions {
  readonly endpoint: PeerEndpoint
  readonly records: StreamRecords
  /** Lists the URLs of all routers, that of this one included. */
  readonly listPeers: () => readonly string[]
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'counter'>
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
/** Time that a router which stops takes to send its records, in ms. */
const HAND_OVER_MS = 500

function createRoutes(records: StreamRecords): Route[] {
  const serve =
    (answer: (body: unknown) => unknown) =>
    async ({ request, response }: HttpExchange) =>
      sendJson(response, 200, answer(await readJson(request, INTERNAL_BODY_LIMITS)))
  const takeRecords = serve((body) => {
    for (const record of decodeRecords(body)) records.add(record)
    return {}
  })
  const findRecords = serve((body) => {
    const found = decodeLookup(body).map(records.find)
    return { records: found.filter((record) => record !== undefined).map(encodeRecord) }
  })
  return [
    { method: 'POST', path: RECORDS_PATH, handler: takeRecords },
    { method: 'POST', path: LOOKUP_PATH, handler: findRecords },
  ]
}

/** Opens the exchange; resolves once it is listening. */
export async function openRecordExchange(options: RecordExchangeOptions): Promise<RecordExchange> {
  const { endpoint, records, listPeers, timers, logger, metrics } = options
  const server = await createHttpServer({
    ...endpoint,
    routes: createRoutes(records),
    logger,
    timers,
  })
  const client = createHttpClient({ maxConnections: CONNECTIONS_PER_PEER })
  const messages = metrics.counter('record_messages', 'Messages with stream records, by outcome')
  const sent = metrics.counter('records_sent', 'Stream records in them, by outcome')
  const sender = createRecordSender({
    ownUrl: server.url,
    listPeers,
    client,
    logger,
    countMessage: (outcome, count) => {
      messages.add(1, { outcome })
      sent.add(count, { outcome })
    },
  })
  const find = createRecordLookup({ ownUrl: server.url, listPeers, client, timers, logger })
  return {
    url: server.url,
    send: sender.send,
    find,
    close: async () => {
      const handedOver = records.list()
      if (listPeers().length > 0) handedOver.forEach(sender.send)
      await Promise.race([sender.waitUntilIdle(), waitFor(timers, HAND_OVER_MS)])
      logger.info('streams.handedOver', { records: handedOver.length, peers: listPeers().length })
      await server.close(0)
      client.close()
    },
  }
}
