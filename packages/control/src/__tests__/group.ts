/** A control group in memory whose links can be cut, for tests of elections and leases. */
import {
  ConnectionError,
  createInvariants,
  createManualTimerService,
  createLogger,
  createRandomSource,
  type ManualTimerService,
} from '@spoolgate/core'
import { openLogStore } from '../log/logStore.js'
import { createRaftMember } from '../raft/member.js'
import type { RaftMember } from '../raft/types.js'
import type { MemberMap, RaftTransport, VoteRequest } from '../raft/messages.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { createMemoryFolder, type MemoryFolder } from './memoryFolder.js'

/** One member with its disk. */
export interface TestMember {
  readonly name: string
  /** Where it is reached; links are cut between addresses. */
  readonly url: string
  member: RaftMember
  machine: ControlStateMachine
  folder: MemoryFolder
  /** Whether its clock moves; a frozen process neither sends nor answers. */
  timers: ManualTimerService
}

/** A group of members. */
export interface TestGroup {
  readonly members: Map<string, TestMember>
  /** Links that are cut, as `from>to`. */
  readonly cutLinks: Set<string>
  readonly frozenMembers: Set<string>
  /** Bytes that a link carries within the time limit of a message; larger ones never arrive. */
  maxMessageBytes: number
  /** What the members have logged. */
  readonly logLines: readonly string[]
  isolate(name: string): void
  heal(): void
  /** Moves time forward until the condition holds. */
  runUntil(condition: () => boolean, what: string): Promise<void>
  /** Moves time forward. */
  run(duration: number): Promise<void>
  leader(): TestMember | undefined
  /** Waits for a leader, or for another one. */
  waitForLeader(other?: string): Promise<TestMember>
  /** Proposes a command and moves time forward until it is known what became of it. */
  propose(leader: TestMember, command: unknown): Promise<unknown>
  /** Members that hold a lease. */
  countLeases(): number
  /** Stops members and starts them again on their disks. */
  restart(names: readonly string[], startedAt: number): Promise<void>
  /**
   * Cuts the power of members at one moment: what they had not synced may be gone. Returns their
   * disks, from which {@link TestGroup.start} starts them again.
   */
  losePower(names: readonly string[]): Promise<Map<string, MemoryFolder>>
  /** Stops members for good; an instance with an empty disk and a new name comes to each address. */
  loseDisks(names: readonly string[]): Promise<void>
  start(
    name: string,
    options?: { folder?: MemoryFolder; isFounding?: boolean; startedAt?: number; url?: string },
  ): Promise<TestMember>
  close(): Promise<void>
}

export const ELECTION_MS = 100

/** Builds what a candidate outside of the group asks, whose log is up to date. */
export function buildPreVote(term: number, lastIndex: number): VoteRequest {
  return { isPreVote: true, term, candidate: 'z', lastIndex, lastTerm: term, endedTerms: {} }
}

const STEP_MS = 5
const MAX_STEPS = 4_000

const flushCallbacks = () => new Promise((resolve) => setImmediate(resolve))

