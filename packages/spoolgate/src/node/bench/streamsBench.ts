/** `spoolgate bench streams`: what the record of a stream costs a router, beside many others in this process. */
import {
  createHttpClient,
  createHttpServer,
  createQuietLogger,
  createTimerService,
  toSoftwareVersion,
  toTeamId,
  waitFor,
  type HttpServer,
  type TimerService,
} from '@spoolgate/core'
import {
  createRecordLookup,
  createRecordRoutes,
  createRecordSender,
  createStreamRecords,
  hashStreamKey,
  MAX_STREAM_RECORDS,
  type StreamRecord,
} from '@spoolgate/router'
import { findPercentile, toRounded } from './statistics.js'

/** Options of {@link runStreamsBench}. */
export interface StreamsBenchOptions {
  readonly routers: number
  /** Streams that one router begins in a second. */
  readonly rate: number
  readonly seconds: number
}

/** Figures of the benchmark; those of messages are for one stream. */
export interface StreamsFigures {
  readonly streams: number
  readonly messages: number
  readonly records: number
  /** Bytes of messages and answers, headers included. */
  readonly bytes: number
  /** Processor time of the sender and the holders together, in ms. */
  readonly cpuMs: number
  /** Time that the first event waits for its record, in µs. */
  readonly delayP50Us: number
  readonly delayP99Us: number
  /** Time from the first event until all holders have the record, in ms. */
  readonly sentP50Ms: number
  readonly sentP99Ms: number
  /** Time of finding a record at another router, in ms. */
  readonly lookupP50Ms: number
  readonly lookupP99Ms: number
  /** Memory of a record, in bytes; needs `node --expose-gc`. */
  readonly bytesPerRecord: number | undefined
}

const US_PER_MS = 1_000
const MS_PER_S = 1_000
const LOOKUP_MS = 700
const GROUP = 'engines'
/** Longer than the benchmark. */
const TTL_MS = 600_000

function buildRecord(number: number): StreamRecord {
  const key = hashStreamKey(toTeamId('team'), `request-${number}`)
  return { key, group: GROUP, version: toSoftwareVersion('v1'), ttlMs: TTL_MS }
}

function measureMemory(timers: TimerService): number | undefined {
  const records = createStreamRecords(timers)
  globalThis.gc?.()
  const before = process.memoryUsage().heapUsed
  for (let number = 0; number < MAX_STREAM_RECORDS; number += 1) records.add(buildRecord(number))
  globalThis.gc?.()
  const bytes = process.memoryUsage().heapUsed - before
  const count = records.count()
  records.close()
  return globalThis.gc ? toRounded(bytes / count) : undefined
}

function countBytes(servers: readonly HttpServer[]): number {
  return servers.reduce((sum, server) => sum + server.traffic().received + server.traffic().sent, 0)
}

/** Measures records of one router at all others, over loopback. */
export async function runStreamsBench(options: StreamsBenchOptions): Promise<StreamsFigures> {
  const { routers, rate, seconds } = options
  const timers = createTimerService()
  const logger = createQuietLogger()
  const bytesPerRecord = measureMemory(timers)
  const peers = await Promise.all(
    Array.from({ length: routers }, async () => {
      const records = createStreamRecords(timers)
      const routes = createRecordRoutes(records)
      const server = await createHttpServer({ host: '127.0.0.1', port: 0, routes, logger, timers })
      return { server, records }
    }),
  )
  const servers = peers.map(({ server }) => server)
  const urls = servers.map(({ url }) => url)
  const client = createHttpClient()
  const counts = { messages: 0, records: 0 }
  const common = { ownUrl: urls[0], listPeers: () => urls, client, logger, timers }
  const sender = createRecordSender({
    ...common,
    countMessage: (_outcome, records) => {
      counts.messages += 1
      counts.records += records
    },
  })
  const delaysUs: number[] = []
  const sentMs: number[] = []
  const sendOne = async (record: StreamRecord) => {
    const startedAt = performance.now()
    peers[0].records.add(record)
    delaysUs.push((performance.now() - startedAt) * US_PER_MS)
    sender.send(record)
    await sender.waitUntilIdle()
    sentMs.push(performance.now() - startedAt)
  }
  const total = Math.round(rate * seconds)
  const bytesBefore = countBytes(servers)
  const cpuBefore = process.cpuUsage()
  const sending: Promise<void>[] = []
  for (let number = 0; number < total; number += 1) {
    sending.push(sendOne(buildRecord(number)))
    await waitFor(timers, MS_PER_S / rate)
  }
  await Promise.all(sending)
  const cpu = process.cpuUsage(cpuBefore)
  const bytes = countBytes(servers) - bytesBefore
  const find = createRecordLookup({ ...common, ownUrl: urls[1] })
  const lookupMs: number[] = []
  for (let number = 0; number < total; number += 1) {
    const startedAt = performance.now()
    await find(buildRecord(number).key, LOOKUP_MS)
    lookupMs.push(performance.now() - startedAt)
  }
  client.close()
  for (const { server, records } of peers) {
    records.close()
    await server.close(0)
  }
  return {
    streams: total,
    messages: toRounded(counts.messages / total),
    records: toRounded(counts.records / total),
    bytes: toRounded(bytes / total),
    cpuMs: toRounded((cpu.user + cpu.system) / US_PER_MS / total),
    delayP50Us: toRounded(findPercentile(delaysUs, 50)),
    delayP99Us: toRounded(findPercentile(delaysUs, 99)),
    sentP50Ms: toRounded(findPercentile(sentMs, 50)),
    sentP99Ms: toRounded(findPercentile(sentMs, 99)),
    lookupP50Ms: toRounded(findPercentile(lookupMs, 50)),
    lookupP99Ms: toRounded(findPercentile(lookupMs, 99)),
    bytesPerRecord,
  }
}
