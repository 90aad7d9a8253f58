import { createLogger, createQuietLogger } from '@spoolgate/core'
import { expect } from 'chai'
import { openLogStore, type LogStore } from '../log/logStore.js'
import { createAppliedLog, type AppliedLog } from '../raft/appliedLog.js'
import { createMembership, type Membership, type SavedState } from '../raft/membership.js'
import type { MemberMap } from '../raft/messages.js'
import { createProposals } from '../raft/proposals.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { createMemoryFolder } from './memoryFolder.js'

const SNAPSHOT_EVERY = 4

function buildVoters(names: readonly string[]): MemberMap {
  return Object.fromEntries(names.map((name) => [name, { url: name, kind: 'voter' }]))
}

describe('the snapshot of the applied log', () => {
  const founders = buildVoters(['a', 'b', 'c'])
  const grown = buildVoters(['a', 'b', 'c', 'd'])
  const logger = createQuietLogger()
  let store: LogStore
  let membership: Membership
  let applied: AppliedLog
  let written: () => void

  const append = async (command: unknown) => {
    const entry = { index: store.lastIndex() + 1, term: 1, command }
    membership.observe(entry)
    await store.append([entry])
  }
  /** Waits until the next snapshot is logged. */
  const waitForSnapshot = () => new Promise<void>((resolve) => (written = resolve))

  beforeEach(async () => {
    written = () => {}
    store = await openLogStore({ folder: createMemoryFolder(), logger, onFailure: () => {} })
    await store.saveVoteState({ term: 1, votedFor: 'a', mayVote: true })
    membership = createMembership({ name: 'a', store, founders })
    applied = createAppliedLog({
      store,
      machine: createControlStateMachine(),
      membership,
      proposals: createProposals(),
      logger: createLogger({ write: (line) => line.includes('raft.compacted') && written() }),
      snapshotEvery: SNAPSHOT_EVERY,
    })
  })
  afterEach(() => store.close())

  it('contains the group as of its last entry, without a later uncommitted change', async () => {
    for (let index = 0; index < SNAPSHOT_EVERY; index += 1) await append({ group: 'noop' })
    await append({ group: 'members', members: grown })
    const saved = waitForSnapshot()
    void applied.advance(SNAPSHOT_EVERY)
    await saved
    expect((store.snapshot()?.state as SavedState).members).to.deep.equal(founders)
    // After a reload from disk, commits still need a majority of both groups.
    membership.reload()
    expect(membership.listCommitGroups(SNAPSHOT_EVERY)).to.deep.include.members([founders, grown])
  })

  it('is taken when few entries have filled the log', async () => {
    const command = { group: 'noop', text: 'x'.repeat(3 * 1024 * 1024) }
    for (let index = 0; index < 3; index += 1) await append(command)
    const saved = waitForSnapshot()
    void applied.advance(2)
    await saved
    expect(store.baseIndex()).to.equal(2)
    expect(store.addedBytes()).to.equal(0)
    await append({ group: 'noop' })
    void applied.advance(4)
    expect(store.baseIndex()).to.equal(2)
  })
})
