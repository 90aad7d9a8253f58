import {
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  toServerName,
  type LogFields,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createServerMonitor } from '../registry/serverMonitor.js'
import { createOrderCounter, startWeightsReport } from '../registry/weightsReport.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'

describe('report of weights', () => {
  it('logs each server once when its weights expire, and counts what is expired, loading and ordered', async () => {
    const timers = createManualTimerService()
    const machine = createControlStateMachine()
    const metrics = createMetrics('control')
    const lines: LogFields[] = []
    const monitor = createServerMonitor({
      machine,
      timers,
      findHeartbeatAgeMs: () => 0,
      silentAfterMs: 1_000,
      weightsExpireMs: 7_000,
    })
    startWeightsReport({
      servers: machine.servers,
      monitor,
      rollout: { listLoading: () => [buildServerIdentity(toServerName('b'), 1).id] } as never,
      logger: {
        ...createQuietLogger(),
        info: (event, fields) => void lines.push({ event, ...fields }),
      },
      metrics,
    })
    for (const [name, version] of [['a', 1] as const, ['b', 2] as const]) {
      const server = {
        ...buildServerIdentity(toServerName(name), undefined),
        group: 'g',
        address: name,
        hall: 'h',
        phase: 'ready' as const,
        slots: 1,
        weights: [{ model: 'm', version }],
      }
      machine.apply({ kind: 'server.observe', server }, 1)
    }
    machine.apply({ kind: 'weights.name', model: 'm', version: 2 }, 2)
    timers.advance(9_000)
    expect(lines).to.deep.equal([
      {
        event: 'weights.expired',
        server: 'a',
        model: 'm',
        version: 1,
        newerAgeMs: 7_100,
        expired: 1,
      },
    ])
    const countOrder = createOrderCounter(metrics)
    countOrder('taken')
    const text = await metrics.render()
    expect(text).to.match(/weight_orders(_total)?\{[^}]*outcome="taken"[^}]*\} 1/)
    expect(text).to.match(/expired_engines(\{[^}]*\})? 1/)
    expect(text).to.match(/loading_engines(\{[^}]*\})? 1/)
    monitor.close()
    await metrics.close()
  })
})
