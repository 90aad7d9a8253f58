import { Readable } from 'node:stream'
import type { IncomingMessage } from 'node:http'
import { resolveFleetConfig, type Fleet } from '@spoolgate/config'
import type { ConfigFollower } from '@spoolgate/control'
import {
  createHttpClient,
  createHttpServer,
  createInvariants,
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  createTimerService,
  readBody,
  BODY_LIMITS,
  toAttemptNumber,
  toBackendServerId,
  toConfigVersion,
  toIncarnation,
  toRequestId,
  toTeamId,
  toWeightsVersion,
  type HttpClient,
  type HttpRequest,
  type HttpServer,
  type ManualTimerService,
} from '@spoolgate/core'
import {
  CALL_HEADER,
  formatCacheSalt,
  type CallHeader,
  type Dispatch,
  type EndFrame,
} from '@spoolgate/routing'
import { expect } from 'chai'
import { BACKEND_ADAPTERS } from '../backend/adapters.js'
import type { BackendState } from '../backend/backendWatcher.js'
import { createCacheIndex } from '../backend/cacheIndex.js'
import { createCallHandler } from '../calls/callHandler.js'
import { createCallTable } from '../calls/callTable.js'
import { createDispatchTable } from '../calls/dispatches.js'
import { createFairQueue } from '../calls/fairQueue.js'
import { createLoadEstimate } from '../calls/loadEstimate.js'

const KEY = 'process-key'
const TEAM = 'team-a'
const SERVER = 'engine-0'
const SIDECAR = toIncarnation('sidecar-1')
const ENGINE = toIncarnation('engine-1')
const BODY = JSON.stringify({ model: 'm', messages: [{ role: 'user', content: 'a question' }] })

function buildFleet(teams: readonly string[]): Fleet {
  const resolved = resolveFleetConfig(
    {
      models: [{ id: 'm', weightsVersion: 'w1' }],
      backendServers: [
        {
          id: SERVER,
          kind: 'engine',
          sidecarUrl: 'http://127.0.0.1:1',
          hall: 'h',
          region: 'r',
          serves: 'm',
        },
      ],
      teams: teams.map((id) => ({ id })),
    } as Parameters<typeof resolveFleetConfig>[0],
    1,
  )
  return resolved._unsafeUnwrap()
}

