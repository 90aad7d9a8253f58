import { createLogger, createManualTimerService, createMetrics } from '@spoolgate/core'
import { expect } from 'chai'
import {
  LOW_TOLERANCE_WARNING_DELAY_MS,
  createFaultToleranceReport,
} from '../group/faultToleranceReport.js'
import { createElectionReport, DEADLOCK_AFTER_MS } from '../raft/electionReport.js'
import type { ElectionDeadlock } from '../raft/electionDeadlock.js'
import type { MemberMap } from '../raft/messages.js'
import { createTestGroup, ELECTION_MS, type TestGroup } from './group.js'

const NAMES = ['a', 'b', 'c', 'd']

/** Lists the log lines of one event. */
function listLines(lines: readonly string[], event: string): string[] {
  return lines.filter((line) => line.includes(` event=${event} `))
}

describe('election report of a group without a leader', () => {
  let group: TestGroup

  beforeEach(async () => {
    group = await createTestGroup(NAMES)
    await group.waitForLeader()
    await group.run(ELECTION_MS)
  })
  afterEach(() => group.close())

  /** Runs the group and returns the answers in the last failed-election line of a member. */
  const readAnswers = async (name: string): Promise<Record<string, string>> => {
    const known = group.logLines.length
    await group.run(ELECTION_MS * 5)
    const found = listLines(group.logLines.slice(known), 'raft.notElected')
    const [line] = found.filter((text) => text.includes(` member=${name} `)).slice(-1)
    const [, answers] = /answers=("(?:[^"\\]|\\.)*")/.exec(line) as RegExpExecArray
    return JSON.parse(JSON.parse(answers) as string) as Record<string, string>
  }

  it('names the voters that do not reply', async () => {
    for (const name of ['a', 'b', 'c']) group.frozenMembers.add(name)
    const answers = await readAnswers('d')
    expect(answers.d).to.equal('granted')
    expect(answers.a).to.equal('silent: link is cut')
  })

  it('names a voter whose disk is lost and logs the loss once', async () => {
    const left = ['a', 'b']
    await group.restart(left, 0)
    await group.loseDisks(['c'])
    group.frozenMembers.add('d')
    group.frozenMembers.add('b')
    expect((await readAnswers('a')).c).to.equal('lost')
    const lost = listLines(group.logLines, 'raft.lostVoter').filter((line) =>
      / member=a /.test(line),
    )
    expect(lost).to.have.length(1)
    expect(lost[0]).to.include('voter=c url=c found=c#new')
  })

  it('names the leader whose lease prevents a vote', async () => {
    const old = group.leader()?.name as string
    const others = NAMES.filter((name) => name !== old)
    group.isolate(old)
    await group.restart(others, 0)
    await group.run(ELECTION_MS * 0.8)
    const term = group.members.get(old)?.member.status().term
    const lines = listLines(group.logLines, 'raft.notElected')
    expect(lines.some((line) => line.includes(`heldBack by ${old} of term ${term}`))).to.equal(true)
  })

  it('shows a candidate that its log is behind', async () => {
    const leader = await group.waitForLeader()
    const [behind, other] = NAMES.filter((name) => name !== leader.name)
    group.isolate(behind)
    await group.propose(leader, { kind: 'table.put', version: 1, document: '{}' })
    group.heal()
    for (const name of NAMES) if (name !== behind && name !== other) group.frozenMembers.add(name)
    expect((await readAnswers(behind))[other]).to.equal('behind')
  })

  /** All lose power; `a` returns with its disk, `b` with another one, and the others as given. */
  const losePowerAndDisks = async (emptied: readonly string[], away: readonly string[]) => {
    const disks = await group.losePower(NAMES)
    for (const name of NAMES.filter((one) => !away.includes(one))) {
      const isReplaced = name === 'b'
      const folder = isReplaced || emptied.includes(name) ? undefined : disks.get(name)
      const start = { url: name, folder, isFounding: false, startedAt: 0 }
      await group.start(isReplaced ? 'b#new' : name, start)
    }
    await group.run(DEADLOCK_AFTER_MS + ELECTION_MS * 20)
    return listLines(group.logLines, 'group.cannotElect')
  }
  const findReported = () => group.members.get('a')?.member.status().cannotElect

  it('says that the group cannot elect a leader by itself, and what each voter lacks', async () => {
    const lines = await losePowerAndDisks(['c', 'd'], [])
    expect(lines).to.have.length(1)
    expect(lines[0]).to.match(/level=error .*member=a able=1 needed=2 /)
    const voters: ElectionDeadlock['voters'] = findReported()?.voters ?? {}
    const lacks = Object.values(voters).map((voter) => voter.lacks)
    const barred = 'permissionToVote'
    expect(lacks).to.deep.equal([undefined, 'itsDisk', barred, barred])
    expect(voters.a.position?.index).to.be.greaterThan(voters.c.position?.index ?? Infinity)
  })

  it('does not say so while a voter is missing, or when a leader can be elected', async () => {
    expect(await losePowerAndDisks(['c'], ['d'])).to.have.length(0)
    expect(findReported()).to.equal(undefined)
    await group.close()
    group = await createTestGroup(NAMES)
    await group.waitForLeader()
    expect(await losePowerAndDisks(['c'], [])).to.have.length(0)
  })

  it('logs why an instance cannot be a candidate', async () => {
    await group.loseDisks(['d'])
    await group.run(ELECTION_MS * 3)
    const lines = listLines(group.logLines, 'raft.notStanding')
    expect(lines.some((line) => line.includes('member=d#new kind=- mayVote=false'))).to.equal(true)
  })
})

