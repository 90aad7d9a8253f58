import { toTeamId } from '@spoolgate/core'
import type { TeamEntry } from '@spoolgate/routing'
import { expect } from 'chai'
import type { DirectCall } from '../direct/protocols.js'
import { hashRequest } from '../direct/requestFingerprint.js'

const CALL: DirectCall = {
  id: 'r-1',
  method: 'POST',
  host: 'desk.example',
  target: '/ask/x?y=1',
  key: 'a-secret-key',
  waitMs: 1_000,
  tokenCount: undefined,
  prompt: undefined,
  lastEventId: undefined,
  resumes: undefined,
  headers: [['X-Trace', '1']],
}
const TEAM: TeamEntry = { id: toTeamId('team-a'), keys: [], isIsolated: false, priority: 1 }
const BODY = Buffer.from('a private question')

describe('request fingerprint', () => {
  const hash = (
    change: Partial<DirectCall> = {},
    body = BODY,
    team: TeamEntry | undefined = TEAM,
  ) => hashRequest({ call: { ...CALL, ...change }, team }, { blocks: [body] })

  it('is the same for a retry, regardless of its id, headers, deadline, key and host case', () => {
    const retry = { id: 'r-2', waitMs: 5, headers: [], key: 'a-newer-key', host: 'DESK.example' }
    expect(hash(retry)).to.equal(hash())
  })

  it('differs by method, host, path, body and caller', () => {
    const others = [
      hash({ target: '/ask/x?y=2' }),
      hash({ method: 'PUT' }),
      hash({ host: 'other.example' }),
      hash({}, Buffer.from('another question')),
      hash({}, BODY, { ...TEAM, id: toTeamId('team-b') }),
      hash({}, Buffer.concat([Buffer.from('0'), BODY])),
    ]
    expect(new Set([hash(), ...others]).size).to.equal(others.length + 1)
  })

  it('counts all callers without a team as one, regardless of their keys', () => {
    const hashOpen = (key: string | undefined) =>
      hashRequest({ call: { ...CALL, key }, team: undefined }, { blocks: [BODY] })
    expect(new Set([hashOpen('k'), hashOpen('l'), hashOpen(undefined)]).size).to.equal(1)
    expect(hashOpen('k')).to.not.equal(hash())
  })

  it('shares a prefix per caller, and has a fixed format that exposes neither key nor content', () => {
    const [caller] = hash().split('.')
    expect(hash({ target: '/other' }).split('.')[0]).to.equal(caller)
    expect(hash()).to.match(/^[\w-]{6}\.[\w-]{16}$/)
  })
})
