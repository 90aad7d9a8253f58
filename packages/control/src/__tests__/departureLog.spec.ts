import { createLogger, createMetrics, toServerName } from '@spoolgate/core'
import { expect } from 'chai'
import { createLoggedOperations } from '../registry/departureLog.js'
import type { FleetOperationRunner } from '../registry/fleetOperations.js'
import type { ServerResult } from '../state/serverState.js'
import { buildServer } from './heartbeatGroup.js'

describe('the log of departures', () => {
  it('has the first acknowledgement of each by an instance, and none that was not given', async () => {
    const lines: string[] = []
    const metrics = createMetrics('control')
    let result: ServerResult | undefined
    const run = async () => {
      if (!result) throw new Error('no leader')
      return result
    }
    const { run: runLogged } = createLoggedOperations({
      operations: { run } as unknown as Pick<FleetOperationRunner, 'run'>,
      logger: createLogger({ write: (line) => lines.push(line) }),
      metrics,
    })
    const draining = { server: buildServer('a', 1_000, { phase: 'draining' }), count: 7 }
    await runLogged('observeServer', draining).catch(() => {})
    expect(lines).to.deep.equal([])
    result = { phase: 'draining', isRegistered: false }
    for (let turn = 0; turn < 2; turn += 1) await runLogged('observeServer', draining)
    result = { phase: 'gone' }
    await runLogged('retireServer', { name: toServerName('a'), startedAt: 1_000 })
    result = { phase: 'ready' }
    await runLogged('observeServer', { server: buildServer('a') })
    expect(lines.map((line) => line.split('event=')[1])).to.deep.equal([
      'server.departureAcknowledged server=a@1000 phase=draining count=7 registered=no',
      'server.departureAcknowledged server=a@1000 phase=gone count=- registered=gone',
    ])
    expect(await metrics.render()).to.include('departures_acknowledged_total{phase="gone"')
    await metrics.close()
  })
})
