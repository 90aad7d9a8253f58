import { ConnectionError } from '@spoolgate/core'
import { expect } from 'chai'
import type { MemberMap, RaftTransport, VoteReply } from '../raft/messages.js'
import { runVoteRound } from '../raft/votes.js'

function buildVoters(names: readonly string[]): MemberMap {
  return Object.fromEntries(names.map((name) => [name, { url: name, kind: 'voter' }]))
}

/** Asks as `a`; who answers is given by the address, and silence by nothing. */
async function runRoundAsA(
  answers: Readonly<Record<string, string>>,
  options: { groups: MemberMap[]; isPreVote?: boolean; knownLostVoters?: string[] },
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
  const reportedLost: string[] = []
  const outcome = await runVoteRound({
    groups: options.groups,
    knownLostVoters: options.knownLostVoters ?? [],
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
    onLostVoter: (voter) => void reportedLost.push(voter),
  })
  return { ...outcome, found: reportedLost }
}

describe('a round of votes', () => {
  const four = [buildVoters(['a', 'b', 'c', 'd'])]
  const answers = { b: 'b', c: 'c#new' }

  it('of four voters is won by half where a disk was proven lost before', async () => {
    const pre = await runRoundAsA(answers, { groups: four, isPreVote: true })
    expect(pre)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'], found: ['c'] })
    const real = await runRoundAsA(answers, { groups: four, knownLostVoters: ['c'] })
    expect(real)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'] })
  })

  it('does not count a loss that shows only while the real votes are given', async () => {
    // The voter that grants may be lost by now, to another candidate whose proof it is.
    const real = await runRoundAsA(answers, { groups: four })
    expect(real)
      .to.include({ isWon: false })
      .and.to.deep.include({ lostVoters: [], found: ['c'] })
  })

  it('must be won in each group that may decide', async () => {
    const groups = [buildVoters(['a', 'b', 'c']), buildVoters(['a', 'b', 'c', 'x'])]
    const knownLostVoters = ['c']
    expect((await runRoundAsA({ x: 'x', c: 'c#new' }, { groups, knownLostVoters })).isWon).to.equal(
      false,
    )
    expect((await runRoundAsA({ b: 'b', c: 'c#new' }, { groups, knownLostVoters })).isWon).to.equal(
      true,
    )
  })

  it('is lost where as many disks are lost as make a majority', async () => {
    const knownLostVoters = ['b', 'c', 'd']
    expect((await runRoundAsA({}, { groups: four, knownLostVoters })).isWon).to.equal(false)
    const two = [buildVoters(['a', 'b'])]
    expect((await runRoundAsA({}, { groups: two, knownLostVoters: ['b'] })).isWon).to.equal(true)
  })

  it('needs a majority of an odd group, whatever is lost', async () => {
    const five = [buildVoters(['a', 'b', 'c', 'd', 'e'])]
    const knownLostVoters = ['d', 'e']
    expect((await runRoundAsA({ b: 'b' }, { groups: five, knownLostVoters })).isWon).to.equal(false)
    expect(
      (await runRoundAsA({ b: 'b', c: 'c' }, { groups: five, knownLostVoters })).isWon,
    ).to.equal(true)
  })
})
