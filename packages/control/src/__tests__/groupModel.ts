/**
 * A seeded life of a control group in memory: proposals, cuts, freezes, restarts, lost disks and
 * replaced machines in random order, with what must hold after each step of time.
 */
import { createRandomSource, type RandomSource } from '@spoolgate/core'
import { createTestGroup, ELECTION_MS, type TestGroup, type TestMember } from './group.js'
import { createMembershipDriver, type MembershipDriver } from './groupSteps.js'
import type { MemberMap } from '../raft/messages.js'
import type { MemoryFolder } from './memoryFolder.js'

/** What a life did, for the report of a run by hand. */
export interface ModelReport {
  readonly founders: number
  readonly wantedVoters: number
  /** Entries acknowledged. */
  readonly acknowledged: number
  /** Terms that had a leader. */
  readonly terms: number
  readonly lostDisks: number
  readonly replaced: number
  /** Elections that rested on proven losses. */
  readonly byProof: number
  readonly actions: readonly string[]
}

const STEP_MS = 5
const ACTIONS = 50
/** Virtual time between two looks at the group, in ms. */
const LOOK_MS = 40
/** Virtual time in which a leader must come once all are back, in ms. */
const RECOVERY_MS = ELECTION_MS * 100
/** Last lines of the members' logs that a failure shows. */
const LINES_SHOWN = 12
/** Spans of virtual time between two actions, in ms: mostly short, some as long as a repair. */
const SPANS_MS = [5, 20, 60, 120, 300, 800, 2_500, 6_500]

/** An address with what happened to it. */
interface Place {
  readonly url: string
  /** Instance that runs here or did last. */
  name: string
  /** Disk of an instance that is down; undefined while it runs. */
  disk: MemoryFolder | undefined
  /** Group that the instance knew when it last went down. */
  knownGroup: MemberMap
  /** Names of disks lost here, and of a machine taken away, until their successor is a voter. */
  lost: string[]
}

/** Part of the freezes in which the machine itself is suspended. */
const SUSPENDED_PART = 0.5
const SLEEPS_SEED_OFFSET = 1_000_003

