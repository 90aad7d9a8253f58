/** Vote rounds: requests votes or pre-votes from all members and counts the replies. */
import { toSpoolgateError } from '@spoolgate/core'
import type { LeaseHolder } from '../log/logStore.js'
import { findDeadlock, type ElectionDeadlock } from './electionDeadlock.js'
import { countElectionQuorum, countMajority, listOthers, listVoters } from './quorum.js'
import type { EndedTerms, MemberMap, RaftTransport, VoteReply, VoteRequest } from './messages.js'

/** Options of {@link runVoteRound}. */
export interface VoteRoundOptions {
  /** Groups in each of which the election must be won, newest last; all but the first may be uncommitted. */
  readonly groups: readonly MemberMap[]
  /** Voters whose disks were known to be lost before this round. */
  readonly knownLostVoters: readonly string[]
  readonly transport: RaftTransport
  readonly request: VoteRequest
  /** The candidate's own reply to the request. */
  readonly ownReply: VoteReply
  /** Called with the term of each reply, before the vote is counted. */
  readonly onReplyTerm: (term: number) => Promise<void>
  /** Called for each reply that proves that the disk of a voter was lost. */
  readonly onLostVoter: (voter: string, url: string, found: string) => void
}

/** Result of a vote round. */
export interface VoteOutcome {
  readonly isWon: boolean
  /** Ended terms from the replies, for the real vote that follows a pre-vote. */
  readonly endedTerms: EndedTerms
  /** Voters whose disks are lost, if the vote was won with fewer than a majority. */
  readonly lostVoters: readonly string[]
  /** By member: `granted`, the refusal, `lost`, or `silent` with the reason. */
  readonly answers: Readonly<Record<string, string>>
  /** Why no election can succeed; undefined unless that is certain. */
  readonly deadlock?: ElectionDeadlock
}

/** Ended term of a member whose disk is lost: its process ended, and no instance uses its name again. */
const ALL_TERMS = Number.MAX_SAFE_INTEGER

/** Maximum length of a reported error message. */
const MAX_FAILURE_CHARS = 80

/** Whether a leader reported that it no longer leads the term, which ends its lease. */
export function isLeaseEnded(holder: LeaseHolder, endedTerms: EndedTerms): boolean {
  return (endedTerms[holder.name] ?? -Infinity) >= holder.term
}

/**
 * Asks all other members in parallel. The round is won as soon as a majority including the candidate has
 * granted its vote. In a pre-vote, a member that refused only because of a lease counts as granting once
 * the lease holder has replied that the lease ended: the real vote passes this on to the member.
 *
 * A reply under another name than that of the voter at the address proves that the voter's disk is lost:
 * the voter can neither vote nor acknowledge anything any more. With a proven loss, half of an even group
 * can elect a leader (see {@link countElectionQuorum}), so four voters tolerate two lost disks although two
 * are not a majority. The proof must precede the real vote: a loss found during one counts only in the next
 * round, so that two such elections of the same term always share a voter.
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
  // A member that replies at another member's address has moved; this proves nothing about that disk.
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
    const resolveLost = () => {
      const { candidate } = request
      const deadlock = findDeadlock({ groups, lost: listLost(), replies, candidate })
      resolve({ isWon: false, endedTerms, lostVoters: [], answers: buildAnswers(), deadlock })
    }
    void Promise.allSettled(requests).then(resolveLost)
  })
}
