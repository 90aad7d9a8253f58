/**
 * Case 1: replicas hand out wrong bytes. One bit of a stream is wrong: in its status line, or in the id of an event after
 * which the answer is cut off. The router that relays the stream ends with an uncaught exception, and with it all that it has
 * under way.
 */
import http from 'node:http'
import { fileURLToPath } from 'node:url'
import {
  now,
  order,
  recordRequests,
  runCase,
  sleep,
  startFleet,
  startReplica,
  waitUntilReady,
} from '../lib/fleet.mjs'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))
const HOST = 'desk.example'
const MODEL = 'model-a'
const KEY = 'key-of-team-a'
const MODEL_REPLICAS = 6
const PORTAL_REPLICAS = 4
/** `garble` (default), or `tenant`: a tenant is added whose name has a character outside Latin-1. */
const VARIANT = process.env.VARIANT ?? 'garble'
const ADDED_TENANT = {
  Name: 'Żywność',
  ApiKeys: ['key-of-the-added-tenant'],
  Priority: 1,
  Isolated: false,
}
/** garble: share (.5) break off or spoil x (.02) of their answers, for 5 s. */
const GARBLE_SHARE = 0.5
const GARBLE_X = 0.02
const GARBLE_MS = 5000
const GARBLE_AT_MS = 3000
const TRAFFIC_MS = 10_000
/** Clients of a machine; each keeps one connection and sends one request after the other. */
const CLIENTS = { explain: 20, fetch: 10 }
const THINK_MS = 100
const EVENTS = 24
const EVENT_MS = 8
const PREFILL_MS = 100
const WORK_MS = 86
/** RULES.md, LOST: more than three times. */
const ALLOWED = 3

const buildRoute = (fields) => ({
  Host: HOST,
  Priority: 1,
  Public: false,
  TargetLatencyMs: 500,
  ...fields,
})
const CONFIGURATION = {
  Version: 1,
  Routes: [
    buildRoute({
      Name: 'explain',
      PathPrefix: '/explain/',
      Kind: 'streaming',
      TimeoutMs: 12_000,
      Service: 'models',
      MaxAttempts: 2,
      StickySessions: true,
      Resumable: true,
      TargetGapMs: 500,
    }),
    buildRoute({
      Name: 'fetch',
      PathPrefix: '/fetch/',
      Kind: 'unsafe',
      TimeoutMs: 1500,
      Service: 'portal',
      MaxAttempts: 1,
      StickySessions: false,
      Resumable: false,
    }),
  ],
  Services: [
    {
      Name: 'models',
      HealthCheckPath: '/health',
      MaxConnections: 390,
      Protocol: 'h1',
      Tls: false,
      Engine: {
        Slots: 64,
        KvCacheTokens: 99_487,
        KvTokenBytes: 18_432,
        LinkMbps: 550_000,
        Moves: true,
        Backups: true,
        Stride: 6,
        MaxConcurrent: 12,
        PinMs: 4000,
        HoldMs: 2000,
        handle_s: 5,
        Models: [{ Name: MODEL }],
      },
    },
    { Name: 'portal', HealthCheckPath: '/health', MaxConnections: 130, Protocol: 'h1', Tls: false },
  ],
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 4_194_304,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15_000,
  },
  Tenants: [{ Name: 'team-a', ApiKeys: [KEY], Priority: 1, Isolated: false }],
}

/** Clears one bit of the first digit of the event's id. */
function spoilId(event) {
  const bytes = Buffer.from(event)
  bytes[4] &= ~0x20
  return bytes
}

/** Sends a whole stream in whose status line one bit is wrong: "HTTP/1.1 000 OK" in place of "HTTP/1.1 200 OK". */
function sendWithWrongStatus({ id, response }, fields, after) {
  const head = Buffer.from(
    `HTTP/1.1 200 OK\r\n${Object.entries(fields)
      .map(([name, value]) => `${name}: ${value}\r\n`)
      .join('')}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n`,
  )
  head[9] &= ~0x02
  const { socket } = response
  socket.write(head)
  for (let event = after + 1; event <= EVENTS; event += 1) {
    const text = `id: ${event}\ndata: ${id}:${event}\n\n`
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
  }
  socket.end('0\r\n\r\n')
}

