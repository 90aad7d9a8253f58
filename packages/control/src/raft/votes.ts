/** Asking the members for their votes. */
import { toSpoolgateError } from '@spoolgate/core'
import type { LeaseHolder } from '../log/logStore.js'
import { countElectionQuorum, countMajority, listOthers, listVoters } from './group.js'
import type { EndedTerms, MemberMap, RaftTransport, VoteReply, VoteRequest } from './messages.js'

/** Options of {@link runVoteRound}. */
export interface VoteRoundOptions {
  /** Groups that must each elect, the newest last: those whose changes may not be committed. */
  readonly groups: readonly MemberMap[]
  /** Voters whose disks were proven lost before this round. */
  readonly knownLostVoters: readonly string[]
  readonly transport: RaftTransport
  readonly request: VoteRequest
  /** What the candidate itself answers to the request. */
  readonly ownReply: VoteReply
  /** Called with the term of each reply, before the vote is counted. */
  readonly onReplyTerm: (term: number) => Promise<void>
  /** Called with each reply that comes under another name than that of the member at the address. */
  readonly onLostVoter: (voter: string, url: string, found: string) => void
}

/** How a round of votes ended. */
export interface VoteOutcome {
  readonly isWon: boolean
  /** What the members answered, for the real vote that follows a pre-vote. */
  readonly endedTerms: EndedTerms
  /** Voters whose disks are lost, where the vote was won by fewer than a majority. */
  readonly lostVoters: readonly string[]
  /** By member: `granted`, why not, `lost`, or `silent` with the reason. */
  readonly answers: Readonly<Record<string, string>>
}

/** Ended term of a member whose disk is lost: its process is gone, and nobody has its name any more. */
const ALL_TERMS = Number.MAX_SAFE_INTEGER

/** Characters of a failure that are reported: enough for its cause. */
const MAX_FAILURE_CHARS = 80

/** Whether a leader said that it does not lead the term any more, so that its lease is over. */
export function isLeaseEnded(holder: LeaseHolder, endedTerms: EndedTerms): boolean {
  return (endedTerms[holder.name] ?? -Infinity) >= holder.term
}

/**
 * Asks all other members at once; won as soon as a majority, with the candidate in it, has granted
 * its vote. In a pre-vote, a member that only waits for a lease counts once its holder has answered
 * that the lease is over: the real vote informs the member.
 *
 * Four voters bear the loss of two, though two are no majority: an instance that answers under another
 * name than the voter at its address has lost the disk of that voter, which can neither vote nor
 * acknowledge anything ever again. Where a disk is proven lost, half of an even group may elect (see
 * {@link countElectionQuorum}). The proofs come before the votes that rest on them: a loss that shows in a real
 * vote counts in the next round only, so that two such elections of one term always share a voter.
 */
export function runVoteRound(options: VoteRoundOptions): Promise<VoteOutcome> {
  const { groups, transport, request, ownReply, onReplyTerm, onLostVoter } = options
  const members: MemberMap = Object.assign({}, ...groups)
  const replies = new Map([[request.candidate, ownReply]])
  const failures = new Map<string, string>()
  const endedTerms: Record<string, number> = {
    ...request.endedTerms,
    [request.candidate]: ownReply.endedTerm,
  }
  const isGranting = ({ isGranted, heldBackBy }: VoteReply) =>
    isGranted ||
    (request.isPreVote && heldBackBy !== undefined && isLeaseEnded(heldBackBy, endedTerms))
  const describeAnswer = (name: string) => {
    const reply = replies.get(name)
    if (options.knownLostVoters.includes(name)) return 'lost'
    if (!reply) return `silent: ${failures.get(name) ?? 'no answer yet'}`
    if (reply.voter !== name) return 'lost'
    if (isGranting(reply)) return 'granted'
    const { heldBackBy, refusal = 'refused' } = reply
    return heldBackBy ? `${refusal} by ${heldBackBy.name} of term ${heldBackBy.term}` : refusal
  }
  const buildAnswers = () =>
    Object.fromEntries(Object.keys(members).map((name) => [name, describeAnswer(name)]))
  const buildWonOutcome = (lostVoters: readonly string[]): VoteOutcome => ({
    isWon: true,
    endedTerms,
    lostVoters,
    answers: buildAnswers(),
  })
  // A member that answers at the address of another one has moved; it says nothing of that one's disk.
  const isLostDiskProof = (name: string, { voter }: VoteReply) =>
    voter !== name && (members[voter] === undefined || members[voter].url === members[name].url)
  const listLost = () => {
    const found = [...replies]
      .filter(([name, reply]) => isLostDiskProof(name, reply))
      .map(([name]) => name)
    return new Set([...options.knownLostVoters, ...(request.isPreVote ? found : [])])
  }
  const findOutcome = (): VoteOutcome | undefined => {
    const memberReplies = [...replies].filter(([name, { voter }]) => voter === name)
    const granting = new Set(
      memberReplies.filter(([, reply]) => isGranting(reply)).map(([name]) => name),
    )
    if (!granting.has(request.candidate)) return undefined
    const lost = listLost()
    const countGranting = (group: MemberMap) =>
      listVoters(group).filter((name) => granting.has(name) && !lost.has(name)).length
    if (!groups.every((group) => countGranting(group) >= countElectionQuorum(group, lost)))
      return undefined
    const isByMajority = groups.every((group) => countGranting(group) >= countMajority(group))
    const votersOfAny = new Set(groups.flatMap(listVoters))
    return buildWonOutcome(isByMajority ? [] : [...votersOfAny].filter((name) => lost.has(name)))
  }
  const sendTo = async (other: string, url: string): Promise<VoteReply | undefined> => {
    try {
      return await transport.send(other, url, 'vote', request)
    } catch (cause) {
      failures.set(other, toSpoolgateError(cause).message.slice(0, MAX_FAILURE_CHARS))
      return undefined
    }
  }
  return new Promise((resolve) => {
    const settle = () => {
      const outcome = findOutcome()
      if (outcome) resolve(outcome)
    }
    settle()
    const requests = listOthers(members, request.candidate).map(async ([other, { url }]) => {
      const reply = await sendTo(other, url)
      if (!reply) return
      await onReplyTerm(reply.term)
      replies.set(other, reply)
      endedTerms[reply.voter] = reply.endedTerm
      if (isLostDiskProof(other, reply)) {
        endedTerms[other] = ALL_TERMS
        onLostVoter(other, url, reply.voter)
      }
      settle()
    })
    const resolveLost = () =>
      resolve({ isWon: false, endedTerms, lostVoters: [], answers: buildAnswers() })
    void Promise.allSettled(requests).then(resolveLost)
  })
}