class Life {
  readonly actions: string[] = []
  readonly leaderOf = new Map<number, string>()
  readonly frozenAt = new Map<string, number>()
  /** Drawn apart, so that the other draws of a seed stay as they were. */
  readonly sleeps: RandomSource
  places: Place[]
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
    /** Disks that may be lost at once. */
    readonly borne: number,
    /** Of these, machines that may be gone for good. */
    readonly borneAway: number,
  ) {
    this.sleeps = createRandomSource(seed + SLEEPS_SEED_OFFSET)
    this.places = [...group.members.keys()].map((name) => ({
      url: name,
      name,
      disk: undefined,
      knownGroup: {},
      lost: [],
    }))
  }

  check(condition: boolean, what: string): void {
    if (condition) return
    const lines = [...this.actions, ...this.group.lines.slice(-LINES_SHOWN)]
    throw new Error(`seed ${this.seed} at ${this.now} ms: ${what}\n${lines.join('\n')}`)
  }

  checkInvariants(): void {
    const acting = [...this.group.members.values()].filter(
      ({ name }) => !this.group.frozen.has(name),
    )
    const holders = acting.filter(({ member }) => member.status().hasLease)
    this.check(holders.length <= 1, `leases of ${holders.map(({ name }) => name).join()}`)
    for (const { name, member } of acting) {
      const { role, term } = member.status()
      if (role !== 'leader') continue
      const known = this.leaderOf.get(term) ?? name
      this.leaderOf.set(term, known)
      this.check(known === name, `${known} and ${name} lead term ${term}`)
    }
    for (const { name, member, machine } of holders) {
      if (!isCurrent(member)) continue
      const found = machine.table.current()?.version ?? 0
      const what = `${name} serves ${found}, and ${this.acknowledged} was acknowledged`
      this.check(found >= this.acknowledged, what)
    }
  }

  async run(duration: number): Promise<void> {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      await this.group.run(STEP_MS)
      this.now += STEP_MS
      if (this.now % LOOK_MS === 0) this.steps.apply()
      this.checkInvariants()
    }
    this.recordRepairs()
  }

  /**
   * A loss counts until its successor is a voter that holds all that was committed, and knows so; a
   * lost voter that is not out of the group yet counts by itself.
   */
  recordRepairs(): void {
    const leader = this.group.leader()
    if (!leader || !isCurrent(leader.member)) return
    const { members, commitIndex, lastIndex } = leader.member.status()
    // A change counts from its entry on, and is no repair before that is committed.
    if (commitIndex < lastIndex) return
    const isVoter = (name: string) => members[name]?.kind === 'voter'
    for (const place of this.places) {
      const known = this.group.members.get(place.name)?.member.status().commitIndex ?? 0
      const isBack = isVoter(place.name) && known >= commitIndex
      if (isBack && !place.lost.some(isVoter)) place.lost = []
    }
  }

  /** Lists whom any instance counts as a voter, or did when it went down. */
  listVoters(): Set<string> {
    const running = [...this.group.members.values()].map(({ member }) => member.status().members)
    const stopped = this.places.flatMap(({ disk, knownGroup }) => (disk ? [knownGroup] : []))
    const entries = [...running, ...stopped].flatMap((members) => Object.entries(members))
    return new Set(entries.filter(([, { kind }]) => kind === 'voter').map(([name]) => name))
  }

  countLost(): number {
    const voters = this.listVoters()
    const counts = this.places.map(({ lost }) =>
      lost.length === 0 ? 0 : Math.max(1, lost.filter((name) => voters.has(name)).length),
    )
    return counts.reduce((sum, count) => sum + count, 0)
  }

  isLossBorne(place: Place): boolean {
    const added = place.lost.length === 0 || this.listVoters().has(place.name) ? 1 : 0
    return this.countLost() + added <= this.borne
  }

  recordGroup(place: Place): void {
    place.knownGroup = this.group.members.get(place.name)?.member.status().members ?? {}
  }

  recordLoss(place: Place): void {
    this.lostDisks += 1
    place.lost = [...place.lost, place.name]
    place.name = `${place.url}#${this.lostDisks}`
  }

  submitTable(): void {
    const target = this.group.leader()
    if (!target) return
    this.version += 1
    const version = this.version
    target.member.propose({ kind: 'table.put', version, document: '{}' }).then(
      () => (this.acknowledged = Math.max(this.acknowledged, version)),
      // Whether it is in force is not known; nothing may be said of it.
      () => undefined,
    )
  }

  chooseRunning(): Place | undefined {
    const running = this.places.filter(({ disk }) => disk === undefined)
    return running.length > 0 ? this.random.choose(running) : undefined
  }

  async stop(place: Place): Promise<void> {
    this.group.frozen.delete(place.name)
    this.frozenAt.delete(place.name)
    this.recordGroup(place)
    const disks = await this.group.losePower([place.name])
    place.disk = disks.get(place.name)
  }

  /** Starts an instance on the disk that it left, or on an empty one. */
  async start(place: Place, isEmpty = false): Promise<void> {
    const folder = isEmpty ? undefined : place.disk
    place.disk = undefined
    await this.group.start(place.name, { url: place.url, folder, isFounding: false, startedAt: 0 })
  }

  resumeProcess(name: string): void {
    const since = this.frozenAt.get(name)
    if (since === undefined) return
    this.frozenAt.delete(name)
    this.group.frozen.delete(name)
    const found = this.group.members.get(name) as TestMember
    // A frozen process sees its monotonic clock jump when it wakes; one whose machine was suspended does not.
    if (this.sleeps.next() < SUSPENDED_PART) found.timers.suspend(this.now - since)
    else found.timers.advance(this.now - since)
  }

  async removeDisk(place: Place): Promise<void> {
    if (!this.isLossBorne(place)) return
    this.actions.push(`${this.now} loseDisk ${place.name}`)
    await this.stop(place)
    this.recordLoss(place)
    if (this.random.next() < 0.5) await this.run(this.random.choose(SPANS_MS.slice(0, 6)))
    await this.start(place, true)
  }

  /** Takes a machine away for good, whose voters that will not return must leave a majority. */
  async removeMachine(place: Place): Promise<void> {
    const gone = this.places.filter(({ name, lost, disk }) => {
      return lost.length > 0 || disk || this.frozenAt.has(name)
    })
    if (place.lost.length > 0 || gone.length >= this.borneAway || this.group.cut.size > 0) return
    this.actions.push(`${this.now} replace ${place.name}`)
    await this.stop(place)
    this.replaced += 1
    const url = `${place.url}+${this.replaced}`
    const next = { url, name: url, disk: undefined, knownGroup: {}, lost: [place.name] }
    this.places = [...this.places.filter((other) => other !== place), next]
    await this.start(next, true)
  }

  async runAction(): Promise<void> {
    const place = this.chooseRunning()
    const draw = this.random.next()
    const down = this.places.filter(({ disk }) => disk !== undefined)
    if (draw < 0.3) return this.submitTable()
    if (draw < 0.4) {
      this.actions.push(`${this.now} heal`)
      this.group.heal()
      for (const name of [...this.frozenAt.keys()]) this.resumeProcess(name)
    } else if (draw < 0.5 && down.length > 0) {
      const back = this.random.choose(down)
      this.actions.push(`${this.now} start ${back.name}`)
      await this.start(back)
    } else if (place) {
      await this.applyTrouble(place, this.random.nextInt(16))
    }
  }

  async applyTrouble(place: Place, kind: number): Promise<void> {
    const { name, url } = place
    if (kind < 3) {
      this.actions.push(`${this.now} isolate ${name}`)
      this.group.isolate(name)
    } else if (kind < 5) {
      const other = this.random.choose(this.places)
      this.actions.push(`${this.now} cut ${url}>${other.url}`)
      this.group.cut.add(`${url}>${other.url}`)
    } else if (kind < 7 && !this.frozenAt.has(name)) {
      this.actions.push(`${this.now} freeze ${name}`)
      this.frozenAt.set(name, this.now)
      this.group.frozen.add(name)
    } else if (kind < 9) {
      this.actions.push(`${this.now} stop ${name}`)
      await this.stop(place)
    } else if (kind < 10) {
      await this.stopAll()
    } else if (kind < 14) {
      await this.removeDisk(place)
    } else {
      await this.removeMachine(place)
    }
  }

  /** Every machine loses power at one moment, some their disks; they come back in any order. */
  async stopAll(): Promise<void> {
    const running = this.places.filter(({ disk }) => disk === undefined)
    this.actions.push(`${this.now} losePower`)
    for (const name of running.map((place) => place.name)) {
      this.group.frozen.delete(name)
      this.frozenAt.delete(name)
    }
    running.forEach((place) => this.recordGroup(place))
    const disks = await this.group.losePower(running.map(({ name }) => name))
    for (const place of running) place.disk = disks.get(place.name)
    const waiting = [...running]
    while (waiting.length > 0) {
      const [place] = waiting.splice(this.random.nextInt(waiting.length), 1)
      const isLosing = this.random.next() < 0.4 && this.isLossBorne(place)
      if (isLosing) {
        this.recordLoss(place)
        this.actions.push(`${this.now} ${place.name} is empty`)
      }
      await this.start(place, isLosing)
      if (this.random.next() < 0.5) await this.run(this.random.choose(SPANS_MS.slice(0, 4)))
    }
  }

  async resumeAll(): Promise<void> {
    this.actions.push(`${this.now} all are back`)
    this.group.heal()
    for (const name of [...this.frozenAt.keys()]) this.resumeProcess(name)
    for (const place of this.places.filter(({ disk }) => disk !== undefined)) {
      await this.start(place)
    }
    const end = this.now + RECOVERY_MS
    const isServing = () => {
      const leader = this.group.leader()
      return leader !== undefined && isCurrent(leader.member)
    }
    while (!isServing()) {
      this.check(this.now < end, 'no leader came')
      await this.run(STEP_MS)
    }
    const before = this.acknowledged
    while (this.acknowledged === before) {
      this.check(this.now < end, 'nothing was acknowledged any more')
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

/** Runs the life of one seed; throws with its actions where something does not hold. */
export async function runModel(seed: number): Promise<ModelReport> {
  const random = createRandomSource(seed)
  const founders = 2 + random.nextInt(6)
  const losses = 1 + random.nextInt(3)
  const wantedVoters = 2 * losses + 1
  const voters = Math.min(founders, wantedVoters)
  const names = Array.from({ length: founders }, (_, index) => `m${index}`)
  const group = await createTestGroup(names, seed, 8 + random.nextInt(40))
  const steps = createMembershipDriver({ group, targetVoters: wantedVoters })
  const borne = Math.min(losses, Math.floor(voters / 2))
  const borneAway = Math.min(losses, Math.floor((voters - 1) / 2))
  const life = new Life(seed, random, group, steps, borne, borneAway)
  try {
    await life.run(ELECTION_MS * 5)
    for (let action = 0; action < ACTIONS; action += 1) {
      await life.runAction()
      await life.run(random.choose(SPANS_MS))
    }
    await life.resumeAll()
    const byProof = group.lines.filter((line) => /raft\.elected .*lostVoters="/.test(line))
    return {
      founders,
      wantedVoters,
      acknowledged: life.acknowledged,
      terms: life.leaderOf.size,
      lostDisks: life.lostDisks,
      replaced: life.replaced,
      byProof: byProof.length,
      actions: life.actions,
    }
  } finally {
    await group.close()
  }
}
