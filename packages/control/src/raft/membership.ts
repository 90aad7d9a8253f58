/** Who belongs to the control group, as a member's log and snapshot say it. */
import type { LogEntry, LogStore } from '../log/logStore.js'
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
   * Groups of which each must hold a majority before an entry counts as committed. While a change of
   * the group is under way that is the one before as well: whoever elects by all that are left of it
   * (see {@link askMembersForVotes}) then finds the change.
   */
  listDeciding(commitIndex: number): readonly MemberMap[]
  /** Index of the entry that last changed the group; 0 when the log holds none. */
  changedAt(): number
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

/** Creates the membership; {@link Membership.reload} must follow once the vote is settled. */
export function createMembership(options: MembershipOptions): Membership {
  const { name, store } = options
  let members: MemberMap = {}
  let previous: MemberMap = {}
  let changedAt = 0

  const observe = ({ command, index }: LogEntry) => {
    if (!isGroupCommand(command) || command.group !== 'members') return
    const lost = command.lostVoters ?? []
    previous = Object.fromEntries(
      Object.entries(members).filter(([other]) => !lost.includes(other)),
    )
    members = command.members
    changedAt = index
    const isTakenIn = members[name]?.kind === 'learner' && !store.ballot().mayVote
    if (isTakenIn) void store.saveBallot({ ...store.ballot(), mayVote: true })
  }
  return {
    members: () => members,
    isVoter: () => members[name]?.kind === 'voter',
    listDeciding: (commitIndex) => (changedAt > commitIndex ? [members, previous] : [members]),
    changedAt: () => changedAt,
    buildFirstCommand: (lostVoters) => {
      const isUnnamed = changedAt === 0 && !store.snapshot()
      if (!isUnnamed && lostVoters.length === 0) return { group: 'noop' }
      return { group: 'members', members: listWithout(members, lostVoters), lostVoters }
    },
    observe,
    reload: () => {
      const saved = store.snapshot()?.state as SavedState | undefined
      const founders = store.ballot().mayVote ? options.founders : {}
      members = saved?.members ?? founders
      changedAt = 0
      for (const entry of store.list(store.baseIndex() + 1, Infinity)) observe(entry)
    },
  }
}
