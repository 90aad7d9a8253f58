/**
 * One replica spoils one answer: bytes that are not an event stand in the place of its second event. See claim.txt.
 * Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { fileURLToPath } from 'node:url'
import {
  callControl,
  now,
  openRecord,
  send,
  sleep,
  startFleet,
  startReplica,
} from '../lib-2/fleet.mjs'

const FOLDER = fileURLToPath(new URL('.', import.meta.url))
const hasTrouble = process.env.TROUBLE !== '0'
const record = openRecord(FOLDER)
const TIMEOUT_MS = 1500
/** Blanks in the spoilt answer. */
const BLANKS = 128 * 1024
const STREAMS = 60

const toSeal = (id) => `seal.${id}`

async function main() {
  const fleet = await startFleet({ machines: 3, controls: 3 })
  const replicas = []
  let spoilt = 0
  const runs = new Map()
  const recordRun = (request, replica) => {
    const id = request.headers['x-request-id']
    runs.set(id, { at: now(), replica })
  }
  /** The plain service: 300 ms of work for each request. */
  const servePortal = (id) => (request, response, body, common) => {
    if (request.url === '/health') {
      response.writeHead(200, { ...common, 'X-Instance-Id': id, 'Content-Length': 0 }).end()
      return
    }
    recordRun(request, id)
    setTimeout(() => {
      const text = `answer to ${request.headers['x-request-id']}`
      const headers = { ...common, 'X-Response-Seal': toSeal(common['X-Request-Id']) }
      response.writeHead(200, { ...headers, 'Content-Length': text.length }).end(text)
    }, 300)
  }
  /** A model replica: streams of five events. */
  const serveModel = (id) => async (request, response, body, common) => {
    const answer = (document) => {
      const text = JSON.stringify(document)
      response
        .writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': text.length })
        .end(text)
    }
    if (request.url === '/spoolgate/report')
      return answer({
        Stage: 'both',
        Models: [{ Name: 'm0', Version: 1, Adapters: [] }],
        Busy: false,
        Sequence: 0,
        Waiting: 0,
        Running: 0,
        KvCacheUsed: 0,
        KvCacheTotal: 90000,
        Handles: 0,
      })
    if (request.url === '/spoolgate/kv-list')
      return answer({ Epoch: 7, NextPageToken: 1, Held: [] })
    if (request.url.startsWith('/spoolgate/kv-events')) {
      await sleep(Number(request.headers['wait-ms'] ?? 0))
      return answer({ Epoch: 7, NextPageToken: 1, Lost: false, Events: [] })
    }
    recordRun(request, id)
    const isSpoilt = request.headers['x-spoil'] !== undefined && hasTrouble && spoilt === 0
    if (isSpoilt) spoilt += 1
    response.writeHead(200, {
      ...common,
      'X-Response-Seal': toSeal(common['X-Request-Id']),
      'X-Weight-Versions': '1',
      'Content-Type': 'text/event-stream',
    })
    for (let event = 1; event <= 5; event += 1) {
      if (response.destroyed) return
      if (isSpoilt && event === 2) {
        record(
          `replica ${id} spoils the answer to ${common['X-Request-Id']}: ${BLANKS} blanks in the place of an event`,
        )
        response.write(`id: 2${' '.repeat(BLANKS)}.\ndata: piece\n\n`)
      } else response.write(`id: ${event}\ndata: piece ${event}\n\n`)
      await sleep(200)
    }
    response.end()
  }
  const finish = async (status, text) => {
    record(text)
    for (const replica of replicas) replica.close()
    await fleet.close()
    process.exit(status)
  }
  for (let index = 0; index < 3; index += 1) {
    const id = `i-portal${index}`
    replicas.push(
      await startReplica(fleet, {
        id,
        service: 'portal',
        index,
        slots: 64,
        serve: servePortal(id),
      }),
    )
  }
  for (let index = 3; index < 6; index += 1) {
    const id = `i-model${index}`
    const models = () => [{ Name: 'm0', Version: 1, Adapters: [] }]
    replicas.push(
      await startReplica(fleet, {
        id,
        service: 'models',
        index,
        slots: 64,
        models,
        serve: serveModel(id),
      }),
    )
  }
  const configuration = {
    Version: 1,
    Routes: [
      {
        Name: 'r-portal',
        Host: 'a.example',
        PathPrefix: '/portal/',
        Kind: 'safe',
        TimeoutMs: TIMEOUT_MS,
        TargetLatencyMs: 300,
        Priority: 1,
        Service: 'portal',
        MaxAttempts: 2,
        Public: true,
        StickySessions: false,
        Resumable: false,
      },
      {
        Name: 'r-models',
        Host: 'a.example',
        PathPrefix: '/models/',
        Kind: 'streaming',
        TimeoutMs: 12000,
        TargetLatencyMs: 500,
        Priority: 0,
        Service: 'models',
        MaxAttempts: 1,
        Public: true,
        StickySessions: true,
        Resumable: false,
        TargetGapMs: 500,
      },
    ],
    Services: [
      {
        Name: 'portal',
        HealthCheckPath: '/health',
        MaxConnections: 130,
        Protocol: 'h1',
        Tls: false,
      },
      {
        Name: 'models',
        HealthCheckPath: '/health',
        MaxConnections: 390,
        Protocol: 'h1',
        Tls: false,
        Engine: {
          Slots: 64,
          KvCacheTokens: 99487,
          KvTokenBytes: 18432,
          LinkMbps: 550000,
          Moves: true,
          Backups: true,
          Stride: 6,
          MaxConcurrent: 12,
          PinMs: 4000,
          HoldMs: 2000,
          handle_s: 5,
          Models: [{ Name: 'm0' }],
        },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 3000,
      IdleTimeoutMs: 15000,
    },
  }
  const put = await callControl(fleet, '/spoolgate/configuration/put', configuration)
  record(`configuration 1: ${put.status}`)
  const named = await callControl(fleet, '/spoolgate/version-put', { Model: 'm0', Version: 1 })
  record(`weights 1 of m0: ${named.status}`)

  let count = 0
  const nextId = () =>
    `${(0x10000000 + (count += 1)).toString(16)}${Math.random().toString(16).slice(2, 10).padEnd(8, '0')}`
  const askPortal = async (machine) => {
    const id = nextId()
    const answer = await send({
      ...fleet.front(machine),
      path: '/portal/status',
      timeoutMs: 5000,
      headers: { Host: 'a.example', 'X-Request-Id': id, 'X-Deadline-Ms': 5000 },
    })
    return { id, machine, ...answer }
  }
  const askModel = (machine, spoil) => {
    const id = nextId()
    const body = 'x'.repeat(200)
    const headers = {
      Host: 'a.example',
      'X-Request-Id': id,
      'X-Deadline-Ms': 12000,
      'X-Model': 'm0',
      'X-Token-Count': '40,20',
      'X-Prompt-Prefix': `aa01:30,${id.slice(0, 8)}:10`,
      'Content-Length': body.length,
      ...(spoil ? { 'X-Spoil': 'yes' } : {}),
    }
    return send({
      ...fleet.front(machine),
      method: 'POST',
      path: '/models/x',
      timeoutMs: 12000,
      headers,
      body,
    })
  }
  // Traffic starts once every router serves.
  const until = now() + 20
  for (let machine = 0; machine < 3;) {
    const [plain, stream] = [await askPortal(machine), await askModel(machine, false)]
    if (plain.status === 200 && stream.status === 200) machine += 1
    else if (now() > until)
      return finish(2, `router ${machine + 1} does not serve: ${plain.status} ${stream.status}`)
    else await sleep(200)
  }
  record('all routers serve')
  await sleep(4000)
  const streams = []
  for (let index = 0; index < STREAMS - 1; index += 1) {
    streams.push(askModel(index % 3, false))
    await sleep(30)
  }
  const whole = (await Promise.all(streams)).filter(({ end }) => end === 'answered').length
  record(`${STREAMS - 1} streams, ${whole} whole`)
  if (whole < STREAMS - 1) return finish(2, 'streams broke off without a disruption')

  const readiness = setInterval(async () => {
    for (let machine = 0; machine < 3; machine += 1)
      void send({ ...fleet.ready(machine), path: '/spoolgate/readiness' }).then(
        ({ end, status }) => {
          if (status !== 200)
            record(`router ${machine + 1} asked for its readiness: ${status ?? end}`)
        },
      )
  }, 1000)
  // A client of router 1 asks for the stream that is spoilt; 20 others wait for plain answers at each router.
  const last = askModel(0, true)
  await sleep(20)
  const asked = []
  for (let turn = 0; turn < 20; turn += 1)
    for (let machine = 0; machine < 3; machine += 1) asked.push(askPortal(machine))
  const answers = await Promise.all(asked)
  clearInterval(readiness)
  const stream = await last
  record(
    `the ${STREAMS}th stream at router 1: ${stream.end} ${stream.status ?? ''} after ${((stream.at - stream.sentAt) * 1000).toFixed(0)} ms`,
  )
  // Requests that were read, passed on and run, and had no final answer when the timeout of their route was over.
  const reached = answers.filter(
    ({ id, at, sentAt }) => runs.has(id) && at - sentAt >= TIMEOUT_MS / 1000,
  )
  const remained = reached.filter(({ at, sentAt }) => at - sentAt >= (TIMEOUT_MS + 500) / 1000)
  for (const answer of answers) {
    const run = runs.get(answer.id)
    const ran = run ? `run by ${run.replica} at ${run.at.toFixed(3)} s` : 'not run'
    record(
      `request ${answer.id} to router ${answer.machine + 1} at ${answer.sentAt.toFixed(3)} s, ${ran}: ${answer.end} ${answer.status ?? ''} after ${((answer.at - answer.sentAt) * 1000).toFixed(0)} ms`,
    )
  }
  record(
    `${reached.length} requests that a replica ran reached the timeout of their route (${TIMEOUT_MS} ms) unanswered; ${remained.length} of them had no answer half a second later`,
  )
  const isBroken = remained.length >= 8 && remained.length * 2 > reached.length
  await finish(isBroken ? 1 : 0, isBroken ? 'CONFIG is broken' : 'CONFIG holds')
}

const limit = setTimeout(() => {
  record('the case took longer than 110 s')
  process.exit(2)
}, 110000)
limit.unref()
main().catch((cause) => {
  record(`the case could not run: ${cause.stack}`)
  process.exit(2)
})
