import { expect } from 'chai'
import { createMetrics } from '../metrics.js'

describe('a gauge', () => {
  it('is 0 once it is removed, and read again once it is created anew', async () => {
    const metrics = createMetrics('test')
    metrics.gauge('depth', 'Depth', () => 1)
    expect(await metrics.render()).to.match(/^spoolgate_depth 1$/m)
    metrics.removeGauges()
    expect(await metrics.render()).to.match(/^spoolgate_depth 0$/m)
    metrics.gauge('depth', 'Depth', () => 2)
    expect((await metrics.render()).match(/^spoolgate_depth .*$/gm)).to.deep.equal([
      'spoolgate_depth 2',
    ])
    await metrics.close()
  })
})
