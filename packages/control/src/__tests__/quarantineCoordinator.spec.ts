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
import { createControlStateMachine } from '../state/controlMachine.js'
import { createQuarantineState } from '../state/quarantineState.js'

const REQUEST = toRequestFingerprint('caller.request')
const toServer = (name: string) => toBackendServerId(name)

function buildReport(change: Partial<CrashReport>): CrashReport {
  return { ended: [], answered: [], asked: [], untried: [], ...change }
}
const report = (...servers: string[]) =>
  buildReport({
    ended: servers.map((name) => ({
      server: toServer(name),
      sends: [{ request: REQUEST, round: 0 }],
    })),
  })

/** Creates a leader whose log entries are applied immediately, or fail while `isLost` is set. */
function createLeader() {
  const timers = createManualTimerService()
  const machine = createControlStateMachine()
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
  const coordinator = createQuarantineCoordinator({
    member,
    quarantine,
    timers,
    logger: createQuietLogger(),
  })
  const settle = () => new Promise((resolve) => setImmediate(resolve))
  const record = async (reported: CrashReport) => {
    const trial = coordinator.record(reported)
    await settle()
    return trial
  }
  return { timers, machine, commands, state, coordinator, record }
}

describe('quarantine coordinator', () => {
  it('quarantines a request at the third crashed server, whichever router reports it', async () => {
    const { coordinator, record } = createLeader()
    await record(report('a', 'b'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 0 }])
    await record(report('b', 'a'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 0 }])
    await record(report('c'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 1 }])
  })

  it('does not list a request after one crash', async () => {
    const { coordinator, record } = createLeader()
    await record(report('a'))
    expect(coordinator.list()).to.deep.equal([])
  })

  it('discards the crashes of a request that was answered', async () => {
    const { coordinator, record } = createLeader()
    await record(report('a', 'b'))
    await record(buildReport({ answered: [REQUEST] }))
    await record(report('c', 'd'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 0 }])
  })

  it('releases a request that was answered, even before its quarantine is committed', async () => {
    const { coordinator, record } = createLeader()
    await record(report('a', 'b', 'c'))
    await record(buildReport({ answered: [REQUEST] }))
    expect(coordinator.list()).to.deep.equal([])
    coordinator.record(report('d', 'e', 'f'))
    await record(buildReport({ answered: [REQUEST] }))
    expect(coordinator.list()).to.deep.equal([])
  })

  it('counts crashes that routers report again to a new leader, and proposes no quarantine twice', async () => {
    const { coordinator, record, state, commands } = createLeader()
    await record(report('a', 'b'))
    state.term = 2
    await record(report('a', 'b'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 0 }])
    await record(report('c'))
    state.term = 3
    await record(report('a', 'b', 'c', 'd', 'e', 'f'))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 1 }])
    expect(commands).to.have.length(1)
  })

  it('proposes a quarantine again if its log entry was lost', async () => {
    const { coordinator, record, state } = createLeader()
    state.isLost = true
    await record(report('a', 'b', 'c'))
    state.isLost = false
    await record(buildReport({}))
    expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: 1 }])
  })

  it('grants one trial after each round, and quarantines for longer after each crash', async () => {
    const { coordinator, record, timers } = createLeader()
    await record(report('a', 'b', 'c'))
    const asked = buildReport({ asked: [REQUEST] })
    for (let round = 1; round <= 4; round += 1) {
      expect(await record(asked)).to.equal(undefined)
      timers.advance(findQuarantineMs(round) - 1)
      expect(await record(asked), `round ${round}`).to.equal(undefined)
      timers.advance(1)
      expect(await record(asked), `round ${round}`).to.equal(REQUEST)
      expect(await record(asked)).to.equal(undefined)
      const sends = [{ request: REQUEST, round }]
      await record(buildReport({ ended: [{ server: toServer(`x${round}`), sends }] }))
      expect(coordinator.list()).to.deep.equal([{ request: REQUEST, round: round + 1 }])
    }
  })

  it('grants trials for one request at a time', async () => {
    const { record, timers } = createLeader()
    const other = toRequestFingerprint('caller.other')
    const sends = [REQUEST, other].map((request) => ({ request, round: 0 }))
    const ended = ['a', 'b', 'c'].map((name) => ({ server: toServer(name), sends }))
    await record(buildReport({ ended }))
    const asked = buildReport({ asked: [REQUEST, other] })
    await record(asked)
    timers.advance(findQuarantineMs(1))
    expect(await record(asked)).to.equal(REQUEST)
    expect(await record(asked)).to.equal(undefined)
    await record(buildReport({ answered: [REQUEST] }))
    expect(await record(asked)).to.equal(other)
  })

  it('grants a trial again immediately if it went unused', async () => {
    const { record, timers } = createLeader()
    await record(report('a', 'b', 'c'))
    await record(buildReport({ asked: [REQUEST] }))
    timers.advance(findQuarantineMs(1))
    expect(await record(buildReport({ asked: [REQUEST] }))).to.equal(REQUEST)
    timers.advance(5_000)
    expect(await record(buildReport({ asked: [REQUEST] }))).to.equal(undefined)
    expect(await record(buildReport({ asked: [REQUEST], untried: [REQUEST] }))).to.equal(REQUEST)
  })

  it('never keeps a request listed after it was answered, in any order of crashes and answers', async () => {
    const event = fc.oneof(fc.constant('answered'), fc.nat({ max: 9 }).map(String))
    await fc.assert(
      fc.asyncProperty(fc.array(event, { maxLength: 30 }), async (events) => {
        const { coordinator, record } = createLeader()
        for (const each of [...events, 'answered']) {
          await record(each === 'answered' ? buildReport({ answered: [REQUEST] }) : report(each))
        }
        expect(coordinator.list()).to.deep.equal([])
      }),
      { seed: 39, numRuns: 60 },
    )
  })
})

