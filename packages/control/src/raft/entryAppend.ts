/** Appends the entries that a leader sends to the log of a follower, in place of those that differ. */
import type { Invariants } from '@spoolgate/core'
import type { LogEntry, LogStore } from '../log/logStore.js'
import type { Membership } from './membership.js'

/** Options of {@link createEntryAppend}. */
export interface EntryAppendOptions {
  readonly store: LogStore
  readonly membership: Pick<Membership, 'observe' | 'reload'>
  readonly invariants: Invariants
  readonly commitIndex: () => number
}

/** Appends entries of a leader; resolves once they are on disk. */
export type EntryAppend = (entries: readonly LogEntry[]) => Promise<void>

/** Creates the append of one follower. */
export function createEntryAppend(options: EntryAppendOptions): EntryAppend {
  const { store, membership, invariants, commitIndex } = options
  const isStored = (entry: LogEntry) =>
    entry.index <= store.baseIndex() || store.findTerm(entry.index) === entry.term
  return async (entries) => {
    const added = entries.filter((entry) => !isStored(entry))
    if (added.length === 0) return
    if (added[0].index <= store.lastIndex()) {
      invariants.assert('logKeepsCommitted', added[0].index > commitIndex(), () => ({
        from: added[0].index,
        commitIndex: commitIndex(),
      }))
      void store.truncate(added[0].index)
      membership.reload()
    }
    added.forEach(membership.observe)
    await store.append(added)
  }
}
