/** Asking the other members for their votes. */
import { isMajority, listOthers } from './group.js'
import type { MemberMap, RaftTransport, VoteRequest } from './messages.js'

/** Options of {@link askMembersForVotes}. */
export interface VoteOptions {
  readonly members: MemberMap
  readonly transport: RaftTransport
  readonly request: VoteRequest
  /** Called with the term of each reply, before the vote is counted. */
  readonly onHigherTerm: (term: number) => Promise<void>
}

/** Asks all other members at once; true as soon as a majority has granted its vote. */
export function askMembersForVotes(options: VoteOptions): Promise<boolean> {
  const { members, transport, request, onHigherTerm } = options
  const granted = new Set([request.candidate])
  return new Promise((resolve) => {
    if (isMajority(members, granted)) return resolve(true)
    const asked = listOthers(members, request.candidate).map(async ([other, info]) => {
      const reply = await transport.send(other, info.url, 'vote', request)
      await onHigherTerm(reply.term)
      if (reply.isGranted && info.kind === 'voter') granted.add(other)
      if (isMajority(members, granted)) resolve(true)
    })
    void Promise.allSettled(asked).then(() => resolve(false))
  })
}