/** Creates a group and starts its founders. */
export async function createTestGroup(
  names: readonly string[],
  seed = 1,
  snapshotEvery = 1_000,
): Promise<TestGroup> {
  const members = new Map<string, TestMember>()
  const cutLinks = new Set<string>()
  const frozenMembers = new Set<string>()
  const founders: MemberMap = Object.fromEntries(
    names.map((name) => [name, { url: name, kind: 'voter' }]),
  )
  const powerLossRandom = createRandomSource(seed)
  const logLines: string[] = []
  const write = (line: string) => void logLines.push(line)
  const findRunningAt = (url: string) =>
    [...members.values()].find((other) => other.url === url && !frozenMembers.has(other.name))

  const createTransport = (from: string, fromUrl: string): RaftTransport => ({
    send: async (to, url, name, request) => {
      const fail = () => new ConnectionError('link is cut', true, false)
      const target = findRunningAt(url)
      if (cutLinks.has(`${fromUrl}>${url}`) || !target || frozenMembers.has(from)) throw fail()
      // As the route of these messages does: only votes are answered under another name.
      if (name !== 'vote' && target.name !== to) throw fail()
      // Messages travel as text, so that nobody shares what another still changes.
      const text = JSON.stringify(request)
      if (text.length > group.maxMessageBytes) throw fail()
      const { member } = target
      const handlers = {
        vote: member.handleVote,
        append: member.handleAppend,
        install: member.handleInstall,
      }
      const handle = handlers[name] as (message: unknown) => Promise<never>
      const reply = await handle(JSON.parse(text))
      if (
        cutLinks.has(`${url}>${fromUrl}`) ||
        frozenMembers.has(from) ||
        findRunningAt(url) !== target
      )
        throw fail()
      return reply
    },
  })
  const start: TestGroup['start'] = async (name, options = {}) => {
    const logger = createLogger({ base: { member: name }, write })
    const folder = options.folder ?? createMemoryFolder()
    const timers = createManualTimerService()
    const store = await openLogStore({ folder, logger, onFailure: () => {} })
    const machine = createControlStateMachine()
    const url = options.url ?? name
    const member = createRaftMember({
      name,
      url,
      // As its identity says: who joined later founded no group.
      founders: name in founders ? founders : {},
      isFounding: options.isFounding ?? true,
      store,
      machine,
      transport: createTransport(name, url),
      timers,
      random: createRandomSource(seed * 31 + members.size),
      logger,
      invariants: createInvariants({ logger, fatal: true }),
      electionMs: ELECTION_MS,
      heartbeatMs: ELECTION_MS / 5,
      snapshotEvery,
      startedAt: options.startedAt,
    })
    const started = { name, url, member, machine, folder, timers }
    members.set(name, started)
    return started
  }
  const step = async () => {
    for (const { name, timers } of members.values()) {
      if (!frozenMembers.has(name)) timers.advance(STEP_MS)
    }
    await flushCallbacks()
    await flushCallbacks()
  }
  const group: TestGroup = {
    members,
    logLines,
    cutLinks,
    frozenMembers,
    maxMessageBytes: Infinity,
    start,
    isolate: (name) => {
      const { url } = members.get(name) as TestMember
      for (const other of members.values()) {
        cutLinks.add(`${url}>${other.url}`)
        cutLinks.add(`${other.url}>${url}`)
      }
    },
    heal: () => cutLinks.clear(),
    run: async (duration) => {
      for (let spent = 0; spent < duration; spent += STEP_MS) await step()
    },
    runUntil: async (condition, what) => {
      for (let steps = 0; steps < MAX_STEPS; steps += 1) {
        if (condition()) return
        await step()
      }
      throw new Error(`never happened: ${what}`)
    },
    leader: () =>
      [...members.values()].find(({ name, member }) => {
        const { role, hasLease } = member.status()
        return role === 'leader' && hasLease && !frozenMembers.has(name)
      }),
    waitForLeader: async (other) => {
      const findNext = () => {
        const leader = group.leader()
        return leader?.name === other ? undefined : leader
      }
      await group.runUntil(() => findNext() !== undefined, 'a leader')
      return findNext() as TestMember
    },
    propose: async (leader, command) => {
      let result: unknown
      let error: unknown
      leader.member.propose(command).then(
        (value) => (result = value),
        (cause) => (error = cause),
      )
      await group.runUntil(() => result !== undefined || error !== undefined, 'an outcome')
      if (error) throw error
      return result
    },
    countLeases: () =>
      [...members.values()].filter(({ member }) => member.status().hasLease).length,
    restart: async (names, startedAt) => {
      const stopped = names.map((name) => members.get(name) as TestMember)
      for (const { member } of stopped) await member.close()
      for (const { name } of stopped) members.delete(name)
      for (const { name, folder } of stopped) await start(name, { folder, startedAt })
    },
    losePower: async (names) => {
      const stopped = names.map((name) => members.get(name) as TestMember)
      const disks = new Map(
        stopped.map(({ name, folder }) => [name, folder.restart(powerLossRandom)]),
      )
      for (const name of names) members.delete(name)
      for (const { member } of stopped) await member.close()
      return disks
    },
    loseDisks: async (names) => {
      for (const name of names) {
        await members.get(name)?.member.close()
        members.delete(name)
      }
      for (const name of names) {
        await start(`${name}#new`, { url: name, isFounding: false, startedAt: 0 })
      }
    },
    close: async () => {
      for (const { member } of members.values()) await member.close()
    },
  }
  for (const name of names) await start(name)
  return group
}
