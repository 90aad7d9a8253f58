import { createLogger, createManualTimerService } from '@spoolgate/core'
import { expect } from 'chai'
import type { HeartbeatBatch } from '../registry/heartbeatBatches.js'
import { createOverloadMonitor } from '../registry/overloadMonitor.js'
import { buildServer, createHeartbeatGroup, SILENT_AFTER_MS } from './heartbeatGroup.js'

const HEARTBEAT_MS = 1_200

describe('heartbeats at an instance that does not lead', () => {
  let group: ReturnType<typeof createHeartbeatGroup>
  beforeEach(() => {
    group = createHeartbeatGroup(['a', 'b', 'c'])
  })
  afterEach(() => group.close())

  /** Registers a server through an instance; its next heartbeats may be acknowledged there. */
  const register = async (name: string, through = 'b') => {
    const server = buildServer(name)
    await group.sendHeartbeat(through, server, 1)
    group.takeSent()
    return server
  }

  it('that change nothing are acknowledged there and reach the leader with their age in one batch', async () => {
    const servers = [await register('i'), await register('j')]
    await group.run(300)
    for (const server of servers)
      expect(await group.sendHeartbeat('b', server, 2)).to.equal('ready')
    expect(group.takeSent()).to.deep.equal([])
    await group.run(100)
    expect(group.takeSent()).to.deep.equal(['observeServers'])
    for (const server of servers) expect(group.findAgeMs('a', server)).to.be.within(0, 110)
    expect(group.outcomes.slice(-2)).to.deep.equal(['local', 'local'])
  })

  it('that report anything new wait for the answer of the leader, so that an acknowledged drain is in force', async () => {
    const server = await register('i')
    const changes = [{ slots: 5 }, { weights: [{ model: 'm', version: 2 }] }, { address: 'i:2' }]
    for (const change of [...changes, { phase: 'draining' as const }]) {
      await group.sendHeartbeat('b', { ...server, ...change }, 2)
      expect(group.takeSent(), JSON.stringify(change)).to.deep.equal(['observeServer'])
    }
    expect(await group.sendHeartbeat('b', { ...server, phase: 'draining' }, 3)).to.equal('draining')
    expect(await group.sendHeartbeat('b', buildServer('i', 2_000), 1)).to.equal('ready')
    expect(group.takeSent()).to.deep.equal(['observeServer', 'observeServer'])
    group.isCut = true
    expect(await group.sendHeartbeat('b', { ...server, phase: 'draining' }, 4)).to.equal('refused')
  })

  it('lost between acknowledgement and batch cost nothing but time: a new leader counts from its start', async () => {
    const server = await register('i')
    await group.sendHeartbeat('b', server, 2)
    group.leader = undefined
    await group.run(1_000)
    expect(await group.sendHeartbeat('b', server, 3)).to.equal('refused')
    Object.assign(group, { leader: 'c', term: 2 })
    await group.run(100)
    expect(group.findAgeMs('c', server)).to.be.within(0, 100)
    expect(group.findMachine('c').servers.list()).to.have.length(1)
    group.takeSent()
    expect(await group.sendHeartbeat('b', server, 4)).to.equal('ready')
    expect(await group.sendHeartbeat('b', server, 5)).to.equal('ready')
    expect(group.takeSent()).to.deep.equal(['observeServer'])
  })

  it('in a duplicated or late batch neither renew a server nor revert its sequence number', async () => {
    const server = await register('i')
    await group.sendHeartbeat('b', server, 5)
    await group.run(100)
    const batch = group.sent.at(-1)?.input as HeartbeatBatch
    const age = group.findAgeMs('a', server)
    await group.sendHeartbeat('a', server, 7)
    expect(await group.findRunner('a').runLocally('observeServers', batch)).to.deep.equal({
      differing: [],
    })
    expect(group.findAgeMs('a', server)).to.equal(0)
    await group.run(1_000)
    await group.findRunner('a').runLocally('observeServers', batch)
    expect(group.findAgeMs('a', server)).to.equal(1_000)
    expect(age).to.be.below(110)
  })

  it('of the former start that arrive after a restart under the same name do not register it again', async () => {
    const server = await register('i')
    await group.sendHeartbeat('b', server, 5)
    const restarted = buildServer('i', 2_000)
    await group.sendHeartbeat('c', restarted, 1)
    await group.run(100)
    expect(group.findMachine('a').servers.list()).to.deep.equal([restarted])
    group.takeSent()
    expect(await group.sendHeartbeat('b', server, 6)).to.equal('gone')
    expect(group.takeSent()).to.deep.equal(['observeServer'])
  })

  it('are acknowledged for at most 2 s without the leader, and not for servers of a lost batch', async () => {
    const [lost, early, late] = [await register('i'), await register('j'), await register('k')]
    await group.run(200)
    group.isCut = true
    expect(await group.sendHeartbeat('b', lost, 2)).to.equal('ready')
    await group.run(1_000)
    expect(await group.sendHeartbeat('b', early, 2)).to.equal('ready')
    expect(await group.sendHeartbeat('b', lost, 3)).to.equal('refused')
    await group.run(150)
    expect(await group.sendHeartbeat('b', late, 2)).to.equal('refused')
    group.isCut = false
    expect(await group.sendHeartbeat('b', lost, 4)).to.equal('ready')
  })

  it('go to the leader singly once after its registration turned out to differ from the replica', async () => {
    const server = await register('i')
    group.lagging.add('b')
    await group.sendHeartbeat('c', { ...server, slots: 9 }, 2)
    expect(await group.sendHeartbeat('b', server, 3)).to.equal('ready')
    await group.run(100)
    group.lagging.clear()
    group.takeSent()
    await group.sendHeartbeat('b', server, 4)
    expect(group.takeSent()).to.deep.equal(['observeServer'])
    expect(group.findMachine('a').servers.find(server.id)?.slots).to.equal(4)
    await group.sendHeartbeat('b', server, 5)
    expect(group.takeSent()).to.deep.equal([])
  })

  it('of a server whose address was taken over stay refused by the leader', async () => {
    const server = await register('i')
    group.lagging.add('b')
    const next = buildServer('j', 1_000, { address: server.address })
    await group.sendHeartbeat('c', next, 1)
    await group.sendHeartbeat('b', server, 2)
    await group.run(100)
    expect(await group.sendHeartbeat('b', server, 3)).to.equal('gone')
    expect(group.findMachine('a').servers.list()).to.deep.equal([next])
    await group.run(SILENT_AFTER_MS + 100)
    expect(await group.sendHeartbeat('b', server, 4)).to.equal('ready')
  })

  it('reach a leader that fails or does not know batches often enough that no server counts as silent', async () => {
    for (const [kind, most] of [
      ['internal', SILENT_AFTER_MS] as const,
      ['unknownPath', 2 * HEARTBEAT_MS] as const,
    ]) {
      group.batchError = kind
      const server = await register(kind)
      const ages: number[] = []
      for (let count = 2; count < 12; count += 1) {
        expect(await group.sendHeartbeat('b', server, count)).to.equal('ready')
        await group.run(HEARTBEAT_MS)
        ages.push(group.findAgeMs('a', server))
      }
      expect(Math.max(...ages), kind).to.be.below(most + 1)
      const batches = group.takeSent().filter((name) => name === 'observeServers')
      expect(batches.length, kind).to.be.below(kind === 'unknownPath' ? 2 : 6)
    }
  })

  it('beyond a bound are refused at once while the leader is slow, and still reach it in a batch', async () => {
    const server = await register('i')
    await group.run(3_000)
    group.areSinglesCut = true
    const { run } = group.findRunner('b')
    const sends = Array.from({ length: 64 }, (_, index) =>
      run('observeServer', { server: buildServer(`new-${index}`) }).catch(() => undefined),
    )
    expect(await group.sendHeartbeat('b', server, 2)).to.equal('refused')
    expect(group.takeSent()).to.have.length(64)
    await group.run(100)
    expect(group.findAgeMs('a', server)).to.be.below(110)
    await group.run(1_000)
    await Promise.all(sends)
  })

  it('are shed by an overloaded instance at most every second time, so that no server counts as silent', async () => {
    const server = await register('i')
    group.overloaded.add('b')
    for (let count = 2; count < 12; count += 1) {
      expect(await group.sendHeartbeat('b', server, count)).to.equal('ready')
      await group.run(HEARTBEAT_MS)
      expect(group.findAgeMs('a', server)).to.be.below(SILENT_AFTER_MS)
    }
    const shed = group.outcomes.filter((outcome) => outcome === 'shed')
    expect(shed.length).to.be.within(3, 5)
    await group.sendHeartbeat('b', { ...server, phase: 'draining' }, 12)
    expect(group.outcomes.at(-1)).to.equal('leader')
  })
})

describe('the overload of a control instance', () => {
  it('begins with a delay of the event loop and ends after a time without one, with one log line each', () => {
    const timers = createManualTimerService()
    /** Time by which the timers run late. */
    let lagMs = 0
    const lines: string[] = []
    const monitor = createOverloadMonitor({
      timers: { ...timers, now: () => timers.now() + lagMs },
      logger: createLogger({ base: {}, write: (line) => void lines.push(line) }),
    })
    for (const delayMs of [0, 100, 130, 300, 0]) {
      lagMs += delayMs
      timers.advance(50)
    }
    expect(monitor.isOverloaded()).to.equal(true)
    timers.advance(2_000)
    expect(monitor.isOverloaded()).to.equal(false)
    expect(
      lines.map((line) => line.slice(line.lastIndexOf('event=') + 'event='.length)),
    ).to.deep.equal(['control.overloaded delayMs=130', 'control.recovered delayMs=300'])
    monitor.close()
  })
})
