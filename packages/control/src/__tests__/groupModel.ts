/**
 * Randomised simulation of an in-memory Raft group: proposals, cut links, frozen processes, restarts, lost
 * disks and replaced machines in a seeded order, with invariants checked after each time step.
 */
import { createRandomSource, type RandomSource } from '@spoolgate/core'
import { createTestGroup, ELECTION_MS, type TestGroup, type TestMember } from './group.js'
import { createMembershipDriver, type MembershipDriver } from './groupSteps.js'
import type { MemberMap } from '../raft/messages.js'
import type { MemoryFolder } from './memoryFolder.js'

/** Statistics of a simulation, printed for runs with a seed range. */
export interface ModelReport {
  readonly founders: number
  readonly wantedVoters: number
  /** Last acknowledged table version. */
  readonly acknowledged: number
  /** Number of terms that had a leader. */
  readonly terms: number
  readonly lostDisks: number
  readonly replaced: number
  /** Number of elections won with proven disk losses. */
  readonly byProof: number
  readonly actions: readonly string[]
}

const STEP_MS = 5
const ACTIONS = 50
/** Interval at which the group membership is managed, in ms of virtual time. */
const PLAN_INTERVAL_MS = 40
/** Time in which a leader must be elected after all members are back, in ms of virtual time. */
const RECOVERY_MS = ELECTION_MS * 100
/** Number of log lines that an error contains. */
const MAX_LOG_LINES_SHOWN = 12
/** Times between two actions, in ms of virtual time: mostly short, some as long as a repair. */
const ACTION_GAPS_MS = [5, 20, 60, 120, 300, 800, 2_500, 6_500]

/** An address and the state of the instance there. */
interface Host {
  readonly url: string
  /** Instance that runs here or ran here last. */
  name: string
  /** Disk of a stopped instance; undefined while it runs. */
  stoppedDisk: MemoryFolder | undefined
  /** Members that the instance knew when it last stopped. */
  lastKnownMembers: MemberMap
  /** Names of instances whose disk or machine was lost here, until their replacement is a voter. */
  lostNames: string[]
}

/** Probability that a freeze suspends the whole machine, so that its monotonic clock stops. */
const SUSPEND_PROBABILITY = 0.5
const SUSPEND_SEED_OFFSET = 1_000_003

class GroupSimulation {
  readonly actions: string[] = []
  readonly leaderByTerm = new Map<number, string>()
  readonly frozenAt = new Map<string, number>()
  /** Separate random source, which keeps the other draws of a seed unchanged. */
  readonly suspendRandom: RandomSource
  hosts: Host[]
  now = 0
  acknowledged = 0
  version = 0
  lostDisks = 0
  replaced = 0

  constructor(
    readonly seed: number,
    readonly random: RandomSource,
    readonly group: TestGroup,
    readonly steps: MembershipDriver,
    /** Maximum number of disks lost at the same time. */
    readonly maxLostDisks: number,
    /** Maximum number of these whose machines are lost permanently. */
    readonly maxLostMachines: number,
  ) {
    this.suspendRandom = createRandomSource(seed + SUSPEND_SEED_OFFSET)
    this.hosts = [...group.members.keys()].map((name) => ({
      url: name,
      name,
      stoppedDisk: undefined,
      lastKnownMembers: {},
      lostNames: [],
    }))
  }

  check(condition: boolean, what: string): void {
    if (condition) return
    const lines = [...this.actions, ...this.group.logLines.slice(-MAX_LOG_LINES_SHOWN)]
    throw new Error(`seed ${this.seed} at ${this.now} ms: ${what}\n${lines.join('\n')}`)
  }

  checkInvariants(): void {
    const running = [...this.group.members.values()].filter(
      ({ name }) => !this.group.frozenMembers.has(name),
    )
    const leaseHolders = running.filter(({ member }) => member.status().hasLease)
    this.check(
      leaseHolders.length <= 1,
      `more than one lease: ${leaseHolders.map(({ name }) => name).join()}`,
    )
    for (const { name, member } of running) {
      const { role, term } = member.status()
      if (role !== 'leader') continue
      const known = this.leaderByTerm.get(term) ?? name
      this.leaderByTerm.set(term, known)
      this.check(known === name, `${known} and ${name} lead term ${term}`)
    }
    for (const { name, member, machine } of leaseHolders) {
      if (!isCurrent(member)) continue
      const found = machine.table.current()?.version ?? 0
      const what = `${name} serves ${found}, but ${this.acknowledged} was acknowledged`
      this.check(found >= this.acknowledged, what)
    }
  }

