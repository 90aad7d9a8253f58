/**
 * Fault tolerance for each number of voters. An even group with a lost disk tolerates the loss of half of its voters;
 * any other group tolerates losses as long as a majority remains.
 */
import { expect } from 'chai'
import { REPLACE_AFTER_MS, SHRINK_AFTER_MS } from '../group/groupPlan.js'
import { createTestGroup, ELECTION_MS, type TestGroup, type TestMember } from './group.js'
import { createMembershipDriver } from './groupSteps.js'

const NAMES = ['a', 'b', 'c', 'd', 'e', 'f', 'g']
/** Number of election timeouts without a leader after which a group is considered unable to elect one. */
const ELECTION_FAILED_TIMEOUTS = 20

/** Builds a command whose effect is visible in the state: a table version. */
function buildTableCommand(version: number) {
  return { kind: 'table.put', version, document: '{}' }
}

/** Failed voters: some lose their disks, others stay down or are partitioned. */
interface Losses {
  readonly lost: readonly string[]
  readonly down: readonly string[]
  readonly cutOff: readonly string[]
}

/** Lists every combination of up to all voters lost, down or partitioned; the affected voters rotate. */
function listLosses(names: readonly string[]): Losses[] {
  const found: Losses[] = []
  for (let lost = 0; lost <= names.length; lost += 1) {
    for (let away = 0; away <= names.length - lost; away += 1) {
      const from = found.length % names.length
      const rotated = [...names.slice(from), ...names.slice(0, from)]
      const down = Math.ceil(away / 2)
      found.push({
        lost: rotated.slice(0, lost),
        down: rotated.slice(lost, lost + down),
        cutOff: rotated.slice(lost + down, lost + away),
      })
    }
  }
  return found
}

/** Whether the remaining voters may elect a leader. */
function isTolerated(voters: number, { lost, down, cutOff }: Losses): boolean {
  const gone = lost.length + down.length + cutOff.length
  const isHalfEnough = voters % 2 === 0 && lost.length > 0
  return gone <= (isHalfEnough ? voters / 2 : (voters - 1) / 2)
}

/** Simulates a power failure of the whole group, after which some voters do not return intact. */
async function applyLosses(group: TestGroup, names: readonly string[], losses: Losses) {
  const disks = await group.losePower(names)
  for (const name of names) {
    if (losses.down.includes(name)) continue
    const isLost = losses.lost.includes(name)
    await group.start(isLost ? `${name}#new` : name, {
      url: name,
      folder: isLost ? undefined : disks.get(name),
      isFounding: false,
      startedAt: 0,
    })
  }
  for (const name of losses.cutOff) group.isolate(name)
}

describe('the losses that a group tolerates', () => {
  for (let voters = 1; voters <= NAMES.length; voters += 1) {
    it(`of ${voters} voters are those that leave enough voters to prove what was acknowledged`, async () => {
      const names = NAMES.slice(0, voters)
      for (const [index, losses] of listLosses(names).entries()) {
        const group = await createTestGroup(names, index + 1)
        await group.propose(await group.waitForLeader(), buildTableCommand(7))
        await applyLosses(group, names, losses)
        const what = JSON.stringify(losses)
        await group.run(ELECTION_MS * ELECTION_FAILED_TIMEOUTS)
        const leader = group.leader()
        expect(leader !== undefined, what).to.equal(isTolerated(voters, losses))
        if (leader) {
          const again = await group.propose(leader, buildTableCommand(7))
          expect(again, what).to.deep.equal({ isNewer: false, version: 7 })
          expect(group.countLeases(), what).to.equal(1)
        }
        await group.close()
      }
    })
  }

  it('are two disks of a group of five after one voter was permanently replaced', async () => {
    const first = NAMES.slice(0, 4)
    const now = ['a', 'b', 'c', 'e']
    for (const [seed, kept] of [
      ['a', 'b'],
      ['a', 'e'],
      ['c', 'e'],
      ['b', 'c'],
    ].entries()) {
      const group = await createTestGroup(first, seed + 1)
      const steps = createMembershipDriver({ group, targetVoters: 5 })
      const runSteps = async (duration: number) => {
        for (let spent = 0; spent < duration; spent += ELECTION_MS) {
          steps.apply()
          await group.run(ELECTION_MS)
        }
      }
      await group.waitForLeader()
      await group.losePower(['d'])
      await group.start('e', { isFounding: false })
      await runSteps(SHRINK_AFTER_MS + REPLACE_AFTER_MS)
      await group.propose(await group.waitForLeader(), buildTableCommand(7))
      const lost = now.filter((name) => !kept.includes(name))
      await applyLosses(group, now, { lost, down: [], cutOff: [] })
      await group.run(ELECTION_MS * ELECTION_FAILED_TIMEOUTS)
      const leader = group.leader()
      expect(kept, `only ${kept.join()} are left`).to.include(leader?.name)
      const again = leader && (await group.propose(leader, buildTableCommand(7)))
      expect(again).to.deep.equal({ isNewer: false, version: 7 })
      await runSteps(SHRINK_AFTER_MS + REPLACE_AFTER_MS)
      const voters = Object.entries(group.leader()?.member.status().members ?? {})
      expect(voters.filter(([, { kind }]) => kind === 'voter')).to.have.length(4)
      await group.close()
    }
  })

  it('are again two disks of four once the instances with the lost disks are voters again', async () => {
    const urls = NAMES.slice(0, 4)
    for (const seed of [1, 2, 3]) {
      const group = await createTestGroup(urls, seed)
      const steps = createMembershipDriver({ group, targetVoters: 5 })
      const names = new Map(urls.map((url) => [url, url]))
      await group.propose(await group.waitForLeader(), buildTableCommand(7))
      // Every disk is lost in turn, repeatedly, so that each holder of the entry has received it through a repair.
      for (let round = 0; round < 6; round += 1) {
        const lost = [urls[(round * 2 + seed) % 4], urls[(round * 2 + seed + 1) % 4]]
        const disks = await group.losePower([...names.values()])
        for (const url of urls) {
          const old = names.get(url) as string
          const isLost = lost.includes(url)
          const name = isLost ? `${url}#${round}` : old
          names.set(url, name)
          const folder = isLost ? undefined : disks.get(old)
          await group.start(name, { url, folder, isFounding: false, startedAt: 0 })
        }
        const isWhole = ({ member }: TestMember) => {
          const { members, commitIndex, lastIndex } = member.status()
          const voters = Object.values(members).filter(({ kind }) => kind === 'voter')
          return voters.length === 4 && commitIndex === lastIndex
        }
        await group.runUntil(() => {
          steps.apply()
          return group.leader() !== undefined && [...group.members.values()].every(isWhole)
        }, `all four are voters again in round ${round}`)
        const again = await group.propose(await group.waitForLeader(), buildTableCommand(7))
        expect(again, `round ${round}`).to.deep.equal({ isNewer: false, version: 7 })
      }
      await group.close()
    }
  })
})

