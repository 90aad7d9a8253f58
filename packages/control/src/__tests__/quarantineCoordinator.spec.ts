import {
  createManualTimerService,
  createQuietLogger,
  toBackendServerId,
  toRequestFingerprint,
  type RequestFingerprint,
} from '@spoolgate/core'
import { expect } from 'chai'
import fc from 'fast-check'
import { createCrashReportBuffer } from '../quarantine/crashReportBuffer.js'
import { createQuarantineCoordinator } from '../quarantine/quarantineCoordinator.js'
import { findQuarantineMs, type CrashReport } from '../quarantine/crashReport.js'
import { createControlMachine } from '../state/controlMachine.js'
import { createQuarantineState } from '../state/quarantineState.js'

const R = toRequestFingerprint('caller.request')
const server = (name: string) => toBackendServerId(name)

function buildReport(change: Partial<CrashReport>): CrashReport {
  return { ended: [], answered: [], asked: [], untried: [], ...change }
}
const report = (...servers: string[]) =>
  buildReport({
    ended: servers.map((name) => ({
      server: server(name),
      sends: [{ request: R, round: 0 }],
    })),
  })

/** A leader whose entries are applied at once, unless `isLost`. */
function createLeader() {
  const timers = createManualTimerService()
  const machine = createControlMachine()
  const commands: unknown[] = []
  const state = { term: 1, isLost: false }
  const member = {
    status: () => ({ term: state.term }) as never,
    propose: async (command: unknown) => {
      if (state.isLost) throw new Error('no majority')
      commands.push(command)
      return machine.apply(command, commands.length)
    },
  }
  const { quarantine } = machine
  const source = createQuarantineCoordinator({
    member,
    quarantine,
    timers,
    logger: createQuietLogger(),
  })
  const settle = () => new Promise((resolve) => setImmediate(resolve))
  const record = async (reported: CrashReport) => {
    const trial = source.record(reported)
    await settle()
    return trial
  }
  return { timers, machine, commands, state, source, record }
}

describe('the judgement of requests under which servers end', () => {
  it('puts a request into quarantine at the third server, whoever saw them', async () => {
    const { source, record } = createLeader()
    await record(report('a', 'b'))
    expect(source.list()).to.deep.equal([{ request: R, round: 0 }])
    await record(report('b', 'a'))
    expect(source.list()).to.deep.equal([{ request: R, round: 0 }])
    await record(report('c'))
    expect(source.list()).to.deep.equal([{ request: R, round: 1 }])
  })

  it('reports nothing of a request under which one server ended', async () => {
    const { source, record } = createLeader()
    await record(report('a'))
    expect(source.list()).to.deep.equal([])
  })

  it('forgets what speaks against a request that was answered', async () => {
    const { source, record } = createLeader()
    await record(report('a', 'b'))
    await record(buildReport({ answered: [R] }))
    await record(report('c', 'd'))
    expect(source.list()).to.deep.equal([{ request: R, round: 0 }])
  })

  it('releases a request that was answered after all, also before its quarantine is in the log', async () => {
    const { source, record } = createLeader()
    await record(report('a', 'b', 'c'))
    await record(buildReport({ answered: [R] }))
    expect(source.list()).to.deep.equal([])
    source.record(report('d', 'e', 'f'))
    await record(buildReport({ answered: [R] }))
    expect(source.list()).to.deep.equal([])
  })

  it('counts what routers report to a new leader again, and what is in the log only once', async () => {
    const { source, record, state, commands } = createLeader()
    await record(report('a', 'b'))
    state.term = 2
    await record(report('a', 'b'))
    expect(source.list()).to.deep.equal([{ request: R, round: 0 }])
    await record(report('c'))
    state.term = 3
    await record(report('a', 'b', 'c', 'd', 'e', 'f'))
    expect(source.list()).to.deep.equal([{ request: R, round: 1 }])
    expect(commands).to.have.length(1)
  })

  it('proposes a quarantine again whose entry was lost', async () => {
    const { source, record, state } = createLeader()
    state.isLost = true
    await record(report('a', 'b', 'c'))
    state.isLost = false
    await record(buildReport({}))
    expect(source.list()).to.deep.equal([{ request: R, round: 1 }])
  })

  it('lets one router try it once each round is over, and refuses it for longer after each end', async () => {
    const { source, record, timers } = createLeader()
    await record(report('a', 'b', 'c'))
    const asked = buildReport({ asked: [R] })
    for (let round = 1; round <= 4; round += 1) {
      expect(await record(asked)).to.equal(undefined)
      timers.advance(findQuarantineMs(round) - 1)
      expect(await record(asked), `round ${round}`).to.equal(undefined)
      timers.advance(1)
      expect(await record(asked), `round ${round}`).to.equal(R)
      expect(await record(asked)).to.equal(undefined)
      const sends = [{ request: R, round }]
      await record(buildReport({ ended: [{ server: server(`x${round}`), sends }] }))
      expect(source.list()).to.deep.equal([{ request: R, round: round + 1 }])
    }
  })

  it('lets one request be tried at a time', async () => {
    const { record, timers } = createLeader()
    const other = toRequestFingerprint('caller.other')
    const sends = [R, other].map((request) => ({ request, round: 0 }))
    const ended = ['a', 'b', 'c'].map((name) => ({ server: server(name), sends }))
    await record(buildReport({ ended }))
    const asked = buildReport({ asked: [R, other] })
    await record(asked)
    timers.advance(findQuarantineMs(1))
    expect(await record(asked)).to.equal(R)
    expect(await record(asked)).to.equal(undefined)
    await record(buildReport({ answered: [R] }))
    expect(await record(asked)).to.equal(other)
  })

  it('lets it be tried again at once where nobody or no server was there', async () => {
    const { record, timers } = createLeader()
    await record(report('a', 'b', 'c'))
    await record(buildReport({ asked: [R] }))
    timers.advance(findQuarantineMs(1))
    expect(await record(buildReport({ asked: [R] }))).to.equal(R)
    timers.advance(5_000)
    expect(await record(buildReport({ asked: [R] }))).to.equal(undefined)
    expect(await record(buildReport({ asked: [R], untried: [R] }))).to.equal(R)
  })

  it('never lets harmless requests stay that are answered between any ends', async () => {
    const event = fc.oneof(fc.constant('answered'), fc.nat({ max: 9 }).map(String))
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 30 }), async (events) => {
        const { source, record } = createLeader()
        for (const each of [...events, 'answered']) {
          await record(each === 'answered' ? buildReport({ answered: [R] }) : report(each))
        }
        expect(source.list()).to.deep.equal([])
      }),
      { seed: 39, numRuns: 60 },
    )
  })
})

