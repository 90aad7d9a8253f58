/** Who belongs to the control group, as a member's log and snapshot say it. */
import type { LogEntry, LogStore } from '../log/logStore.js'
import type { MemberMap } from './messages.js'

/** Entries that the group itself appends. */
export type GroupCommand =
  { readonly group: 'noop' } | { readonly group: 'members'; readonly members: MemberMap }

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
  /** Index of the entry that last changed the group; 0 when the log holds none. */
  changedAt(): number
  /** Notes an entry that was appended: changes of the group count from then on. */
  observe(entry: LogEntry): void
  /** Reads snapshot and log again, after entries were removed or replaced. */
  reload(): void
}

/** Whether a command is one of the group itself, not one for the machine. */
export function isGroupCommand(command: unknown): command is GroupCommand {
  return typeof command === 'object' && command !== null && 'group' in command
}

/** Creates the membership; {@link Membership.reload} must follow once the vote is settled. */
export function createMembership(options: MembershipOptions): Membership {
  const { name, store } = options
  let members: MemberMap = {}
  let changedAt = 0

  const observe = ({ command, index }: LogEntry) => {
    if (!isGroupCommand(command) || command.group !== 'members') return
    members = command.members
    changedAt = index
    const isTakenIn = members[name]?.kind === 'learner' && !store.ballot().mayVote
    if (isTakenIn) void store.saveBallot({ ...store.ballot(), mayVote: true })
  }
  return {
    members: () => members,
    isVoter: () => members[name]?.kind === 'voter',
    changedAt: () => changedAt,
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