describe('output of the election report', () => {
  const members: MemberMap = { a: { url: 'a', kind: 'voter' }, b: { url: 'b', kind: 'voter' } }

  it('limits the rate of log lines and logs changed content at once', () => {
    const lines: string[] = []
    const timers = createManualTimerService()
    const logger = createLogger({ write: (line) => void lines.push(line) })
    const report = createElectionReport({ logger, timers })
    for (let round = 0; round < 100; round += 1) {
      const answers = { b: 'silent: x' }
      report.recordFailedRound({ term: round, isPreVote: true, members, answers })
      timers.advance(50)
    }
    // The rounds span 5 s: one line per second.
    expect(lines).to.have.length(5)
    timers.advance(100)
    report.recordFailedRound({ term: 1, isPreVote: true, members, answers: { b: 'lost' } })
    expect(lines).to.have.length(6)
    for (let round = 0; round < 100; round += 1) {
      report.recordFailedRound({ term: 1, isPreVote: true, members, answers: { b: `x${round}` } })
      timers.advance(10)
    }
    // Changing content is logged ten times a second; the first of these lines came too early.
    expect(lines).to.have.length(15)
  })

  it('records the time without a leader as a metric', async () => {
    const metrics = createMetrics('control')
    const timers = createManualTimerService()
    const logger = createLogger({ level: 'quiet' })
    const report = createElectionReport({ logger, timers, metrics })
    timers.advance(300)
    report.recordLeader('a')
    report.recordLeader('a')
    timers.advance(1_000)
    report.recordLeader(undefined)
    timers.advance(200)
    report.recordLeader(undefined)
    report.recordLeader('b')
    const text = await metrics.render()
    expect(text).to.match(/leaderless_ms_count\S* 2/)
    expect(text).to.match(/leaderless_ms_sum\S* 500/)
    await metrics.close()
  })
})

describe('warning that a group tolerates fewer losses than configured', () => {
  const buildVoters = (count: number): MemberMap =>
    Object.fromEntries(
      Array.from({ length: count }, (_, index) => [`m${index}`, { url: '', kind: 'voter' }]),
    )

  it('is logged once for each group that stays in this state, with the numbers and the remedy', () => {
    const lines: string[] = []
    const timers = createManualTimerService()
    const logger = createLogger({ write: (line) => void lines.push(line) })
    const report = createFaultToleranceReport({ targetVoters: 5, timers, logger })
    const hold = (voters: number) => {
      for (let looks = 0; looks < 100; looks += 1) {
        report.recordGroup(buildVoters(voters))
        timers.advance(LOW_TOLERANCE_WARNING_DELAY_MS / 50)
      }
    }
    report.recordGroup(buildVoters(3))
    timers.advance(LOW_TOLERANCE_WARNING_DELAY_MS)
    hold(5)
    expect(lines).to.have.length(0)
    hold(4)
    expect(lines).to.have.length(1)
    expect(lines[0]).to.include('event=group.bearsFewer wanted=2 away=1 lostDisks=2 voters=4')
    expect(lines[0]).to.include('remedy="run control on 5 instances with a disk or more"')
    hold(3)
    expect(lines).to.have.length(2)
    expect(lines[1]).to.include('away=1 lostDisks=1 voters=3')
  })
})
