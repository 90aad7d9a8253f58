import { expect } from 'chai'
import fc from 'fast-check'
import { createDepartureFleet, SILENT_AFTER_MS } from './departureFleet.js'

const START = 1_000

/** Steps of a run; names are those of servers, of which `a` is of a group that may be unknown. */
const STEPS: readonly string[] = [
  ...['a', 'b'].flatMap((name) => [`${name} ready`, `${name} draining`, `${name} leave`]),
  ...['addGroup', 'openGate', 'closeGate', 'changeLeader', 'restoreSnapshot', 'wait'],
]

describe('a departure that control acknowledged', () => {
  const startedAts = [undefined, START]

  it('is not forgotten while its server is held, of an unknown group, or displaced', async () => {
    for (const startedAt of startedAts) {
      const held = createDepartureFleet(startedAt)
      await held.sendHeartbeat({ name: 'c', phase: 'ready', count: 1 })
      await held.setGateOpen(false)
      await held.sendHeartbeat({ name: 'a', phase: 'draining', count: 2 })
      await held.sendHeartbeat({ name: 'a', phase: 'ready', count: 1 })
      await held.setGateOpen(true)
      await held.sendHeartbeat({ name: 'a', phase: 'ready', count: 1 })
      expect(held.findPhase(), 'held').not.to.equal('ready')

      const unknown = createDepartureFleet(startedAt)
      await unknown.sendHeartbeat({ name: 'a', phase: 'draining', count: 2, group: 'new' })
      unknown.addGroup('new')
      await unknown.sendHeartbeat({ name: 'a', phase: 'ready', count: 1, group: 'new' })
      expect(unknown.findPhase(), 'of an unknown group').not.to.equal('ready')

      const displaced = createDepartureFleet(startedAt)
      await displaced.sendHeartbeat({ name: 'a', phase: 'ready', count: 1 })
      await displaced.sendHeartbeat({ name: 'b', phase: 'ready', count: 9 })
      await displaced.sendHeartbeat({ name: 'a', phase: 'draining', count: 3 })
      displaced.changeLeader()
      displaced.timers.advance(2 * SILENT_AFTER_MS)
      await displaced.sendHeartbeat({ name: 'a', phase: 'ready', count: 2 })
      expect(displaced.findPhase(), 'displaced').not.to.equal('ready')
      for (const { close } of [held, unknown, displaced]) close()
    }
  })

  it('is not one that was ignored, since it may be of the start before', async () => {
    const fleet = createDepartureFleet(START)
    await fleet.sendHeartbeat({ name: 'a', phase: 'ready', count: 1 })
    expect(await fleet.sendLeave('a', false)).to.equal(false)
    expect(fleet.findPhase()).to.equal('ready')
    fleet.timers.advance(2 * SILENT_AFTER_MS)
    expect(await fleet.sendLeave('a', false)).to.equal(true)
    expect(fleet.findPhase()).to.equal(undefined)
    fleet.close()
  })

  it('is not forgotten in any order of signals, under any leader', async () => {
    const steps = fc.array(fc.constantFrom(...STEPS), { minLength: 2, maxLength: 20, size: 'max' })
    const runs = fc.tuple(fc.constantFrom(...startedAts), fc.constantFrom('g', 'new'), steps)
    const checkRun = async ([startedAt, group, taken]: [number | undefined, string, string[]]) => {
      const fleet = createDepartureFleet(startedAt)
      let hasDeparted = false
      let count = 0
      const actions: Record<string, () => unknown> = {
        addGroup: () => fleet.addGroup(group),
        openGate: () => fleet.setGateOpen(true),
        closeGate: () => fleet.setGateOpen(false),
        changeLeader: fleet.changeLeader,
        restoreSnapshot: fleet.restoreSnapshot,
        wait: () => fleet.timers.advance(SILENT_AFTER_MS),
      }
      for (const step of taken) {
        const [name, said] = step.split(' ')
        if (said === undefined) await actions[name]()
        else {
          // Draining heartbeats are later ones of their server; others may have been sent at any time.
          count += said === 'draining' ? 1 : 0
          const sent =
            said === 'leave'
              ? fleet.sendLeave(name)
              : fleet.sendHeartbeat({
                  ...{ name, count, phase: said as 'ready' | 'draining' },
                  group: name === 'a' ? group : 'g',
                })
          hasDeparted ||= (await sent) && name === 'a' && said !== 'ready'
        }
        if (hasDeparted) expect(fleet.findPhase()).not.to.equal('ready')
      }
      fleet.close()
    }
    await fc.assert(fc.asyncProperty(runs, checkRun), { seed: 77, numRuns: 3_000 })
  })
})
