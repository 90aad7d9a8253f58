import { createQuietLogger, createRejectedInputs, createTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import { filter, firstValueFrom, takeUntil } from 'rxjs'
import { createControlRelay, type ControlRelay } from '../registry/controlRelay.js'
import { createRegistryControl, type RegistryControl } from '../registry/registryControl.js'
import { createMemoryFolder, type MemoryFolder } from './memoryFolder.js'

/** Much longer than a message takes on a machine under load; the tests assert no durations. */
const ELECTION_MS = 300
const LOOK_PERIOD_MS = 5
/** Time after which the tests give up, in ms. */
const LIMIT_MS = 10_000
/** Operations sent to a relay before the tests give up; each waits for a leader for most of a second. */
const MAX_ATTEMPTS = 10

/** A machine with a disk and the control instance that runs on it. */
interface Host {
  folder: MemoryFolder
  instance: RegistryControl
}

describe('after a restart of all control instances whose seeds do not know the leader', () => {
  const timers = createTimerService()
  const logger = createQuietLogger()
  const unused = {} as never
  let seeds: readonly string[]
  let hosts: Host[]
  let relays: ControlRelay[]

  const waitUntil = (condition: () => boolean) =>
    firstValueFrom(
      timers.every(LOOK_PERIOD_MS).pipe(filter(condition), takeUntil(timers.after(LIMIT_MS))),
    )
  const startInstance = (folder: MemoryFolder, isFirstStart: boolean, port = 0) =>
    createRegistryControl({
      instance: `control-${port}`,
      host: '127.0.0.1',
      port,
      dataFolder: folder,
      seeds: () => seeds,
      isFirstStart,
      targetVoters: 3,
      engineClient: unused,
      cacheCalls: unused,
      decodeTable: () => unused,
      orderLeaseMs: ELECTION_MS,
      silentAfterMs: ELECTION_MS,
      weightsExpireMs: ELECTION_MS,
      quotaTolerance: { ratio: 0, slack: 0, windowMs: ELECTION_MS },
      rejectedInputs: createRejectedInputs({ logger, timers }),
      logger,
      timers,
      electionMs: ELECTION_MS,
      heartbeatMs: ELECTION_MS / 5,
    })
  const startRelay = (port = 0) =>
    createControlRelay({ host: '127.0.0.1', port, seeds: () => seeds, logger, timers })
  const portOf = ({ url }: { url: string }) => Number(new URL(url).port)
  const listVoters = ({ member }: RegistryControl) =>
    Object.values(member.status().members).filter(({ kind }) => kind === 'voter')
  /** Finds the term of the leader to which a relay forwards; undefined if the relay finds no leader. */
  const findTerm = async ({ operations }: ControlRelay): Promise<number | undefined> => {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const confirmation = await operations.run('confirmLeader', {}).catch(() => undefined)
      if (confirmation) return confirmation.term
    }
    return undefined
  }
  const stopAll = async () => {
    for (const relay of relays) await relay.close(0)
    for (const { instance } of hosts) await instance.close(0)
  }
  /** Restarts everything on the same addresses; the instances at `lost` find empty disks. */
  const restartAll = async (nextSeeds: readonly string[], lost: readonly Host[]) => {
    await stopAll()
    seeds = nextSeeds
    for (const host of hosts) {
      if (lost.includes(host)) host.folder = createMemoryFolder()
      host.instance = await startInstance(host.folder, false, portOf(host.instance))
    }
    relays = await Promise.all(relays.map((relay) => startRelay(portOf(relay))))
  }

  beforeEach(async () => {
    seeds = []
    hosts = []
    for (let count = 0; count < 3; count += 1) {
      const folder = createMemoryFolder()
      const instance = await startInstance(folder, count === 0)
      hosts.push({ folder, instance })
      seeds = [hosts[0].instance.url]
    }
    relays = [await startRelay(), await startRelay()]
    await waitUntil(() => hosts.every(({ instance }) => listVoters(instance).length === 3))
  })
  afterEach(async () => {
    await stopAll()
  })

  it('relays and an instance with an empty disk find it although only they are seeds', async function () {
    this.timeout(30_000)
    const lost = hosts[2]
    await restartAll([lost.instance.url, ...relays.map(({ url }) => url)], [lost])
    expect(await Promise.all(relays.map(findTerm))).to.not.include(undefined)
    await waitUntil(() => listVoters(lost.instance).length === 3)
  })

  it('relays find it although only they are seeds', async function () {
    this.timeout(30_000)
    const urls = relays.map(({ url }) => url)
    await restartAll(urls, [])
    expect(await Promise.all(relays.map(findTerm))).to.not.include(undefined)
  })
})
