/** Asking the members for their votes. */
import type { LeaseHolder } from '../log/logStore.js'
import { isMajority, listOthers } from './group.js'
import type { EndedTerms, MemberMap, RaftTransport, VoteReply, VoteRequest } from './messages.js'

/** Options of {@link askMembersForVotes}. */
export interface VoteOptions {
  readonly members: MemberMap
  readonly transport: RaftTransport
  readonly request: VoteRequest
  /** What the candidate itself answers to the request. */
  readonly own: VoteReply
  /** Called with the term of each reply, before the vote is counted. */
  readonly onHigherTerm: (term: number) => Promise<void>
}

/** How a round of votes ended. */
export interface VoteOutcome {
  readonly isWon: boolean
  /** What the members answered, for the real vote that follows a pre-vote. */
  readonly endedTerms: EndedTerms
}

/** Whether a leader said that it does not lead the term any more, so that its lease is over. */
export function isLeaseEnded(holder: LeaseHolder, endedTerms: EndedTerms): boolean {
  return (endedTerms[holder.name] ?? -Infinity) >= holder.term
}

/**
 * Asks all other members at once; won as soon as a majority, with the candidate in it, has granted
 * its vote. In a pre-vote, a member that only waits for a lease counts once its holder has answered
 * that the lease is over: the real vote tells the member so.
 */
export function askMembersForVotes(options: VoteOptions): Promise<VoteOutcome> {
  const { members, transport, request, own, onHigherTerm } = options
  const replies = new Map([[request.candidate, own]])
  const endedTerms: Record<string, number> = {
    ...request.endedTerms,
    [request.candidate]: own.endedTerm,
  }
  const isGranting = ({ isGranted, heldBackBy }: VoteReply) =>
    isGranted ||
    (request.isPreVote && heldBackBy !== undefined && isLeaseEnded(heldBackBy, endedTerms))
  const isWon = () => {
    const granting = [...replies].filter(([, reply]) => isGranting(reply)).map(([name]) => name)
    return granting.includes(request.candidate) && isMajority(members, new Set(granting))
  }
  return new Promise((resolve) => {
    if (isWon()) return resolve({ isWon: true, endedTerms })
    const asked = listOthers(members, request.candidate).map(async ([other, { url }]) => {
      const reply = await transport.send(other, url, 'vote', request)
      await onHigherTerm(reply.term)
      replies.set(other, reply)
      endedTerms[other] = reply.endedTerm
      if (isWon()) resolve({ isWon: true, endedTerms })
    })
    void Promise.allSettled(asked).then(() => resolve({ isWon: false, endedTerms }))
  })
}
