/** In-memory Raft group with simulated time and network faults, for tests of elections and leases. */
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

/** Member with its disk and clock. */
export interface TestMember {
  readonly name: string
  /** Address of the member; links are cut between addresses. */
  readonly url: string
  member: RaftMember
  machine: ControlStateMachine
  folder: MemoryFolder
  /** Clock of the member; it does not advance while the member is frozen. */
  timers: ManualTimerService
}

/** Simulated group. */
export interface TestGroup {
  readonly members: Map<string, TestMember>
  /** Cut links, as `from>to` with addresses. */
  readonly cutLinks: Set<string>
  /** Names of members whose process is paused: it neither sends nor replies. */
  readonly frozenMembers: Set<string>
  /** Blocks the event loop of a member: it handles messages and timers late, after `unblock`. */
  block(name: string): void
  /** Ends {@link block}; due timers run before or after the messages that arrived meanwhile. */
  unblock(name: string, isTimersFirst: boolean): void
  /** Waits while the event loop of a member is blocked. */
  waitUnblocked(name: string): Promise<void>
  /** Maximum size of a message that arrives before its timeout; larger messages fail. */
  maxMessageBytes: number
  /** Log lines of all members. */
  readonly logLines: readonly string[]
  /** Cuts all links of a member. */
  isolate(name: string): void
  /** Restores all links. */
  heal(): void
  /** Advances time until the condition holds. */
  runUntil(condition: () => boolean, what: string): Promise<void>
  /** Advances time. */
  run(duration: number): Promise<void>
  leader(): TestMember | undefined
  /** Advances time until there is a leader other than the named one. */
  waitForLeader(other?: string): Promise<TestMember>
  /** Proposes a command and advances time until it succeeds or fails. */
  propose(leader: TestMember, command: unknown): Promise<unknown>
  /** Number of members that hold a lease. */
  countLeases(): number
  /** Restarts members with their disks. */
  restart(names: readonly string[], startedAt: number): Promise<void>
  /**
   * Cuts the power of members at the same instant; unsynced data may be lost. Returns their disks for
   * {@link TestGroup.start}.
   */
  losePower(names: readonly string[]): Promise<Map<string, MemoryFolder>>
  /** Replaces each member by an instance with an empty disk and a new name at the same address. */
  loseDisks(names: readonly string[]): Promise<void>
  start(
    name: string,
    options?: { folder?: MemoryFolder; isFounding?: boolean; startedAt?: number; url?: string },
  ): Promise<TestMember>
  close(): Promise<void>
}

export const ELECTION_MS = 100

/** Builds the pre-vote request of a candidate outside the group with an up-to-date log. */
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
  /** Members with a blocked event loop: the time spent so far, and what waits for its end. */
  const blockedMembers = new Map<string, { spent: number; waiting: (() => void)[] }>()
  /** Time that has passed at members whose due timers have not run yet. */
  const lags = new Map<string, number>()
  const createLaggingTimers = (name: string): ManualTimerService => {
    const timers = createManualTimerService()
    const lag = () => lags.get(name) ?? 0
    return {
      ...timers,
      now: () => timers.now() + lag(),
      promiseNow: () => timers.promiseNow() + lag(),
      after: (delay) => timers.after(delay + lag()),
    }
  }
  const waitUnblocked = (name: string) =>
    new Promise<void>((resolve) => {
      const blocked = blockedMembers.get(name)
      if (blocked) blocked.waiting.push(resolve)
      else resolve()
    })
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
      // Like the HTTP route, only vote requests are accepted for another name.
      if (name !== 'vote' && target.name !== to) throw fail()
      // Messages are serialised, so that members share no mutable objects.
      const text = JSON.stringify(request)
      if (text.length > group.maxMessageBytes) throw fail()
      const { member } = target
      const handlers = {
        vote: member.handleVote,
        append: member.handleAppend,
        install: member.handleInstall,
      }
      const handle = handlers[name] as (message: unknown) => Promise<never>
      await waitUnblocked(target.name)
      const reply = await handle(JSON.parse(text))
      await waitUnblocked(from)
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
    const timers = createLaggingTimers(name)
    const store = await openLogStore({ folder, logger, onFailure: () => {} })
    const machine = createControlStateMachine()
    const url = options.url ?? name
    const member = createRaftMember({
      name,
      url,
      // A member that joined later has no founders in its identity file.
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
      const blocked = blockedMembers.get(name)
      if (blocked) blocked.spent += STEP_MS
      else if (!frozenMembers.has(name)) timers.advance(STEP_MS)
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
    waitUnblocked,
    block: (name) => void blockedMembers.set(name, { spent: 0, waiting: [] }),
    unblock: (name, isTimersFirst) => {
      const blocked = blockedMembers.get(name)
      if (!blocked) return
      const { timers } = members.get(name) as TestMember
      blockedMembers.delete(name)
      if (isTimersFirst) timers.advance(blocked.spent)
      else lags.set(name, blocked.spent)
      for (const resume of blocked.waiting) resume()
      if (isTimersFirst) return
      setImmediate(() => {
        lags.delete(name)
        timers.advance(blocked.spent)
      })
    },
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
      throw new Error(`condition not met in time: ${what}`)
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
