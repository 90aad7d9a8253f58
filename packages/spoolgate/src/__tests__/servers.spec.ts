import { expect } from 'chai'
import { formatVersions } from '../node/cli/versionsCommand.js'
import { formatServers } from '../node/cli/serversCommand.js'

describe('the table of the servers', () => {
  it('tells a server without evidence from one as fast as its group', () => {
    const softwareVersion = 'v2'
    const base = {
      softwareVersion,
      group: 'g',
      hall: 'h',
      state: 'ready',
      calls: 2,
      promptTokens: 9_190,
    }
    const text = formatServers([
      { ...base, server: 'a@1', percent: 60, ageMs: 340, perSecond: 4, backoffs: 2 },
      { ...base, server: 'b@1', percent: null, ageMs: null, perSecond: null, backoffs: 0 },
    ])
    const [, first, second] = text.split('\n').map((line) => line.split(/ {2,}/))
    expect(first).to.deep.equal([
      'a@1',
      'h',
      'v2',
      'ready',
      '0.60',
      '2',
      '9190',
      '0.3 s',
      '4/s',
      '2 routers',
    ])
    expect(second).to.deep.equal(['b@1', 'h', 'v2', 'ready', '-', '2', '9190', '-', '-', '-'])
  })
})

describe('the table of the software versions', () => {
  it('has a row for each version of a group, and says which are not used yet', () => {
    const base = { group: 'g', ready: 2, draining: 1, calls: 5 }
    const text = formatVersions([
      { ...base, version: 'v1', isOpen: true },
      { ...base, version: 'v1.1', ready: 0, draining: 0, calls: 0, isOpen: false },
    ])
    const [, first, second] = text.split('\n').map((line) => line.split(/ {2,}/))
    expect(first).to.deep.equal(['g', 'v1', '2', '1', '5', 'open'])
    expect(second.at(-1)).to.equal('held until all routers know it')
  })
})
