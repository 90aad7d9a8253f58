import { ConnectionError } from '@spoolgate/core'
import { expect } from 'chai'
import type { MemberMap, RaftTransport, VoteReply } from '../raft/messages.js'
import { runVoteRound } from '../raft/votes.js'

function buildVoters(names: readonly string[]): MemberMap {
  return Object.fromEntries(names.map((name) => [name, { url: name, kind: 'voter' }]))
}

/** Asks as `a`; who answers is given by the address, and silence by nothing. */
async function askAs(
  answers: Readonly<Record<string, string>>,
  options: { groups: MemberMap[]; isPreVote?: boolean; lostBefore?: string[] },
) {
  const reply = (voter: string): VoteReply => ({
    voter,
    term: 1,
    isGranted: !voter.includes('#'),
    endedTerm: 1,
  })
  const send = async (_: string, url: string) => {
    if (!answers[url]) throw new ConnectionError('no answer', true, false)
    return reply(answers[url])
  }
  const found: string[] = []
  const outcome = await runVoteRound({
    groups: options.groups,
    knownLostVoters: options.lostBefore ?? [],
    transport: { send } as unknown as RaftTransport,
    request: {
      isPreVote: options.isPreVote ?? false,
      term: 2,
      candidate: 'a',
      lastIndex: 1,
      lastTerm: 1,
      endedTerms: {},
    },
    ownReply: reply('a'),
    onReplyTerm: async () => {},
    onLostVoter: (voter) => void found.push(voter),
  })
  return { ...outcome, found }
}

describe('a round of votes', () => {
  const four = [buildVoters(['a', 'b', 'c', 'd'])]
  const answers = { b: 'b', c: 'c#new' }

  it('of four voters is won by half where a disk was proven lost before', async () => {
    const pre = await askAs(answers, { groups: four, isPreVote: true })
    expect(pre)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'], found: ['c'] })
    const real = await askAs(answers, { groups: four, lostBefore: ['c'] })
    expect(real)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'] })
  })

  it('does not count a loss that shows only while the real votes are given', async () => {
    // The voter that grants may be lost by now, to another candidate whose proof it is.
    const real = await askAs(answers, { groups: four })
    expect(real)
      .to.include({ isWon: false })
      .and.to.deep.include({ lostVoters: [], found: ['c'] })
  })

  it('must be won in each group that may decide', async () => {
    const groups = [buildVoters(['a', 'b', 'c']), buildVoters(['a', 'b', 'c', 'x'])]
    const lostBefore = ['c']
    expect((await askAs({ x: 'x', c: 'c#new' }, { groups, lostBefore })).isWon).to.equal(false)
    expect((await askAs({ b: 'b', c: 'c#new' }, { groups, lostBefore })).isWon).to.equal(true)
  })

  it('is lost where as many disks are lost as make a majority', async () => {
    const lostBefore = ['b', 'c', 'd']
    expect((await askAs({}, { groups: four, lostBefore })).isWon).to.equal(false)
    const two = [buildVoters(['a', 'b'])]
    expect((await askAs({}, { groups: two, lostBefore: ['b'] })).isWon).to.equal(true)
  })

  it('needs a majority of an odd group, whatever is lost', async () => {
    const five = [buildVoters(['a', 'b', 'c', 'd', 'e'])]
    const lostBefore = ['d', 'e']
    expect((await askAs({ b: 'b' }, { groups: five, lostBefore })).isWon).to.equal(false)
    expect((await askAs({ b: 'b', c: 'c' }, { groups: five, lostBefore })).isWon).to.equal(true)
  })
})