  async run(duration: number): Promise<void> {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      await this.group.run(STEP_MS)
      this.now += STEP_MS
      if (this.now % PLAN_INTERVAL_MS === 0) this.steps.apply()
      this.checkInvariants()
    }
    this.recordRepairs()
  }

  /**
   * Clears the losses of a host once its replacement is a voter that knows the leader's commit index and
   * no lost instance of the host is a voter any more.
   */
  recordRepairs(): void {
    const leader = this.group.leader()
    if (!leader || !isCurrent(leader.member)) return
    const { members, commitIndex, lastIndex } = leader.member.status()
    // A membership change applies from its entry on, but repairs a loss only once it is committed.
    if (commitIndex < lastIndex) return
    const isVoter = (name: string) => members[name]?.kind === 'voter'
    for (const host of this.hosts) {
      const known = this.group.members.get(host.name)?.member.status().commitIndex ?? 0
      const isBack = isVoter(host.name) && known >= commitIndex
      if (isBack && !host.lostNames.some(isVoter)) host.lostNames = []
    }
  }

  /** Lists all names that any running or stopped instance knows as a voter. */
  listVoters(): Set<string> {
    const running = [...this.group.members.values()].map(({ member }) => member.status().members)
    const stopped = this.hosts.flatMap(({ stoppedDisk, lastKnownMembers }) =>
      stoppedDisk ? [lastKnownMembers] : [],
    )
    const entries = [...running, ...stopped].flatMap((members) => Object.entries(members))
    return new Set(entries.filter(([, { kind }]) => kind === 'voter').map(([name]) => name))
  }

  countLost(): number {
    const voters = this.listVoters()
    const counts = this.hosts.map(({ lostNames }) =>
      lostNames.length === 0 ? 0 : Math.max(1, lostNames.filter((name) => voters.has(name)).length),
    )
    return counts.reduce((sum, count) => sum + count, 0)
  }

  isLossTolerated(host: Host): boolean {
    const added = host.lostNames.length === 0 || this.listVoters().has(host.name) ? 1 : 0
    return this.countLost() + added <= this.maxLostDisks
  }

  recordGroup(host: Host): void {
    host.lastKnownMembers = this.group.members.get(host.name)?.member.status().members ?? {}
  }

  recordLoss(host: Host): void {
    this.lostDisks += 1
    host.lostNames = [...host.lostNames, host.name]
    host.name = `${host.url}#${this.lostDisks}`
  }

  submitTable(): void {
    const target = this.group.leader()
    if (!target) return
    this.version += 1
    const version = this.version
    target.member.propose({ kind: 'table.put', version, document: '{}' }).then(
      () => (this.acknowledged = Math.max(this.acknowledged, version)),
      // The outcome is unknown, so the version does not count as acknowledged.
      () => undefined,
    )
  }

  chooseRunningHost(): Host | undefined {
    const running = this.hosts.filter(({ stoppedDisk }) => stoppedDisk === undefined)
    return running.length > 0 ? this.random.choose(running) : undefined
  }

  async stop(host: Host): Promise<void> {
    this.group.frozenMembers.delete(host.name)
    this.frozenAt.delete(host.name)
    this.recordGroup(host)
    const disks = await this.group.losePower([host.name])
    host.stoppedDisk = disks.get(host.name)
  }

  /** Starts an instance with its previous disk or an empty one. */
  async start(host: Host, isEmpty = false): Promise<void> {
    const folder = isEmpty ? undefined : host.stoppedDisk
    host.stoppedDisk = undefined
    await this.group.start(host.name, { url: host.url, folder, isFounding: false, startedAt: 0 })
  }

  resumeProcess(name: string): void {
    const since = this.frozenAt.get(name)
    if (since === undefined) return
    this.frozenAt.delete(name)
    this.group.frozenMembers.delete(name)
    const found = this.group.members.get(name) as TestMember
    // The monotonic clock of a frozen process jumps on resume; that of a suspended machine does not.
    if (this.suspendRandom.next() < SUSPEND_PROBABILITY) found.timers.suspend(this.now - since)
    else found.timers.advance(this.now - since)
  }

  async removeDisk(host: Host): Promise<void> {
    if (!this.isLossTolerated(host)) return
    this.actions.push(`${this.now} loseDisk ${host.name}`)
    await this.stop(host)
    this.recordLoss(host)
    if (this.random.next() < 0.5) await this.run(this.random.choose(ACTION_GAPS_MS.slice(0, 6)))
    await this.start(host, true)
  }

  /** Replaces a machine permanently if the voters that return still form a majority. */
  async removeMachine(host: Host): Promise<void> {
    const gone = this.hosts.filter(({ name, lostNames, stoppedDisk }) => {
      return lostNames.length > 0 || stoppedDisk || this.frozenAt.has(name)
    })
    if (
      host.lostNames.length > 0 ||
      gone.length >= this.maxLostMachines ||
      this.group.cutLinks.size > 0
    )
      return
    this.actions.push(`${this.now} replace ${host.name}`)
    await this.stop(host)
    this.replaced += 1
    const url = `${host.url}+${this.replaced}`
    const next = {
      url,
      name: url,
      stoppedDisk: undefined,
      lastKnownMembers: {},
      lostNames: [host.name],
    }
    this.hosts = [...this.hosts.filter((other) => other !== host), next]
    await this.start(next, true)
  }

  async runAction(): Promise<void> {
    const host = this.chooseRunningHost()
    const draw = this.random.next()
    const down = this.hosts.filter(({ stoppedDisk }) => stoppedDisk !== undefined)
    if (draw < 0.3) return this.submitTable()
    if (draw < 0.4) {
      this.actions.push(`${this.now} heal`)
      this.group.heal()
      for (const name of [...this.frozenAt.keys()]) this.resumeProcess(name)
    } else if (draw < 0.5 && down.length > 0) {
      const back = this.random.choose(down)
      this.actions.push(`${this.now} start ${back.name}`)
      await this.start(back)
    } else if (host) {
      await this.injectFault(host, this.random.nextInt(16))
    }
  }

  async injectFault(host: Host, kind: number): Promise<void> {
    const { name, url } = host
    if (kind < 3) {
      this.actions.push(`${this.now} isolate ${name}`)
      this.group.isolate(name)
    } else if (kind < 5) {
      const other = this.random.choose(this.hosts)
      this.actions.push(`${this.now} cut ${url}>${other.url}`)
      this.group.cutLinks.add(`${url}>${other.url}`)
    } else if (kind < 7 && !this.frozenAt.has(name)) {
      this.actions.push(`${this.now} freeze ${name}`)
      this.frozenAt.set(name, this.now)
      this.group.frozenMembers.add(name)
    } else if (kind < 9) {
      this.actions.push(`${this.now} stop ${name}`)
      await this.stop(host)
    } else if (kind < 10) {
      await this.losePowerEverywhere()
    } else if (kind < 14) {
      await this.removeDisk(host)
    } else {
      await this.removeMachine(host)
    }
  }

  /** Cuts the power of all running hosts at once, loses some disks and restarts the hosts in random order. */
  async losePowerEverywhere(): Promise<void> {
    const running = this.hosts.filter(({ stoppedDisk }) => stoppedDisk === undefined)
    this.actions.push(`${this.now} losePower`)
    for (const name of running.map((host) => host.name)) {
      this.group.frozenMembers.delete(name)
      this.frozenAt.delete(name)
    }
    running.forEach((host) => this.recordGroup(host))
    const disks = await this.group.losePower(running.map(({ name }) => name))
    for (const host of running) host.stoppedDisk = disks.get(host.name)
    const waiting = [...running]
    while (waiting.length > 0) {
      const [host] = waiting.splice(this.random.nextInt(waiting.length), 1)
      const isLosing = this.random.next() < 0.4 && this.isLossTolerated(host)
      if (isLosing) {
        this.recordLoss(host)
        this.actions.push(`${this.now} ${host.name} is empty`)
      }
      await this.start(host, isLosing)
      if (this.random.next() < 0.5) await this.run(this.random.choose(ACTION_GAPS_MS.slice(0, 4)))
    }
  }

  async resumeAll(): Promise<void> {
    this.actions.push(`${this.now} all are back`)
    this.group.heal()
    for (const name of [...this.frozenAt.keys()]) this.resumeProcess(name)
    for (const host of this.hosts.filter(({ stoppedDisk }) => stoppedDisk !== undefined)) {
      await this.start(host)
    }
    const end = this.now + RECOVERY_MS
    const isServing = () => {
      const leader = this.group.leader()
      return leader !== undefined && isCurrent(leader.member)
    }
    while (!isServing()) {
      this.check(this.now < end, 'no leader was elected')
      await this.run(STEP_MS)
    }
    const before = this.acknowledged
    while (this.acknowledged === before) {
      this.check(this.now < end, 'no further entry was acknowledged')
      this.submitTable()
      await this.run(ELECTION_MS)
    }
  }
}

