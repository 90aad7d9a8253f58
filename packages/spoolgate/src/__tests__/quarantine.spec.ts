import { toBackendServerId, toPromptPartId, toRequestFingerprint } from '@spoolgate/core'
import { expect } from 'chai'
import { formatQuarantine } from '../node/cli/quarantineCommand.js'

describe('the table of what is in quarantine', () => {
  it('shows since when, why and until when a part is refused', () => {
    const text = formatQuarantine({
      parts: [
        {
          part: toPromptPartId('5c1e07a2'),
          round: 1,
          since: Date.UTC(2026, 11, 3, 22),
          servers: [toBackendServerId('a@1'), toBackendServerId('b@1')],
          chance: 1e-8,
          trialInMs: 599_100,
          rejections: 7,
        },
      ],
      requests: [{ request: toRequestFingerprint('c.1'), round: 2 }],
    })
    const [, part, request] = text.split('\n').map((row) => row.split(/ {2,}/))
    expect(part).to.deep.equal([
      'part',
      '5c1e07a2',
      '1',
      '2026-12-03T22:00:00.000Z',
      '7',
      '600 s',
      'a@1 b@1',
    ])
    expect(request.slice(0, 3)).to.deep.equal(['request', 'c.1', '2'])
  })

  it('says so where nothing is', () => {
    expect(formatQuarantine({ parts: [], requests: [] })).to.equal('nothing is in quarantine')
  })
})