describe('requests in quarantine, as the log holds them', () => {
  const request = (caller: number, index: number): RequestFingerprint =>
    toRequestFingerprint(`c${caller}.${index}`)

  it('outlive a snapshot, and never go back to an earlier round', () => {
    const state = createQuarantineState()
    state.quarantine({ kind: 'request.quarantine', request: R, round: 2 })
    state.quarantine({ kind: 'request.quarantine', request: R, round: 1 })
    const restored = createQuarantineState()
    restored.load(JSON.parse(JSON.stringify(state.save())) as ReturnType<typeof state.save>)
    expect(restored.list()).to.deep.equal([{ request: R, round: 2 }])
    restored.release({ kind: 'request.release', request: R })
    expect(restored.list()).to.deep.equal([])
  })

  it('of one caller push out none of another', () => {
    const state = createQuarantineState()
    state.quarantine({ kind: 'request.quarantine', request: R, round: 1 })
    for (let index = 0; index < 1_000; index += 1) {
      state.quarantine({ kind: 'request.quarantine', request: request(1, index), round: 1 })
    }
    expect(state.find(R)?.round).to.equal(1)
    expect(state.find(request(1, 999))?.round).to.equal(1)
    expect(state.list().length).to.be.below(200)
  })

  it('are bounded, however many callers there are', () => {
    const state = createQuarantineState()
    for (let caller = 0; caller < 2_000; caller += 1) {
      state.quarantine({ kind: 'request.quarantine', request: request(caller, 1), round: 1 })
    }
    expect(state.list().length).to.be.below(1_000)
  })
})

describe('what a router knows of requests under which servers ended', () => {
  const create = () => {
    const timers = createManualTimerService()
    return { timers, record: createCrashReportBuffer(timers) }
  }
  const send = { request: R, round: 0 }

  it('is reported once, and to each new leader again for a while', () => {
    const { timers, record } = create()
    record.addCrash(server('a'), send)
    const ended = [{ server: server('a'), sends: [send] }]
    expect(record.listUnreported(1).report.ended).to.deep.equal(ended)
    record.recordReported(record.listUnreported(1), 1)
    expect(record.listUnreported(1).report.ended).to.deep.equal([])
    expect(record.listUnreported(2).report.ended).to.deep.equal(ended)
    timers.advance(60_000)
    expect(record.listUnreported(2).report.ended).to.deep.equal([])
  })

  it('is reported with the next poll where a poll was lost', () => {
    const { record } = create()
    record.addCrash(server('a'), send)
    record.listUnreported(1)
    expect(record.listUnreported(1).report.ended).to.have.length(1)
  })

  it('counts by itself only while it was reported to no leader', () => {
    const { record } = create()
    for (const name of ['a', 'b', 'b', 'c']) record.addCrash(server(name), send)
    expect(record.countUnreportedCrashes(R)).to.equal(3)
    record.recordReported(record.listUnreported(1), 1)
    expect(record.countUnreportedCrashes(R)).to.equal(0)
  })

  it('is forgotten once the request was answered, which is reported once', () => {
    const { record } = create()
    record.addCrash(server('a'), send)
    record.addAnswered(R)
    const unreported = record.listUnreported(1)
    expect(unreported.report).to.deep.equal(buildReport({ answered: [R] }))
    record.recordReported(unreported, 1)
    expect(record.listUnreported(2).report).to.deep.equal(buildReport({}))
  })

  it('stays bounded, and names the most refused request first', () => {
    const { record } = create()
    for (let index = 0; index < 5_000; index += 1) {
      record.addCrash(server(`s${index}`), send)
      record.addRejected(toRequestFingerprint(`c.${index % 100}`))
    }
    record.addRejected(toRequestFingerprint('c.7'))
    const { ended, asked } = record.listUnreported(1).report
    expect(ended.length).to.be.at.most(1_000)
    expect(asked.length).to.be.at.most(64)
    expect(asked[0]).to.equal('c.7')
  })
})
