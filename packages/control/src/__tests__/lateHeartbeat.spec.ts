import {
  createManualTimerService,
  createQuietLogger,
  createRejectedInputs,
  toServerName,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createFleetOperationRunner } from '../registry/fleetOperations.js'
import type { RaftMember } from '../raft/types.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity, type RegisteredServer } from '../state/serverState.js'

const SILENT_AFTER_MS = 2_600

/** Creates a leader that receives heartbeats, and counts its proposals to the replicated log. */
function createLeader() {
  const timers = createManualTimerService()
  const machine = createControlStateMachine()
  let proposals = 0
  const member = {
    status: () => ({ role: 'leader', term: 1 }),
    propose: async (command: unknown) => {
      proposals += 1
      return machine.apply(command, 1)
    },
  } as unknown as RaftMember
  const createOperations = () =>
    createFleetOperationRunner({
      member,
      machine,
      client: {} as HttpClient,
      timers,
      logger: createQuietLogger(),
      silentAfterMs: SILENT_AFTER_MS,
      isKnownGroup: () => true,
      rejectedInputs: createRejectedInputs({ logger: createQuietLogger(), timers }),
    })
  let operations = createOperations()
  const sendHeartbeat = (name: string, change: Partial<RegisteredServer> = {}) =>
    operations.run('observeServer', {
      server: {
        ...buildServerIdentity(toServerName(name), undefined),
        group: 'g',
        address: 'a:1',
        hall: 'h',
        phase: 'ready',
        slots: 4,
        weights: [],
        ...change,
      },
    })
  return {
    timers,
    proposed: () => proposals,
    sendHeartbeat,
    /** Starts a leader that has the replicated state only, from a snapshot. */
    changeLeader: () => {
      machine.load(JSON.parse(JSON.stringify(machine.save())))
      operations = createOperations()
    },
    list: () => machine.servers.list().map(({ id }) => id),
  }
}

describe('heartbeats of several incarnations at one address', () => {
  it('let a new incarnation take over the address immediately', async () => {
    const { sendHeartbeat, list } = createLeader()
    await sendHeartbeat('old')
    await sendHeartbeat('new')
    expect(list()).to.deep.equal(['new'])
  })

  it('do not take the address back when they arrive late', async () => {
    const { timers, sendHeartbeat, list } = createLeader()
    await sendHeartbeat('old')
    await sendHeartbeat('new')
    timers.advance(1_000)
    expect(await sendHeartbeat('old')).to.deep.equal({ phase: 'gone' })
    expect(list()).to.deep.equal(['new'])
  })

  it('do not take the address back from a new leader when they arrive late', async () => {
    const { timers, sendHeartbeat, changeLeader, list } = createLeader()
    await sendHeartbeat('old')
    await sendHeartbeat('new')
    changeLeader()
    timers.advance(1_000)
    expect(await sendHeartbeat('old')).to.deep.equal({ phase: 'gone' })
    expect(list()).to.deep.equal(['new'])
  })

  it('take the address back once the other incarnation is silent', async () => {
    const { timers, sendHeartbeat, list } = createLeader()
    await sendHeartbeat('old')
    await sendHeartbeat('new')
    timers.advance(SILENT_AFTER_MS)
    expect(await sendHeartbeat('old')).to.deep.equal({ phase: 'ready' })
    expect(list()).to.deep.equal(['old'])
  })
})

describe('an unchanged heartbeat', () => {
  it('adds no entry to the replicated log', async () => {
    const { timers, proposed, sendHeartbeat } = createLeader()
    await sendHeartbeat('one')
    await sendHeartbeat('two', { address: 'a:2' })
    expect(proposed()).to.equal(2)
    for (let count = 0; count < 5; count += 1) {
      timers.advance(500)
      await sendHeartbeat('one')
      await sendHeartbeat('two', { address: 'a:2' })
    }
    expect(proposed()).to.equal(2)
    await sendHeartbeat('two', { address: 'a:2', slots: 5 })
    expect(proposed()).to.equal(3)
  })
})