describe('replicated quarantine state', () => {
  const request = (caller: number, index: number): RequestFingerprint =>
    toRequestFingerprint(`c${caller}.${index}`)

  it('survives a snapshot, and never returns to an earlier round', () => {
    const quarantineState = createQuarantineState()
    quarantineState.quarantine({ kind: 'request.quarantine', request: REQUEST, round: 2 })
    quarantineState.quarantine({ kind: 'request.quarantine', request: REQUEST, round: 1 })
    const restored = createQuarantineState()
    restored.load(
      JSON.parse(JSON.stringify(quarantineState.save())) as ReturnType<typeof quarantineState.save>,
    )
    expect(restored.list()).to.deep.equal([{ request: REQUEST, round: 2 }])
    restored.release({ kind: 'request.release', request: REQUEST })
    expect(restored.list()).to.deep.equal([])
  })

  it('never evicts a request of one caller for those of another', () => {
    const quarantineState = createQuarantineState()
    quarantineState.quarantine({ kind: 'request.quarantine', request: REQUEST, round: 1 })
    for (let index = 0; index < 1_000; index += 1) {
      quarantineState.quarantine({
        kind: 'request.quarantine',
        request: request(1, index),
        round: 1,
      })
    }
    expect(quarantineState.find(REQUEST)?.round).to.equal(1)
    expect(quarantineState.find(request(1, 999))?.round).to.equal(1)
    expect(quarantineState.list().length).to.be.below(200)
  })

  it('is bounded for any number of callers', () => {
    const quarantineState = createQuarantineState()
    for (let caller = 0; caller < 2_000; caller += 1) {
      quarantineState.quarantine({
        kind: 'request.quarantine',
        request: request(caller, 1),
        round: 1,
      })
    }
    expect(quarantineState.list().length).to.be.below(1_000)
  })
})

describe('crash report buffer', () => {
  const create = () => {
    const timers = createManualTimerService()
    return { timers, record: createCrashReportBuffer(timers) }
  }
  const send = { request: REQUEST, round: 0 }

  it('reports a crash once, and again to a new leader for a limited time', () => {
    const { timers, record } = create()
    record.addCrash(toServer('a'), send)
    const ended = [{ server: toServer('a'), sends: [send] }]
    expect(record.listUnreported(1).report.ended).to.deep.equal(ended)
    record.recordReported(record.listUnreported(1), 1)
    expect(record.listUnreported(1).report.ended).to.deep.equal([])
    expect(record.listUnreported(2).report.ended).to.deep.equal(ended)
    timers.advance(60_000)
    expect(record.listUnreported(2).report.ended).to.deep.equal([])
  })

  it('reports a crash again with the next poll if a poll was lost', () => {
    const { record } = create()
    record.addCrash(toServer('a'), send)
    record.listUnreported(1)
    expect(record.listUnreported(1).report.ended).to.have.length(1)
  })

  it('counts crashes locally only until they are reported to a leader', () => {
    const { record } = create()
    for (const name of ['a', 'b', 'b', 'c']) record.addCrash(toServer(name), send)
    expect(record.countUnreportedCrashes(REQUEST)).to.equal(3)
    record.recordReported(record.listUnreported(1), 1)
    expect(record.countUnreportedCrashes(REQUEST)).to.equal(0)
  })

  it('discards the crashes of a request that was answered, and reports the answer once', () => {
    const { record } = create()
    record.addCrash(toServer('a'), send)
    record.addAnswered(REQUEST)
    const unreported = record.listUnreported(1)
    expect(unreported.report).to.deep.equal(buildReport({ answered: [REQUEST] }))
    record.recordReported(unreported, 1)
    expect(record.listUnreported(2).report).to.deep.equal(buildReport({}))
  })

  it('is bounded, and lists the most frequently rejected request first', () => {
    const { record } = create()
    for (let index = 0; index < 5_000; index += 1) {
      record.addCrash(toServer(`s${index}`), send)
      record.addRejected(toRequestFingerprint(`c.${index % 100}`))
    }
    record.addRejected(toRequestFingerprint('c.7'))
    const { ended, asked } = record.listUnreported(1).report
    expect(ended.length).to.be.at.most(1_000)
    expect(asked.length).to.be.at.most(64)
    expect(asked[0]).to.equal('c.7')
  })
})
