/** Who belongs to the control group, as a member's log and snapshot say it. */
import type { LogEntry, LogStore } from '../log/logStore.js'
import { listVoters } from './group.js'
import type { MemberMap } from './messages.js'

/** Entries that the group itself appends. */
export type GroupCommand =
  | { readonly group: 'noop' }
  | {
      readonly group: 'members'
      readonly members: MemberMap
      /** Voters of the group before whose disks were lost; they are not asked any more. */
      readonly lostVoters?: readonly string[]
    }

/** What a snapshot holds. */
export interface SavedState {
  readonly machine: unknown
  readonly members: MemberMap
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  readonly name: string
  readonly store: LogStore
  /** Group as it was founded. */
  readonly founders: MemberMap
}

/** The group as one member knows it. */
export interface Membership {
  members(): MemberMap
  isVoter(): boolean
  /**
   * Groups of which each must hold a majority before an entry counts as committed or a lease as held.
   * While a change of the group is in progress that is the one before as well: whoever is elected by
   * half of it (see {@link countElectionQuorum}) then finds the change.
   */
  listCommitGroups(commitIndex: number): readonly MemberMap[]
  /** The same groups with the voters whose disks are lost; an election must be won in each. */
  listElectionGroups(commitIndex: number): readonly MemberMap[]
  /** Voters that the log names as lost. */
  listLostVoters(): readonly string[]
  /** Finds the group that was in force at an index. */
  findMembersAt(index: number): MemberMap
  /**
   * Notes that the log is committed up to an index, for elections after a restart; resolves once that
   * is on the disk.
   */
  recordCommitted(commitIndex: number): Promise<void>
  /**
   * Lets this member vote where the newest group has it as a learner. Only for a member that holds all
   * that was committed: an older group in the log may have had it as a learner before its disk was
   * emptied.
   */
  enableVoting(): Promise<void>
  /** Index of the entry that last changed the group; 0 when the log holds none. */
  lastChangeIndex(): number
  /** Builds the first entry of a leader that was elected without the voters whose disks were lost. */
  buildFirstCommand(lostVoters: readonly string[]): GroupCommand
  /** Notes an entry that was appended: changes of the group count from then on. */
  observe(entry: LogEntry): void
  /** Reads snapshot and log again, after entries were removed or replaced. */
  reload(): void
}

/** Whether a command is one of the group itself, not one for the machine. */
export function isGroupCommand(command: unknown): command is GroupCommand {
  return typeof command === 'object' && command !== null && 'group' in command
}

function listWithout(members: MemberMap, names: readonly string[]): MemberMap {
  return Object.fromEntries(Object.entries(members).filter(([name]) => !names.includes(name)))
}

/** A group with the index from which on it counts. */
interface GroupVersion {
  readonly index: number
  readonly members: MemberMap
  /** Voters of the groups before whose disks were lost. */
  readonly lostVoters: readonly string[]
}

/** Creates the membership; {@link Membership.reload} must follow once the vote is settled. */
export function createMembership(options: MembershipOptions): Membership {
  const { name, store } = options
  /** The groups that the log holds, oldest first. */
  let groups: GroupVersion[] = [{ index: 0, members: {}, lostVoters: [] }]
  /** Index of the last change that a later one proves to be committed. */
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
    // An instance that was taken in does not know the group before the first change in its log.
    return groups.slice(Math.max(first, 0)).filter(({ members }) => listVoters(members).length > 0)
  }
  const observe = ({ command, index }: LogEntry) => {
    if (!isGroupCommand(command) || command.group !== 'members') return
    // A change is begun only once the one before is committed, but where disks were lost.
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