/** Sends and answers of a simulated engine, each answered on demand. */
function createSimulatedEngine() {
  const answers: (() => void)[] = []
  const sent: HttpRequest[] = []
  const send = (request: HttpRequest) =>
    new Promise<IncomingMessage>((resolve) => {
      sent.push(request)
      const answer = Object.assign(Readable.from([Buffer.from('data: [DONE]\n\n')]), {
        statusCode: 200,
        headers: { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' },
        rawHeaders: ['Content-Type', 'text/event-stream', 'Transfer-Encoding', 'chunked'],
        complete: true,
      })
      answers.push(() => resolve(answer as unknown as IncomingMessage))
    })
  return { sent, client: { send } as HttpClient, answerNext: () => answers.shift()?.() }
}

describe('calls that wait in the queue of a sidecar', () => {
  let timers: ManualTimerService
  let engine: ReturnType<typeof createSimulatedEngine>
  let backend: BackendState
  let fleet: Fleet
  let isLeaving: boolean
  let server: HttpServer
  const client = createHttpClient({ key: KEY })

  beforeEach(async () => {
    timers = createManualTimerService()
    engine = createSimulatedEngine()
    backend = { isReady: true, incarnation: ENGINE, weightsVersion: toWeightsVersion('w1') }
    fleet = buildFleet([TEAM])
    isLeaving = false
    const logger = createQuietLogger()
    const invariants = createInvariants({ logger, fatal: true })
    const dispatches = createDispatchTable()
    const config = {
      current: () => fleet,
      version: () => fleet.version,
      waitForVersion: () => Promise.resolve(true),
    } as unknown as ConfigFollower
    const { routes } = createCallHandler({
      incarnation: SIDECAR,
      server: toBackendServerId(SERVER),
      url: 'http://engine',
      slots: 1,
      queueLimit: 8,
      processKey: KEY,
      adapter: BACKEND_ADAPTERS.openaiEngine,
      client: engine.client,
      config,
      watcher: {
        state: () => backend,
        refresh: () => Promise.resolve(),
        runChange: async (change) => void (await change()),
        close: () => Promise.resolve(),
      },
      index: createCacheIndex(),
      calls: createCallTable({
        timers,
        resumeWindowMs: 3_000,
        dispatchWindowMs: 3_000,
        onForget: () => {},
      }),
      dispatches,
      queue: createFairQueue(1),
      estimate: createLoadEstimate(timers),
      timers,
      logger,
      invariants,
      declines: createMetrics('test').counter('calls_declined', 'Declined calls by reason'),
      isLeaving: () => isLeaving,
    })
    server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      routes: [...routes],
      logger,
      timers: createTimerService(),
    })
  })
  afterEach(() => server.close(0))
  after(() => client.close())

  const sendCall = (request: string, options: Partial<CallHeader> = {}) => {
    const weightsVersion = toWeightsVersion('w1')
    const header: CallHeader = {
      request: toRequestId(request),
      attempt: toAttemptNumber(1),
      team: toTeamId(TEAM),
      scope: formatCacheSalt({ owner: `team:${TEAM}`, model: 'm', adapter: '', weightsVersion }),
      weightsVersion,
      configVersion: toConfigVersion(1),
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      priority: 5,
      share: 1,
      ...options,
    }
    const headers = { [CALL_HEADER]: JSON.stringify(header) }
    return client.send({ method: 'POST', url: `${server.url}/calls`, headers, body: BODY })
  }
  const readEnd = async (message: IncomingMessage): Promise<EndFrame> => {
    expect(message.statusCode).to.equal(200)
    const text = (await readBody(message, BODY_LIMITS.call)).toString()
    return JSON.parse(/event: end\ndata: (.*)\n/.exec(text)?.[1] ?? 'null') as EndFrame
  }
  /** Queues a call behind a running one, applies a change, and ends the running call; the engine answers whatever it gets. */
  const runQueued = async (change: () => void, options: Partial<CallHeader> = {}) => {
    const running = await sendCall('running')
    const queued = await sendCall('queued', options)
    expect(engine.sent).to.have.length(1)
    change()
    engine.answerNext()
    expect((await readEnd(running)).outcome).to.equal('finished')
    engine.answerNext()
    return readEnd(queued)
  }

  it('run when nothing has changed', async () => {
    expect(await runQueued(() => {})).to.deep.equal({ outcome: 'finished' })
    expect(engine.sent).to.have.length(2)
  })

  it('do not start on weights other than those they were claimed for', async () => {
    const end = await runQueued(() => {
      backend = { ...backend, weightsVersion: toWeightsVersion('w2') }
    })
    expect(engine.sent).to.have.length(1)
    expect(end).to.include({ outcome: 'failed', reason: 'wrongWeights', notRun: true })
    expect(end.declined?.decline).to.deep.equal({ declined: 'wrongWeights' })
    expect(end.declined?.hints.weightsVersion).to.equal('w2')
  })

  it('do not start while the engine loads weights', async () => {
    const end = await runQueued(() => {
      backend = { ...backend, isReady: false }
    })
    expect(engine.sent).to.have.length(1)
    expect(end).to.include({ outcome: 'failed', reason: 'notReady', notRun: true })
  })

  it('do not start for a team that was removed meanwhile', async () => {
    const end = await runQueued(() => {
      fleet = buildFleet(['team-b'])
    })
    expect(engine.sent).to.have.length(1)
    expect(end).to.include({ outcome: 'failed', reason: 'wrongScope', notRun: true })
  })

  it('are reported as not run when their dispatch is asked about', async () => {
    const dispatch: Dispatch = { claim: 'team-a/key', number: 1, incarnation: SIDECAR }
    const weightsVersion = toWeightsVersion('w2')
    await runQueued(
      () => {
        backend = { ...backend, weightsVersion }
      },
      { dispatch },
    )
    const asked = { method: 'POST', url: `${server.url}/dispatches`, json: dispatch }
    expect(await client.sendJson(asked)).to.deep.equal({ state: 'failed', notRun: true })
    expect(engine.sent).to.have.length(1)
  })

  it('do not start once their deadline has passed', async () => {
    const end = await runQueued(() => timers.advance(2_500), { deadlineMs: 2_000 })
    expect(engine.sent).to.have.length(1)
    expect(end).to.include({ outcome: 'failed', reason: 'deadlineUnreachable', notRun: true })
    expect(end.declined?.decline.retryAfterMs).to.be.greaterThan(0)
  })

  it('start when their own prefill still fits into what is left of the deadline', async () => {
    const end = await runQueued(() => timers.advance(1_900), { deadlineMs: 2_000 })
    expect(end).to.deep.equal({ outcome: 'finished' })
  })

  it('still run after a planned stop began', async () => {
    const end = await runQueued(() => {
      isLeaving = true
    })
    expect(end).to.deep.equal({ outcome: 'finished' })
  })
})
