/** Membership of the control group according to a member's log and snapshot. */
import type { LogEntry, LogStore } from '../log/logStore.js'
import { listVoters } from './quorum.js'
import type { MemberMap } from './messages.js'

/** Log commands of the group itself, not of the state machine. */
export type GroupCommand =
  | { readonly group: 'noop' }
  | {
      readonly group: 'members'
      readonly members: MemberMap
      /** Voters of the previous group whose disks were lost; they are not asked for votes any more. */
      readonly lostVoters?: readonly string[]
    }

/** Content of a snapshot. */
export interface SavedState {
  readonly machine: unknown
  readonly members: MemberMap
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly name: string
  readonly store: LogStore
  /** Initial members of the group. */
  readonly founders: MemberMap
}

/** Current and uncommitted memberships as one member knows them. */
export interface Membership {
  members(): MemberMap
  isVoter(): boolean
  /**
   * Groups in each of which a majority must acknowledge before an entry is committed or a lease is held.
   * While a membership change is uncommitted, this includes the group before it: a leader elected by half
   * of that group (see {@link countElectionQuorum}) is then sure to find the change.
   */
  listCommitGroups(commitIndex: number): readonly MemberMap[]
  /** The same groups including the voters whose disks are lost; an election must be won in each. */
  listElectionGroups(commitIndex: number): readonly MemberMap[]
  /** Voters that the log records as lost. */
  listLostVoters(): readonly string[]
  /** Finds the members as of an index. */
  findMembersAt(index: number): MemberMap
  /**
   * Records on disk which membership change is committed, for elections after a restart; resolves once
   * it is written.
   */
  recordCommitted(commitIndex: number): Promise<void>
  /**
   * Allows this member to vote if it is a learner in the latest group. Call it only when the member holds
   * all committed entries: in an older group of the log it may have been a learner before its disk was
   * lost.
   */
  enableVoting(): Promise<void>
  /** Index of the last membership change in the log; 0 if there is none. */
  lastChangeIndex(): number
  /** Builds the first command of a new leader's term, which removes the voters whose disks were lost. */
  buildFirstCommand(lostVoters: readonly string[]): GroupCommand
  /** Handles an appended entry: a membership change applies from its entry on, committed or not. */
  observe(entry: LogEntry): void
  /** Rebuilds the membership from snapshot and log after entries were removed or replaced. */
  reload(): void
}

/** Whether a command is one of the group itself, not one for the state machine. */
export function isGroupCommand(command: unknown): command is GroupCommand {
  return typeof command === 'object' && command !== null && 'group' in command
}

function listWithout(members: MemberMap, names: readonly string[]): MemberMap {
  return Object.fromEntries(Object.entries(members).filter(([name]) => !names.includes(name)))
}

/** A membership and the index from which it applies. */
interface GroupVersion {
  readonly index: number
  readonly members: MemberMap
  /** Voters of earlier groups whose disks were lost. */
  readonly lostVoters: readonly string[]
}

/** Creates the membership; call {@link Membership.reload} once the stored vote state is final. */
export function createMembership(options: MembershipOptions): Membership {
  const { name, store } = options
  /** The memberships in the log, oldest first. */
  let groups: GroupVersion[] = [{ index: 0, members: {}, lostVoters: [] }]
  /** Index of the last membership change that must be committed because a later one was started. */
  let impliedCommittedIndex = 0

  const latest = () => groups[groups.length - 1]
  const members = () => latest().members
  const lastChangeIndex = () => (groups.length > 1 ? latest().index : 0)
  const listPossibleGroups = (commitIndex: number) => {
    const committedIndex = Math.max(
      commitIndex,
      impliedCommittedIndex,
      store.voteState().settledChange ?? 0,
    )
    const first = groups.findLastIndex(({ index }) => index <= committedIndex)
    // An instance that joined later does not know the group before the first change in its log.
    return groups.slice(Math.max(first, 0)).filter(({ members }) => listVoters(members).length > 0)
  }
  const observe = ({ command, index }: LogEntry) => {
    if (!isGroupCommand(command) || command.group !== 'members') return
    // A change starts only after the previous one is committed, except when it removes lost voters.
    if (!command.lostVoters) impliedCommittedIndex = lastChangeIndex()
    groups.push({ index, members: command.members, lostVoters: command.lostVoters ?? [] })
  }
  return {
    members,
    isVoter: () => members()[name]?.kind === 'voter',
    listCommitGroups: (commitIndex) => {
      const possible = listPossibleGroups(commitIndex)
      return possible.map(({ members }, position) => {
        const later = possible.slice(position + 1)
        return listWithout(
          members,
          later.flatMap(({ lostVoters }) => lostVoters),
        )
      })
    },
    listElectionGroups: (commitIndex) =>
      listPossibleGroups(commitIndex).map(({ members }) => members),
    listLostVoters: () => groups.flatMap(({ lostVoters }) => lostVoters),
    findMembersAt: (index) =>
      (groups.findLast(({ index: at }) => at <= index) ?? groups[0]).members,
    recordCommitted: async (commitIndex) => {
      const committedChange = groups.findLast(({ index }) => index <= commitIndex)?.index ?? 0
      if (committedChange <= (store.voteState().settledChange ?? 0)) return
      await store.saveVoteState({ ...store.voteState(), settledChange: committedChange })
    },
    enableVoting: async () => {
      if (members()[name]?.kind !== 'learner' || store.voteState().mayVote) return
      await store.saveVoteState({ ...store.voteState(), mayVote: true })
    },
    lastChangeIndex,
    buildFirstCommand: (lostVoters) => {
      const hasNoStoredGroup = lastChangeIndex() === 0 && !store.snapshot()
      if (!hasNoStoredGroup && lostVoters.length === 0) return { group: 'noop' }
      return { group: 'members', members: listWithout(members(), lostVoters), lostVoters }
    },
    observe,
    reload: () => {
      const saved = store.snapshot()?.state as SavedState | undefined
      const founders = store.voteState().mayVote ? options.founders : {}
      groups = [{ index: store.baseIndex(), members: saved?.members ?? founders, lostVoters: [] }]
      impliedCommittedIndex = 0
      for (const entry of store.listEntries(store.baseIndex() + 1, Infinity)) observe(entry)
    },
  }
}
