import { ConnectionError } from '@spoolgate/core'
import { expect } from 'chai'
import type { MemberMap, RaftTransport, VoteReply } from '../raft/messages.js'
import { runVoteRound } from '../raft/votes.js'

function buildVoters(names: readonly string[]): MemberMap {
  return Object.fromEntries(names.map((name) => [name, { url: name, kind: 'voter' }]))
}

/** Runs a vote round as candidate `a`. `answers` has the replying name by address; others do not reply. */
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

describe('vote round', () => {
  const four = [buildVoters(['a', 'b', 'c', 'd'])]
  const answers = { b: 'b', c: 'c#new' }

  it('is won by two of four voters if a lost disk was proven before the real vote', async () => {
    const pre = await runRoundAsA(answers, { groups: four, isPreVote: true })
    expect(pre)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'], found: ['c'] })
    const real = await runRoundAsA(answers, { groups: four, knownLostVoters: ['c'] })
    expect(real)
      .to.include({ isWon: true })
      .and.to.deep.include({ lostVoters: ['c'] })
  })

  it('does not count a loss that is found only during the real vote', async () => {
    // Another candidate may have found the granting voter lost and won the same term without it.
    const real = await runRoundAsA(answers, { groups: four })
    expect(real)
      .to.include({ isWon: false })
      .and.to.deep.include({ lostVoters: [], found: ['c'] })
  })

  it('must be won in each group that may be committed', async () => {
    const groups = [buildVoters(['a', 'b', 'c']), buildVoters(['a', 'b', 'c', 'x'])]
    const knownLostVoters = ['c']
    expect((await runRoundAsA({ x: 'x', c: 'c#new' }, { groups, knownLostVoters })).isWon).to.equal(
      false,
    )
    expect((await runRoundAsA({ b: 'b', c: 'c#new' }, { groups, knownLostVoters })).isWon).to.equal(
      true,
    )
  })

  it('is not won if a majority of the disks is lost', async () => {
    const knownLostVoters = ['b', 'c', 'd']
    expect((await runRoundAsA({}, { groups: four, knownLostVoters })).isWon).to.equal(false)
    const two = [buildVoters(['a', 'b'])]
    expect((await runRoundAsA({}, { groups: two, knownLostVoters: ['b'] })).isWon).to.equal(true)
  })

  it('needs a majority of an odd group, whichever disks are lost', async () => {
    const five = [buildVoters(['a', 'b', 'c', 'd', 'e'])]
    const knownLostVoters = ['d', 'e']
    expect((await runRoundAsA({ b: 'b' }, { groups: five, knownLostVoters })).isWon).to.equal(false)
    expect(
      (await runRoundAsA({ b: 'b', c: 'c' }, { groups: five, knownLostVoters })).isWon,
    ).to.equal(true)
  })
})
