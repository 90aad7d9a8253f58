import {
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  toServerName,
  toSoftwareVersion,
  type RandomSource,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createHeldRegistrations } from '../registry/heldRegistrations.js'
import { createVersionGate, VERSIONS_MAX_AGE_MS } from '../registry/versionGate.js'
import { createControlStateMachine, type ControlCommand } from '../state/controlMachine.js'
import { buildServerIdentity, type RegisteredServer } from '../state/serverState.js'

const STEP_MS = 20
const STEPS = 500
const ROUTERS = 5
const POLL_MS = 400
const MAX_DELAY_MS = 3_000
const HEARTBEAT_MS = 200
/** Steps for which a machine is out of step, at most: 4.5 s. */
const MAX_OUT_STEPS = 225
const SEEDS = 60

/** A router, and what it believes; its state is as old as the poll that brought it. */
interface Router {
  readonly name: string
  askedAt: number
  versions: readonly string[]
  revision: number
  /** Steps until which it is cut off, or stands still; what arrived meanwhile is read after that. */
  cutUntil: number
  stillUntil: number
  arrived: (() => void)[]
}

function buildServer(name: string, version: string): RegisteredServer {
  return {
    ...buildServerIdentity(toServerName(name), undefined),
    group: 'g',
    address: `10.0.0.1:${name.length}`,
    hall: 'h',
    phase: 'ready',
    slots: 1,
    weights: [],
    softwareVersion: toSoftwareVersion(version),
  }
}

/** Runs control and routers while a new version joins; counts moments in which a router would presume the old one. */
async function runSimulation(random: RandomSource): Promise<{ presumed: number; opened: boolean }> {
  const timers = createManualTimerService()
  const machine = createControlStateMachine()
  let index = 0
  const propose = async (command: unknown) => machine.apply(command as ControlCommand, (index += 1))
  const { softwareVersions: versions, servers } = machine
  const startLeader = (term: number) => {
    const gate = createVersionGate({ versions, servers, timers })
    const logger = createQuietLogger()
    const held = createHeldRegistrations({ member: { propose }, servers, gate, timers, logger })
    return { term, gate, held }
  }
  await propose({ kind: 'server.observe', server: buildServer('a', 'v1') })
  let leader = startLeader(1)
  const routers: Router[] = Array.from({ length: ROUTERS }, (_, number) => ({
    name: `r${number}`,
    askedAt: 0,
    versions: ['v1'],
    revision: versions.revision(),
    cutUntil: 0,
    stillUntil: 0,
    arrived: [],
  }))
  const poll = (router: Router) => {
    const askedAt = timers.now()
    leader.gate.recordPoll(router.name, router.revision, leader.term)
    const reply = { versions: versions.list().g ?? [], revision: versions.revision() }
    // The reply may stay in a leader that stands still, or on a link that is cut.
    const delayMs = random.next() < 0.1 ? random.nextInt(MAX_DELAY_MS) : random.nextInt(STEP_MS)
    timers.after(delayMs).subscribe(() =>
      router.arrived.push(() => {
        if (askedAt < router.askedAt) return
        Object.assign(router, { ...reply, askedAt })
      }),
    )
  }
  /** Draws whether a router falls out of step, and lets it read and poll if it is in step. */
  const runRouter = (router: Router, step: number) => {
    if (random.next() < 0.01) router.cutUntil = step + random.nextInt(MAX_OUT_STEPS)
    if (random.next() < 0.01) router.stillUntil = step + random.nextInt(MAX_OUT_STEPS)
    if (step < Math.max(router.stillUntil, router.cutUntil)) return
    for (const read of router.arrived.splice(0)) read()
    if (random.next() < STEP_MS / POLL_MS) poll(router)
  }
  const runControl = (step: number) => {
    if (random.next() < 0.004) leader = startLeader(leader.term + 1)
    if ((step * STEP_MS) % HEARTBEAT_MS === 0) leader.held.hold(buildServer('bb', 'v1.1'))
  }
  const hasOpened = () => servers.findByName(toServerName('bb')) !== undefined
  const isPresuming = ({ versions: known, askedAt, stillUntil }: Router, step: number) =>
    step >= stillUntil && known.length === 1 && timers.now() - askedAt <= VERSIONS_MAX_AGE_MS
  let presumed = 0
  const joinsAt = random.nextInt(STEPS / 4)
  for (let step = 0; step < STEPS; step += 1) {
    if (step >= joinsAt) runControl(step)
    for (const router of routers) runRouter(router, step)
    timers.advance(STEP_MS)
    for (let turn = 0; turn < 20; turn += 1) await Promise.resolve()
    if (hasOpened()) presumed += routers.filter((router) => isPresuming(router, step)).length
  }
  return { presumed, opened: hasOpened() }
}

describe('a router that is out of step while servers of a new software version join', () => {
  // It took streams that had begun at the new version for those of the only one that it knew.
  it('never presumes the only version that it knows once servers of the new one serve', async () => {
    let opened = 0
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const result = await runSimulation(createRandomSource(seed))
      expect(result.presumed, `seed ${seed}`).to.equal(0)
      if (result.opened) opened += 1
    }
    expect(opened).to.be.above(SEEDS / 2)
  })
})