await runCase(FOLDER, async ({ record, isTroubled, addCleanup }) => {
  const fleet = await startFleet({ record })
  addCleanup(() => fleet.close())
  const garbled = { ids: new Set(), until: 0, spoilt: 0 }
  const serveModel = async ({ id, headers, response, replica }) => {
    const isSpoilt =
      garbled.ids.has(replica.id) && now() < garbled.until && Math.random() < GARBLE_X
    await sleep(PREFILL_MS)
    if (response.destroyed) return
    const fields = {
      'X-Request-Id': id,
      'X-Response-Seal': `seal.${replica.id}.${id}`,
      'X-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    }
    const after = Number(headers['last-event-id'] ?? 0)
    if (isSpoilt && Math.random() < 0.5) {
      garbled.spoilt += 1
      record('replica hands out an answer with a wrong status line', {
        replica: replica.id,
        request: id,
        status: '000',
      })
      return sendWithWrongStatus({ id, response }, fields, after)
    }
    response.writeHead(200, fields)
    for (let event = after + 1; event <= EVENTS; event += 1) {
      await sleep(EVENT_MS)
      if (response.destroyed) return
      const text = `id: ${event}\ndata: ${id}:${event}\n\n`
      if (isSpoilt && event >= after + 5) {
        garbled.spoilt += 1
        record('replica hands out an event with a wrong id and cuts the answer off', {
          replica: replica.id,
          request: id,
          event: spoilId(text).toString('latin1'),
        })
        response.write(spoilId(text))
        await sleep(EVENT_MS)
        response.socket?.resetAndDestroy()
        return
      }
      response.write(text)
    }
    response.end()
  }
  const servePortal = async ({ id, response, replica }) => {
    await sleep(WORK_MS)
    if (response.destroyed) return
    const text = `answer to ${id}`
    response.writeHead(200, {
      'X-Request-Id': id,
      'X-Response-Seal': `seal.${replica.id}.${id}`,
      'Content-Length': text.length,
    })
    response.end(text)
  }
  const replicas = []
  for (let index = 0; index < MODEL_REPLICAS; index += 1) {
    replicas.push(
      await startReplica({
        fleet,
        id: `i-model-${index + 1}`,
        service: 'models',
        zone: `hall-${'abcd'[index % 4]}`,
        host: `${fleet.block}.${100 + index}`,
        model: MODEL,
        serve: serveModel,
        record,
      }),
    )
  }
  for (let index = 0; index < PORTAL_REPLICAS; index += 1) {
    replicas.push(
      await startReplica({
        fleet,
        id: `i-portal-${index + 1}`,
        service: 'portal',
        zone: `hall-${'abcd'[index % 4]}`,
        host: `${fleet.block}.${120 + index}`,
        slots: 6,
        serve: servePortal,
        record,
      }),
    )
  }
  addCleanup(() => Promise.all(replicas.map((replica) => replica.stop())))
  await order(fleet, '/spoolgate/configuration/put', CONFIGURATION, record)
  await waitUntilReady(fleet)
  await sleep(6000)

  const requests = []
  const startedAt = now()
  const isOver = () => now() - startedAt >= TRAFFIC_MS
  let count = 0
  const send = (front, kind, agent, key) => {
    count += 1
    const id = `9c41d07b${String(count).padStart(8, '0')}`
    const [host, port] = front.split(':')
    const body = '{}'
    const sent = {
      id,
      kind,
      front,
      sentAt: now(),
      isKept: false,
      status: undefined,
      how: undefined,
    }
    requests.push(sent)
    return new Promise((resolve) => {
      const end = (how) => {
        if (sent.how === undefined) Object.assign(sent, { how, endedAt: now() })
        resolve()
      }
      const headers = {
        Host: HOST,
        'X-Request-Id': id,
        'X-Deadline-Ms': kind === 'explain' ? '12000' : '3000',
        Authorization: `Token ${key}`,
        'Content-Type': 'application/json',
        'Content-Length': body.length,
      }
      if (kind === 'explain')
        Object.assign(headers, {
          'X-Model': MODEL,
          'X-Token-Count': '826,120',
          'X-Prompt-Prefix': `5c1e07a2:119,91bd3f06:79,${id}:628`,
        })
      const request = http.request({
        host,
        port,
        method: 'POST',
        path: `/${kind}/1`,
        headers,
        agent,
      })
      sent.isKept = request.reusedSocket
      request.on('socket', () => {
        sent.isKept = request.reusedSocket
      })
      request.on('error', (cause) =>
        end(`closed without an answer (${cause.code ?? cause.message})`),
      )
      request.on('close', () => end('closed without an answer'))
      request.on('response', (message) => {
        sent.status = message.statusCode
        message.resume()
        message.on('end', () => end(message.complete ? 'whole answer' : 'answer cut'))
        message.on('error', () => end('answer cut'))
        message.on('aborted', () => end('answer cut'))
      })
      request.end(body)
    })
  }
  const runClient = async (front, kind, key = KEY, thinkMs = THINK_MS) => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    await sleep(Math.random() * 500)
    while (!isOver()) {
      await send(front, kind, agent, key)
      await sleep(thinkMs * (0.5 + Math.random()))
    }
    agent.destroy()
  }
  const clients = fleet.fronts.flatMap((front) =>
    Object.entries(CLIENTS).flatMap(([kind, number]) =>
      Array.from({ length: number }, () => runClient(front, kind)),
    ),
  )
  await sleep(GARBLE_AT_MS)
  if (isTroubled && VARIANT === 'tenant') {
    const change = {
      ...CONFIGURATION,
      Version: 2,
      Tenants: [...CONFIGURATION.Tenants, ADDED_TENANT],
    }
    record('disruption: config_change, how tenant', { added: ADDED_TENANT.Name })
    await order(fleet, '/spoolgate/configuration/put', change, record)
    clients.push(
      ...fleet.fronts.map((front) => runClient(front, 'fetch', ADDED_TENANT.ApiKeys[0], 1000)),
    )
  }
  if (isTroubled && VARIANT === 'garble') {
    for (const { id } of replicas.slice(0, MODEL_REPLICAS * GARBLE_SHARE)) garbled.ids.add(id)
    garbled.until = now() + GARBLE_MS
    record('disruption: garble', {
      replicas: [...garbled.ids],
      share: GARBLE_SHARE,
      x: GARBLE_X,
      forS: GARBLE_MS / 1000,
    })
  }
  await Promise.all(clients)
  recordRequests(record, requests, replicas)
  const ownEnds = fleet.processes
    .filter(({ ended }) => ended)
    .map(({ role, host, ended }) => ({ role, host, code: ended.code }))
  // A request on a kept connection that reached a sound replica, and whose connection was then closed with no answer.
  const isClosedUnanswered = ({ how, status, isKept }) =>
    isKept && status === undefined && how.startsWith('closed')
  const lost = requests.filter(isClosedUnanswered).flatMap((one) => {
    const run = replicas
      .filter(({ id }) => !garbled.ids.has(id))
      .flatMap(({ runs }) => runs)
      .find(({ id }) => id === one.id)
    return run ? [{ ...one, replica: run.replica.id }] : []
  })
  for (const { id, kind, front, how, replica, sentAt, endedAt } of lost) {
    record('handed to a sound replica, then closed with no answer', {
      request: id,
      kind,
      front,
      replica,
      how,
      ms: Math.round(endedAt - sentAt),
    })
  }
  const ends = {}
  for (const { kind, how, status } of requests) {
    const key = `${kind}: ${how}${status === undefined ? '' : ` ${status}`}`
    ends[key] = (ends[key] ?? 0) + 1
  }
  const routerLog = fleet.hosts.flatMap((_, index) =>
    fleet
      .readLog('router', index)
      .split('\n')
      .filter((line) => line.includes('ERR_') && line.includes('Error')),
  )
  for (const line of routerLog) record('a router wrote before it ended', { line })
  const byRouter = {}
  for (const { front } of lost) byRouter[front] = (byRouter[front] ?? 0) + 1
  return {
    isBroken: Object.values(byRouter).some((number) => number > ALLOWED),
    summary: {
      variant: VARIANT,
      requests: requests.length,
      ends,
      spoiltAnswers: garbled.spoilt,
      processesThatEndedByThemselves: ownEnds,
      closedUnansweredByRouter: byRouter,
    },
  }
})
