/**
 * Guards against a permanent outage: right after a configuration was acknowledged, all machines lost power
 * and two of the four control instances returned with empty disks. From then on every request failed with
 * 503, and no instance could tell which configuration is current.
 *
 * All four instances were voters. The empty ones have new names, so two of four voters remained, which is
 * no majority, and no leader was ever elected. Tolerating two losses had been derived from the five voters
 * wanted, not from the four present. An instance at the address of a lost voter now replies under its own
 * name, which proves the loss, and the remaining voters elect a leader without the lost ones.
 */
import {
  createHttpClient,
  createHttpServer,
  createInvariants,
  createQuietLogger,
  createRandomSource,
  createTimerService,
  SpoolgateError,
  type HttpServer,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { Subscription } from 'rxjs'
import { openLogStore } from '../log/logStore.js'
import { createRaftMember } from '../raft/member.js'
import type { MemberMap } from '../raft/messages.js'
import type { RaftMember } from '../raft/types.js'
import { createRaftRoute } from '../server/groupRoutes.js'
import { createHttpTransport } from '../server/raftTransport.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { createTestGroup, ELECTION_MS } from './group.js'
import { createMemoryFolder, type MemoryFolder } from './memoryFolder.js'

const NAMES = ['a', 'b', 'c', 'd']
const SEEDS = [1, 2, 3, 4, 5]

/** Builds a command whose effect is visible in the state: a table version. */
function buildTable(version: number) {
  return { kind: 'table.put', version, document: '{}' }
}

function listPairs(names: readonly string[]): string[][] {
  return names.flatMap((first, index) => names.slice(index + 1).map((second) => [first, second]))
}

/** Orders in which the instances restart after the power loss. */
const START_ORDERS: Record<string, (lost: readonly string[], kept: readonly string[]) => string[]> =
  {
    'empty disks first': (lost, kept) => [...lost, ...kept],
    'empty disks last': (lost, kept) => [...kept, ...lost],
    'empty and kept disks alternating': (lost, kept) =>
      lost.flatMap((name, index) => [name, kept[index]]),
  }

describe('four voters that all lose power, two of them also their disks', () => {
  for (const [order, listStartOrder] of Object.entries(START_ORDERS)) {
    it(`recover with all acknowledged entries, ${order}`, async () => {
      for (const seed of SEEDS) {
        for (const lost of listPairs(NAMES)) {
          const what = `seed ${seed} without the disks of ${lost.join()}`
          const group = await createTestGroup(NAMES, seed)
          const random = createRandomSource(seed)
          await group.propose(await group.waitForLeader(), buildTable(7))
          const disks = await group.losePower(NAMES)
          const kept = NAMES.filter((name) => !lost.includes(name))
          for (const name of listStartOrder(lost, kept)) {
            const isLost = lost.includes(name)
            await group.start(isLost ? `${name}#new` : name, {
              url: name,
              folder: isLost ? undefined : disks.get(name),
              isFounding: false,
              startedAt: 0,
            })
            await group.run(random.nextInt(ELECTION_MS * 3))
          }
          const leader = await group.waitForLeader()
          expect(kept, what).to.include(leader.name)
          // The acknowledged entry is still there: version 7 is not new. The group accepts new entries.
          const again = await group.propose(leader, buildTable(7))
          expect(again, what).to.deep.equal({ isNewer: false, version: 7 })
          const next = await group.propose(leader, buildTable(8))
          expect(next, what).to.deep.equal({ isNewer: true, version: 8 })
          expect(group.countLeases(), what).to.equal(1)
          await group.close()
        }
      }
    })
  }
})

/** An address and the instance that runs there. */
interface Host {
  readonly server: HttpServer
  folder: MemoryFolder
  /** Undefined while the host has no power. */
  member: RaftMember | undefined
}

/** Much longer than a message takes on a machine under load; the tests assert no durations. */
const ROUTE_ELECTION_MS = 300

describe('four voters that lose power, over HTTP', () => {
  const timers = createTimerService()
  const logger = createQuietLogger()
  let hosts: Host[] = []
  let founders: MemberMap = {}
  const client = createHttpClient()

  const openHost = async (): Promise<Host> => {
    const server = await createHttpServer({
      host: '127.0.0.1',
      port: 0,
      logger,
      timers,
      routes: [],
    })
    const host: Host = { server, folder: createMemoryFolder(), member: undefined }
    const findMember = () => {
      if (host.member) return host.member
      throw new SpoolgateError('controlUnavailable', 'the host has no power')
    }
    const current = {
      status: () => findMember().status(),
      handleVote: (request) => findMember().handleVote(request),
      handleAppend: (request) => findMember().handleAppend(request),
      handleInstall: (request) => findMember().handleInstall(request),
    } as Pick<RaftMember, 'status' | 'handleVote' | 'handleAppend' | 'handleInstall'>
    const route = createRaftRoute({ member: current as RaftMember, isCut: () => false })
    server.addRoutes([route])
    return host
  }
  const startMember = async (host: Host, name: string, isFounding: boolean) => {
    const { folder } = host
    host.member = createRaftMember({
      name,
      url: host.server.url,
      founders,
      isFounding,
      store: await openLogStore({ folder, logger, onFailure: () => {} }),
      machine: createControlStateMachine(),
      transport: createHttpTransport({ client, timeoutMs: ROUTE_ELECTION_MS }),
      timers,
      random: createRandomSource(hosts.indexOf(host) + 1),
      logger,
      invariants: createInvariants({ logger, fatal: true }),
      electionMs: ROUTE_ELECTION_MS,
      heartbeatMs: ROUTE_ELECTION_MS / 5,
      snapshotEvery: 1_000,
    })
  }
  /** Proposes a command to each leader that is elected, until one returns a result. */
  const proposeToElected = (command: unknown) => {
    const members = hosts.flatMap(({ member }) => (member ? [member] : []))
    const watches: Subscription[] = []
    return new Promise((resolve) => {
      const tryAt = (member: RaftMember) => {
        // If a leader is deposed, the next elected one is tried.
        member.propose(command).then(resolve, () => {})
      }
      for (const member of members) watches.push(member.elected.subscribe(() => tryAt(member)))
      for (const member of members) if (member.status().role === 'leader') tryAt(member)
    }).finally(() => watches.forEach((watch) => watch.unsubscribe()))
  }

  beforeEach(async () => {
    hosts = await Promise.all(NAMES.map(openHost))
    founders = Object.fromEntries(
      hosts.map(({ server }) => [server.url, { url: server.url, kind: 'voter' }]),
    )
    for (const host of hosts) await startMember(host, host.server.url, true)
  })
  afterEach(async () => {
    for (const { member, server } of hosts) {
      await member?.close()
      await server.close(0)
    }
  })
  after(() => client.close())

  /** Cuts the power of all hosts right after an acknowledgement. */
  const losePower = async () => {
    await proposeToElected(buildTable(7))
    const stopped = hosts.map(({ member }) => member)
    for (const host of hosts) {
      host.folder = host.folder.restart(createRandomSource(1))
      host.member = undefined
    }
    for (const member of stopped) await member?.close()
  }
  const startEmpty = async (host: Host) => {
    host.folder = createMemoryFolder()
    await startMember(host, `${host.server.url}#new`, false)
  }
  const startKept = (host: Host) => startMember(host, host.server.url, false)

  for (const order of ['first', 'last']) {
    it(`recover with all acknowledged entries, empty disks ${order}`, async function () {
      this.timeout(20_000)
      await losePower()
      const [kept, lost] = [[hosts[0], hosts[3]], hosts.slice(1, 3)]
      if (order === 'first') for (const host of lost) await startEmpty(host)
      for (const host of kept) await startKept(host)
      if (order === 'last') for (const host of lost) await startEmpty(host)
      expect(await proposeToElected(buildTable(7))).to.deep.equal({ isNewer: false, version: 7 })
    })
  }

  it('recover when one disk is lost and another voter does not return', async function () {
    this.timeout(20_000)
    await losePower()
    await startEmpty(hosts[1])
    for (const host of [hosts[0], hosts[3]]) await startKept(host)
    expect(await proposeToElected(buildTable(7))).to.deep.equal({ isNewer: false, version: 7 })
  })
})
