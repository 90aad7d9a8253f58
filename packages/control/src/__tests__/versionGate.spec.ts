import {
  createManualTimerService,
  createQuietLogger,
  toSoftwareVersion,
  toServerName,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createHeldRegistrations } from '../registry/heldRegistrations.js'
import { startVersionRetention, VERSION_RETENTION_MS } from '../registry/versionRetention.js'
import { createVersionGate, VERSIONS_MAX_AGE_MS } from '../registry/versionGate.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine, type ControlCommand } from '../state/controlMachine.js'
import { buildServerIdentity, type RegisteredServer } from '../state/serverState.js'

const OLD = toSoftwareVersion('v1')
const NEW = toSoftwareVersion('v1.1')
const TERM = 3
/** Longer than a router relies on its state, with the margin for uneven clocks. */
const LEASE_MS = VERSIONS_MAX_AGE_MS + 600

function buildServer(name: string, softwareVersion = OLD, startedAt?: number): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(name), startedAt),
    group: 'g',
    address: `10.0.0.1:${name.length}`,
    hall: 'h',
    phase: 'ready',
    slots: 1,
    weights: [],
    softwareVersion,
  }
}

function createSetup() {
  const timers = createManualTimerService()
  const machine = createControlStateMachine()
  const { softwareVersions: versions, servers } = machine
  const gate = createVersionGate({ versions, servers, timers })
  let index = 0
  const propose = async (command: unknown) => machine.apply(command as ControlCommand, (index += 1))
  const held = createHeldRegistrations({
    member: { propose },
    servers,
    gate,
    timers,
    logger: createQuietLogger(),
  })
  const isRegistered = (name: string) => servers.findByName(toServerName(name)) !== undefined
  return { timers, gate, held, propose, isRegistered, machine }
}

describe('the gate of new software versions', () => {
  const startWith = async (name: string) => {
    const setup = createSetup()
    await setup.propose({ kind: 'server.observe', server: buildServer(name) })
    return setup
  }
  /** Lets held registrations go on, which wait for each other over several turns. */
  const settle = async () => {
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
  }

  it('is open to the first version of a group, and to no other one at the same time', () => {
    const { gate } = createSetup()
    expect(gate.isOpen('g', OLD)).to.equal(true)
    expect(gate.isOpen('g', NEW)).to.equal(false)
    expect(gate.isOpen('other', NEW)).to.equal(true)
  })

  it('opens once each router that polled holds the version, and does not wait longer', async () => {
    const { timers, gate, held, isRegistered } = await startWith('a')
    gate.recordPoll('r1', 1, TERM)
    timers.advance(LEASE_MS)
    for (const router of ['r1', 'r2']) gate.recordPoll(router, 1, TERM)
    expect(held.hold(buildServer('bb', NEW))).to.equal(true)
    await settle()
    gate.recordPoll('r1', 2, TERM)
    timers.advance(100)
    await settle()
    expect(isRegistered('bb')).to.equal(false)
    gate.recordPoll('r2', 2, TERM)
    timers.advance(100)
    await settle()
    expect(isRegistered('bb')).to.equal(true)
    expect(held.hold(buildServer('ccc', NEW))).to.equal(false)
  })

  it('waits for routers that a previous leader answered, and for silent ones, until their state is too old', async () => {
    const { timers, gate, held, isRegistered } = await startWith('a')
    gate.recordPoll('r1', 1, TERM)
    held.hold(buildServer('bb', NEW))
    await settle()
    gate.recordPoll('r1', 2, TERM)
    timers.advance(VERSIONS_MAX_AGE_MS)
    await settle()
    expect(isRegistered('bb')).to.equal(false)
    timers.advance(LEASE_MS - VERSIONS_MAX_AGE_MS)
    await settle()
    expect(isRegistered('bb')).to.equal(true)
  })

  it('registers no server that left meanwhile, and takes out the start that a held one replaced', async () => {
    const { timers, held, isRegistered, propose } = await startWith('a')
    await propose({ kind: 'server.observe', server: buildServer('bb', OLD, 1_000) })
    held.hold(buildServer('bb', NEW, 2_000))
    held.hold(buildServer('ccc', NEW))
    held.remove(toServerName('ccc'))
    await settle()
    expect(isRegistered('bb')).to.equal(false)
    timers.advance(LEASE_MS)
    await settle()
    expect([isRegistered('bb'), isRegistered('ccc')]).to.deep.equal([true, false])
  })

  it('removes a version only long after its last server, and never the last one of a group', async () => {
    const { machine, propose, timers } = await startWith('a')
    await propose({ kind: 'server.observe', server: buildServer('bb', NEW) })
    const status = () => ({ hasLease: true })
    const member = { status, propose } as unknown as Pick<RaftMember, 'status' | 'propose'>
    const retention = startVersionRetention({
      member,
      machine,
      timers,
      logger: createQuietLogger(),
    })
    await propose({ kind: 'server.retire', id: toServerName('a'), phase: 'gone' })
    timers.advance(VERSION_RETENTION_MS)
    expect(machine.softwareVersions.list()).to.deep.equal({ g: [OLD, NEW] })
    timers.advance(20_000)
    expect(machine.softwareVersions.list()).to.deep.equal({ g: [NEW] })
    await propose({ kind: 'server.retire', id: toServerName('bb'), phase: 'gone' })
    timers.advance(2 * VERSION_RETENTION_MS)
    expect(machine.softwareVersions.list()).to.deep.equal({ g: [NEW] })
    retention.close()
  })

  it('keeps the versions and their revision over a snapshot, and lists those of an earlier one', async () => {
    const { machine, propose } = await startWith('a')
    await propose({ kind: 'version.add', serverGroup: 'g', version: NEW })
    const saved = machine.save() as Record<string, unknown>
    const restored = createControlStateMachine()
    restored.load(saved)
    expect(restored.softwareVersions.list()).to.deep.equal({ g: [OLD, NEW] })
    expect(restored.softwareVersions.findRevision('g', NEW)).to.equal(2)
    restored.load({ ...saved, softwareVersions: undefined })
    expect(restored.softwareVersions.list()).to.deep.equal({ g: [OLD] })
  })
})
