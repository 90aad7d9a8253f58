/** Applies the committed part of a member's log to the state machine and compacts it. */
import type { Logger } from '@spoolgate/core'
import type { LogStore, Snapshot } from '../log/logStore.js'
import { isGroupCommand, type Membership, type SavedState } from './membership.js'
import type { Proposals } from './proposals.js'
import type { StateMachine } from './types.js'

/** Options of {@link createAppliedLog}. */
export interface AppliedLogOptions {
  readonly store: LogStore
  readonly machine: StateMachine
  readonly membership: Membership
  readonly proposals: Proposals
  readonly logger: Logger
  /** Number of log entries between snapshots. */
  readonly snapshotEvery: number
}

/** See {@link createAppliedLog}. */
export interface AppliedLog {
  commitIndex(): number
  /** Term of the last applied entry. */
  appliedTerm(): number | undefined
  /**
   * Advances the commit index and applies the entries up to it. Resolves once the membership change that
   * this commits is recorded on disk.
   */
  advance(next: number): Promise<void>
  /** Replaces state and log up to the index of a snapshot by the snapshot. */
  install(snapshot: Snapshot): Promise<void>
}

/** Size of the log from which it is compacted before it has `snapshotEvery` entries, in bytes: an eighth of a small disk. */
const MAX_LOG_BYTES = 8 * 1024 * 1024

/** Creates the applied log and restores state machine and membership from the stored snapshot, if any. */
export function createAppliedLog(options: AppliedLogOptions): AppliedLog {
  const { store, machine, membership, proposals, logger } = options
  let commitIndex = store.baseIndex()
  let appliedIndex = store.baseIndex()
  let isCompacting = false

  const restoreSnapshot = () => {
    const saved = store.snapshot()?.state as SavedState | undefined
    if (saved) machine.load(saved.machine)
    membership.reload()
  }
  const compactIfDue = async () => {
    const added = appliedIndex - store.baseIndex()
    const isDue = added >= options.snapshotEvery || store.addedBytes() >= MAX_LOG_BYTES
    if (isCompacting || added === 0 || !isDue) return
    isCompacting = true
    const state: SavedState = {
      machine: machine.save(),
      members: membership.findMembersAt(appliedIndex),
    }
    const snapshot = { index: appliedIndex, term: store.findTerm(appliedIndex) ?? 0, state }
    await store.compact(snapshot)
    logger.info('raft.compacted', { index: store.baseIndex() })
    isCompacting = false
  }
  const applyCommitted = () => {
    while (appliedIndex < commitIndex) {
      const [entry] = store.listEntries(appliedIndex + 1, 1)
      if (!entry) return
      appliedIndex = entry.index
      const result = isGroupCommand(entry.command)
        ? undefined
        : machine.apply(entry.command, entry.index)
      proposals.finish(entry, result)
    }
    void compactIfDue()
  }
  restoreSnapshot()
  return {
    commitIndex: () => commitIndex,
    appliedTerm: () => store.findTerm(appliedIndex),
    advance: async (next) => {
      if (next <= commitIndex) return
      commitIndex = next
      const groupSaved = membership.recordCommitted(commitIndex)
      applyCommitted()
      await groupSaved
    },
    install: async (snapshot) => {
      if (snapshot.index <= commitIndex) return
      await store.compact(snapshot)
      restoreSnapshot()
      commitIndex = snapshot.index
      appliedIndex = snapshot.index
    },
  }
}
