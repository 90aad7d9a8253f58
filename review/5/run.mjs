/**
 * A replica's refusal turns up a second time, in the place of the next answer on its connection. See claim.txt.
 * Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
import { readFileSync } from 'node:fs'
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
/** `0` leaves all disruptions out, `kill` the second copy of the refusal. */
const trouble = process.env.TROUBLE ?? '1'
const hasKill = trouble !== '0'
const hasSurplus = hasKill && trouble !== 'kill'
const record = openRecord(FOLDER)
/** Time of a load of weights, and from a request to its first event, in ms. */
const LOAD_MS = 760
const FIRST_MS = 60
/** Refusals that are sent a second time on each route, of about 150 and 450 answers. */
const SURPLUS = 4
/** When the second copy of a refusal is sent, in ms after the first. */
const LATE_MS = 20

async function main() {
  const fleet = await startFleet({ machines: 3, controls: 3 })
  const replicas = []
  /** Runs by the id of the request. */
  const runs = new Map()
  const surplus = { classify: 0, draft: 0 }
  let onOrder = () => {}
  const createModel = (id) => {
    const state = { version: 1, isBusy: false, taken: 0, isLate: false }
    const serve = async (request, response, body, common) => {
      const answer = (document) => {
        const text = JSON.stringify(document)
        response
          .writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': text.length })
          .end(text)
      }
      if (request.url === '/spoolgate/report')
        return answer({
          Stage: 'both',
          Models: [{ Name: 'm0', Version: state.version, Adapters: [] }],
          Busy: state.isBusy,
          Sequence: state.taken,
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
      if (request.url === '/spoolgate/order') {
        const order = JSON.parse(body.toString())
        const isRefused = state.isBusy || order.Expected !== state.taken
        const status = order.Version === state.version ? 200 : isRefused ? 409 : 202
        response.writeHead(status, { 'Content-Length': 0 }).end()
        record(`replica ${id} is ordered to load ${order.Version} by ${order.Holder}: ${status}`)
        if (status !== 202) return
        state.taken += 1
        state.isBusy = true
        setTimeout(() => {
          state.isBusy = false
          state.version = order.Version
          record(`replica ${id} has loaded ${order.Version}`)
        }, LOAD_MS)
        onOrder(id)
        return
      }
      const requestId = common['X-Request-Id']
      const refuse = (status, fields, why) => {
        const head = {
          ...common,
          'X-Weight-Versions': String(state.version),
          ...fields,
          'Content-Length': '0',
        }
        response.writeHead(status, head).end()
        record(`replica ${id} refuses ${requestId}: ${status}, ${why}`)
        return head
      }
      if (state.isBusy) return void refuse(503, { 'X-Not-Executed': '1' }, 'it loads')
      const expected = request.headers['x-expect-version']
      if (expected !== undefined && Number(expected) !== state.version) {
        const head = refuse(421, {}, `${expected} is expected and it has ${state.version}`)
        const route = request.url.split('/')[1]
        if (hasSurplus && surplus[route] < SURPLUS) {
          surplus[route] += 1
          const { socket } = request
          setTimeout(() => {
            const fields = Object.entries(head).map(([name, value]) => `${name}: ${value}\r\n`)
            socket.write(`HTTP/1.1 421 Misdirected Request\r\n${fields.join('')}\r\n`)
            record(`replica ${id} sends the refusal of ${requestId} a second time`)
          }, LATE_MS)
        }
        return
      }
      // Work on the request begins here.
      const known = runs.get(requestId) ?? []
      runs.set(requestId, [...known, id])
      record(`replica ${id} runs ${requestId}`)
      await sleep(FIRST_MS)
      if (response.destroyed) return
      response.writeHead(200, {
        ...common,
        'X-Response-Seal': `seal.${requestId}`,
        'X-Weight-Versions': String(state.version),
        'Content-Type': 'text/event-stream',
      })
      for (let event = 1; event <= 3 && !response.destroyed; event += 1) {
        response.write(`id: ${event}\ndata: piece ${event}\n\n`)
        await sleep(30)
      }
      response.end()
    }
    return { state, serve }
  }
  const finish = async (status, text) => {
    record(text)
    for (const replica of replicas) replica.close()
    await fleet.close()
    process.exit(status)
  }
  const models = []
  for (let index = 0; index < 3; index += 1) {
    const id = `i-model${index}`
    const model = createModel(id)
    const listModels = () => [{ Name: 'm0', Version: model.state.version, Adapters: [] }]
    const replica = await startReplica(fleet, {
      id,
      service: 'models',
      index,
      slots: 64,
      models: listModels,
      serve: model.serve,
    })
    replicas.push(replica)
    models.push({ ...model, id, replica })
  }
  const toRoute = (name, attempts) => ({
    Name: `r-${name}`,
    Host: 'a.example',
    PathPrefix: `/${name}/`,
    Kind: 'streaming',
    TimeoutMs: 4000,
    TargetLatencyMs: 600,
    Priority: 1,
    Service: 'models',
    MaxAttempts: attempts,
    Public: true,
    StickySessions: true,
    Resumable: false,
    TargetGapMs: 500,
  })
  const configuration = {
    Version: 1,
    // As `receipt-classify` of the site, and the same with a second replica allowed.
    Routes: [toRoute('classify', 1), toRoute('draft', 2)],
    Services: [
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
  const named = await callControl(fleet, '/spoolgate/version-put', { Model: 'm0', Version: 1 })
  record(`configuration 1: ${put.status}, weights 1 of m0: ${named.status}`)

  let count = 0
  const answers = []
  const ask = async (machine, route) => {
    const id = `${(0x10000000 + (count += 1)).toString(16)}${Math.random().toString(16).slice(2, 10).padEnd(8, '0')}`
    const body = 'x'.repeat(200)
    const headers = {
      Host: 'a.example',
      'X-Request-Id': id,
      'X-Deadline-Ms': 4000,
      'X-Model': 'm0',
      'X-Token-Count': '40,20',
      'X-Prompt-Prefix': `${id.slice(0, 8)}a:30,${id.slice(0, 8)}b:10`,
      'Content-Length': body.length,
    }
    const answer = {
      id,
      machine,
      ...(await send({
        ...fleet.front(machine),
        method: 'POST',
        path: `/${route}/x`,
        timeoutMs: 4000,
        headers,
        body,
      })),
    }
    answers.push(answer)
    record(
      `request ${id} on r-${route} to router ${machine + 1} at ${answer.sentAt.toFixed(3)} s: ${answer.end} ${answer.status ?? ''}`,
    )
    return answer
  }
  const until = now() + 20
  for (let machine = 0; machine < 3;) {
    const answer = await ask(machine, 'draft')
    if (answer.status === 200) machine += 1
    else if (now() > until)
      return finish(2, `router ${machine + 1} does not serve: ${answer.status}`)
    else await sleep(200)
  }
  record('all routers serve')
  await sleep(4000)
  const findLeader = () => {
    const elected = fleet.machines
      .filter(({ programs }) => programs.control)
      .flatMap(({ programs, index }) => {
        const text = readFileSync(programs.control.logFile, 'utf8')
        const terms = [...text.matchAll(/event=raft\.elected .*?term=(\d+)/g)].map((match) =>
          Number(match[1]),
        )
        return terms.map((term) => ({ index, term }))
      })
    return elected.sort((a, b) => b.term - a.term)[0]?.index
  }
  // One client asks at a time, some 60 times a second; each request is its own attempt.
  let isAsking = true
  const pending = []
  const asking = (async () => {
    for (let turn = 0; isAsking; turn += 1) {
      pending.push(ask(turn % 3, turn % 4 === 3 ? 'classify' : 'draft'))
      await sleep(15)
    }
  })()
  await sleep(1500)
  const leader = findLeader()
  if (leader === undefined) return finish(2, 'no leader is found in the logs')
  // The process that leads is killed while the first replica loads, and is started again as the platform does.
  const ordered = new Promise((resolve) => (onOrder = resolve))
  const bumped = await callControl(fleet, '/spoolgate/version-put', { Model: 'm0', Version: 2 })
  record(`weights 2 of m0: ${bumped.status}`)
  const first = await Promise.race([ordered, sleep(5000)])
  if (!first) return finish(2, 'no replica was ordered')
  onOrder = () => {}
  if (hasKill) {
    // Its next heartbeat comes late.
    models.find(({ id }) => id === first).replica.heldUntil = now() + 2.2
    await sleep(50)
    const { control } = fleet.machines[leader].programs
    await control.kill()
    record(`control at machine ${leader + 1}, which led, is killed`)
    setTimeout(() => control.start(), 500)
  }
  await sleep(9000)
  isAsking = false
  await asking
  await Promise.all(pending)
  const NOT_RUN = new Set([408, 421, 429, 503])
  const twice = [...runs].filter(([, by]) => by.length > 1)
  const refused = answers.filter(({ id, status }) => NOT_RUN.has(status) && runs.has(id))
  const counts = {}
  for (const { end, status } of answers)
    counts[`${end} ${status ?? ''}`] = (counts[`${end} ${status ?? ''}`] ?? 0) + 1
  record(`${answers.length} requests: ${JSON.stringify(counts)}`)
  for (const [id, by] of twice) {
    const answer = answers.find((other) => other.id === id)
    record(
      `request ${id} was run ${by.length} times, by ${by.join(', ')}; answer: ${answer?.end} ${answer?.status}`,
    )
  }
  for (const { id, status } of refused)
    record(`request ${id} was answered ${status}, and was run by ${runs.get(id).join(', ')}`)
  if (hasSurplus && surplus.draft === 0) return finish(2, 'no refusal for its weights came about')
  record(
    `TWICE: ${twice.length} requests were run more than once; REFUSED: ${refused.length} that ran were answered as not run`,
  )
  const isBroken = twice.length > 0
  await finish(isBroken ? 1 : 0, isBroken ? 'TWICE is broken' : 'TWICE holds')
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