function isCurrent(member: TestMember['member']): boolean {
  try {
    member.checkCurrent()
    return true
  } catch {
    return false
  }
}

/** Runs the simulation of one seed; throws with its actions if an invariant is violated. */
export async function runModel(seed: number): Promise<ModelReport> {
  const random = createRandomSource(seed)
  const founders = 2 + random.nextInt(6)
  const losses = 1 + random.nextInt(3)
  const wantedVoters = 2 * losses + 1
  const voters = Math.min(founders, wantedVoters)
  const names = Array.from({ length: founders }, (_, index) => `m${index}`)
  const group = await createTestGroup(names, seed, 8 + random.nextInt(40))
  const membershipDriver = createMembershipDriver({ group, targetVoters: wantedVoters })
  const maxLostDisks = Math.min(losses, Math.floor(voters / 2))
  const maxLostMachines = Math.min(losses, Math.floor((voters - 1) / 2))
  const simulation = new GroupSimulation(
    seed,
    random,
    group,
    membershipDriver,
    maxLostDisks,
    maxLostMachines,
  )
  try {
    await simulation.run(ELECTION_MS * 5)
    for (let action = 0; action < ACTIONS; action += 1) {
      await simulation.runAction()
      await simulation.run(random.choose(ACTION_GAPS_MS))
    }
    await simulation.resumeAll()
    const byProof = group.logLines.filter((line) => /raft\.elected .*lostVoters="/.test(line))
    return {
      founders,
      wantedVoters,
      acknowledged: simulation.acknowledged,
      terms: simulation.leaderByTerm.size,
      lostDisks: simulation.lostDisks,
      replaced: simulation.replaced,
      byProof: byProof.length,
      actions: simulation.actions,
    }
  } finally {
    await group.close()
  }
}