describe('a membership change in progress while a disk is lost', () => {
  /** Starts a membership change without waiting for its outcome. */
  const startChange = (leader: TestMember, name: string, kind: 'learner' | 'voter') => {
    const members = { ...leader.member.status().members, [name]: { url: name, kind } }
    leader.member.changeMembers(members).catch(() => undefined)
  }
  const addLearner = async (group: TestGroup, leader: TestMember, name: string) => {
    const learner = await group.start(name, { isFounding: false })
    startChange(leader, name, 'learner')
    const isIn = () => learner.member.status().members[name] !== undefined
    await group.runUntil(isIn, 'the learner is taken in')
    await group.run(ELECTION_MS)
  }
  const partitionGroup = (
    group: TestGroup,
    firstSide: readonly string[],
    secondSide: readonly string[],
  ) => {
    for (const one of firstSide) {
      for (const other of secondSide) group.cutLinks.add(`${one}>${other}`).add(`${other}>${one}`)
    }
  }

  it('elects no leader with half of a group whose membership may never have been committed', async () => {
    const names = ['a', 'b', 'c']
    for (const seed of [1, 2, 3]) {
      const group = await createTestGroup(names, seed)
      const old = await group.waitForLeader()
      const [next, third] = names.filter((name) => name !== old.name)
      await addLearner(group, old, 'x')
      // The change reaches only the new voter; the other two members elect a leader and acknowledge entries without it.
      partitionGroup(group, [old.name, 'x'], [next, third])
      startChange(old, 'x', 'voter')
      const other = await group.waitForLeader(old.name)
      await group.propose(other, buildTableCommand(7))
      const lost = other.name === next ? third : next
      await group.loseDisks([lost])
      group.heal()
      group.frozenMembers.add(other.name)
      // Of four voters, one is lost and two grant their votes, but neither stores the acknowledged entry.
      await group.run(ELECTION_MS * ELECTION_FAILED_TIMEOUTS)
      expect(group.leader()?.name, `seed ${seed}`).to.equal(undefined)
      group.frozenMembers.delete(other.name)
      const again = await group.propose(await group.waitForLeader(), buildTableCommand(7))
      expect(again, `seed ${seed}`).to.deep.equal({ isNewer: false, version: 7 })
      await group.close()
    }
  })

  it('grants no lease with a majority of the new group alone', async () => {
    const names = ['a', 'b', 'c', 'd']
    for (const seed of [1, 2, 3, 4, 5, 6]) {
      const group = await createTestGroup(names, seed)
      const old = await group.waitForLeader()
      const [lost, ...others] = names.filter((name) => name !== old.name)
      await addLearner(group, old, 'x')
      // The leader, another member and the new voter are three of the five new voters, but two of the four old ones.
      partitionGroup(group, [old.name, 'x'], others)
      startChange(old, 'x', 'voter')
      await group.run(ELECTION_MS * 1.5)
      await group.loseDisks([lost])
      for (let spent = 0; spent < ELECTION_MS * 4; spent += 5) {
        await group.run(5)
        expect(group.countLeases(), `seed ${seed} after ${spent} ms`).to.be.at.most(1)
      }
      const leader = await group.waitForLeader(old.name)
      expect(others, `seed ${seed}`).to.include(leader.name)
      await group.close()
    }
  })
})
