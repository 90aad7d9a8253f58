import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import {
  createConnectionTracker,
  createLogger,
  createManualTimerService,
  createQuietLogger,
  SpoolgateError,
  type Counter,
  type ManualTimerService,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { CallPlan } from '../direct/callTypes.js'
import {
  createGracefulShutdown,
  listRefusalFields,
  type GracefulShutdown,
} from '../direct/gracefulShutdown.js'

const DRAIN_MS = 8_000

/** Creates a request on its own connection, and its response. */
function createExchange() {
  const socket = Object.assign(new EventEmitter(), { end: () => {} })
  const request = { socket, headers: {} }
  const response = Object.assign(new EventEmitter(), { headersSent: false, setHeader: () => {} })
  return {
    request: request as unknown as IncomingMessage,
    response: response as unknown as ServerResponse & { headersSent: boolean },
  }
}

describe('logs of a graceful shutdown', () => {
  let timers: ManualTimerService
  let lines: string[]
  let cutOffCount: number
  let shutdown: GracefulShutdown

  beforeEach(() => {
    timers = createManualTimerService()
    lines = []
    cutOffCount = 0
    const logger = createLogger({ write: (line) => lines.push(line) })
    const cutOff = { add: (count: number) => (cutOffCount += count) } as unknown as Counter
    shutdown = createGracefulShutdown({
      timers,
      logger,
      connections: createConnectionTracker({ timers, logger }),
      cutOff,
      caller: { sendRefusal: () => {} },
    })
  })

  /** Lists the log lines of one event, without time and level. */
  const listLines = (event: string) =>
    lines
      .filter((line) => line.includes(` event=${event} `))
      .map((line) => line.slice(line.indexOf(' event=') + ` event=${event} `.length))
  const addCall = (id: string, limitMs: number, isStream: boolean) => {
    const { request, response } = createExchange()
    const call = shutdown.track(request, response)
    const route = { name: isStream ? 'streams' : 'orders', isStream }
    const plan = { call: { id }, route, deadline: timers.now() + limitMs } as CallPlan
    call?.recordCall(plan.call)
    call?.recordPlan(plan)
    return response
  }

  it('state at the start the requests in progress, how many of them are streams, and the time left', () => {
    addCall('r-1', 60_000, true)
    addCall('r-2', 60_000, false)
    addCall('r-3', 60_000, true).emit('close')
    shutdown.start(DRAIN_MS)
    expect(listLines('router.stopping')).to.deep.equal(['inProgress=2 streams=1 stopsInMs=8000'])
  })

  it('list each request that is cut off with its age and time left, and count them', async () => {
    addCall('r-1', 60_000, true).headersSent = true
    timers.advance(1_000)
    shutdown.start(DRAIN_MS)
    timers.advance(500)
    addCall('r-2', 9_000, false)
    const idle = shutdown.waitUntilIdle()
    timers.advance(7_520)
    await idle
    expect(shutdown.reportCutOff()).to.equal(2)
    expect(listLines('call.cutOff')).to.deep.equal([
      'request=r-1 route=streams ms=9020 leftMs=50980 hasBegun=true isLate=false',
      'request=r-2 route=orders ms=7520 leftMs=1480 hasBegun=false isLate=true',
    ])
    expect(listLines('router.stopped')).to.deep.equal(['abandoned=2 ms=8020'])
    expect(cutOffCount).to.equal(2)
  })

  it('list no request if all were answered', async () => {
    const response = addCall('r-1', 60_000, true)
    shutdown.start(DRAIN_MS)
    response.emit('close')
    await shutdown.waitUntilIdle()
    expect(shutdown.reportCutOff()).to.equal(0)
    expect(listLines('call.cutOff')).to.deep.equal([])
    expect(listLines('router.stopped')).to.deep.equal(['abandoned=0 ms=0'])
    expect(cutOffCount).to.equal(0)
  })

  it('list a request that was cut off before its head was read', () => {
    const { request, response } = createExchange()
    shutdown.track(request, response)
    shutdown.start(0)
    shutdown.reportCutOff()
    const [line] = listLines('call.cutOff')
    expect(line).to.equal('request=- route=- ms=0 leftMs=- hasBegun=false isLate=false')
  })

  it('list at most 100 requests, but count all of them', () => {
    for (let number = 0; number < 130; number += 1) addCall(`r-${number}`, 60_000, true)
    shutdown.start(0)
    shutdown.reportCutOff()
    expect(listLines('call.cutOff')).to.have.length(100)
    expect(listLines('router.stopped')).to.deep.equal(['abandoned=130 ms=0'])
    expect(cutOffCount).to.equal(130)
  })
})

describe('admission during a graceful shutdown', () => {
  const timers = createManualTimerService()
  const cutOff = { add: () => {} } as unknown as Counter
  const logger = createQuietLogger()
  const shutdown = createGracefulShutdown({
    timers,
    logger,
    connections: createConnectionTracker({ timers, logger }),
    cutOff,
    caller: { sendRefusal: () => {} },
  })
  const createPlan = (limitMs: number) => ({ deadline: timers.now() + limitMs }) as CallPlan

  it('accepts every request while no shutdown is in progress', () => {
    expect(shutdown.findRefusal(createPlan(1e9))).to.equal(undefined)
    expect(shutdown.isStopping()).to.equal(false)
    expect(shutdown.findBodyTimeoutMs()).to.equal(Infinity)
  })

  it('accepts requests whose deadline leaves time for an error response before the end', () => {
    shutdown.start(DRAIN_MS)
    expect(shutdown.findRefusal(createPlan(7_900))).to.equal(undefined)
    for (const limitMs of [7_901, 8_000, 15_000]) {
      const refusal = shutdown.findRefusal(createPlan(limitMs))
      expect(refusal).to.be.instanceOf(SpoolgateError)
      expect(refusal).to.include({
        kind: 'instanceStopping',
        notRun: true,
        retryAfterSeconds: 0.05,
      })
      expect(listRefusalFields(refusal as SpoolgateError)).to.deep.equal({ limitMs, leftMs: 8_000 })
    }
  })

  it('accepts only shorter deadlines as the end approaches', () => {
    timers.advance(7_000)
    expect(shutdown.findRefusal(createPlan(900))).to.equal(undefined)
    expect(shutdown.findRefusal(createPlan(901))).to.be.instanceOf(SpoolgateError)
    expect(shutdown.findBodyTimeoutMs()).to.equal(900)
    timers.advance(2_000)
    expect(shutdown.findBodyTimeoutMs()).to.equal(0)
  })
})
