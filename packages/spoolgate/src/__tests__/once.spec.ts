import { BODY_LIMITS, readBody } from '@spoolgate/core'
import { expect } from 'chai'
import type { LocalFleet } from '../index.js'
import { createCuttableLink, createTestFleet, sendReceipt, type CuttableLink } from './fixtures.js'

describe('unrepeatable requests', () => {
  let fleet: LocalFleet
  let link: CuttableLink | undefined

  afterEach(async () => {
    await fleet.close()
    await link?.close()
    link = undefined
  })

  const countRuns = (body: string) =>
    fleet.services.reduce((sum, service) => sum + (service.executions.get(body) ?? 0), 0)

  const createLinkedFleet = async (routers = 1) => {
    link = await createCuttableLink(() => Number(new URL(fleet.sidecars[2]?.url ?? '').port))
    const url = link.url
    fleet = await createTestFleet({
      routers,
      adjust: (config) => ({
        ...config,
        backendServers: config.backendServers?.map((server) =>
          server.kind === 'service' ? { ...server, sidecarUrl: url } : server,
        ),
      }),
    })
  }

  it('runs a receipt once for resends to three routers at once', async () => {
    fleet = await createTestFleet({ routers: 3, services: 2 })
    const sends = [0, 1, 2, 0, 1, 2].map((router) => sendReceipt(fleet, 'kvittun', 'key-1', router))
    const answers = await Promise.all(sends)
    for (const answer of answers) {
      expect(answer.status).to.equal(200)
      expect(answer.body).to.deep.equal(answers[0].body)
    }
    expect(countRuns('kvittun')).to.equal(1)
  })

  it('returns the kept answer to a resend, and refuses another body under the same key', async () => {
    fleet = await createTestFleet({ services: 2 })
    const first = await sendReceipt(fleet, 'receipt a', 'key-2')
    const again = await sendReceipt(fleet, 'receipt a', 'key-2')
    const other = await sendReceipt(fleet, 'receipt b', 'key-2')
    expect(again).to.deep.equal(first)
    expect(other.status).to.equal(409)
    expect(other.body.error).to.include({ code: 'conflict', not_run: true })
    expect(countRuns('receipt a')).to.equal(1)
    expect(countRuns('receipt b')).to.equal(0)
  })

  it('says not run when the service cannot be reached, and that is true', async () => {
    fleet = await createTestFleet({ services: 1 })
    await fleet.services[0].crash()
    const refused = await sendReceipt(fleet, 'unreached', 'key-3')
    expect(refused.status).to.equal(503)
    expect(refused.body.error).to.include({ not_run: true })
    expect(countRuns('unreached')).to.equal(0)
    await fleet.services[0].restart()
    await fleet.sidecars[2]?.close(0)
    await fleet.startSidecar(2)
    const later = await sendReceipt(fleet, 'unreached', 'key-3')
    expect(later.status).to.equal(200)
    expect(countRuns('unreached')).to.equal(1)
  })

  it('learns the outcome when the connection breaks before the answer', async () => {
    await createLinkedFleet()
    const sent = sendReceipt(fleet, 'broken', 'key-4')
    const executed = async () => {
      while (countRuns('broken') === 0) await new Promise((resolve) => setImmediate(resolve))
      link?.cut()
    }
    const [answer] = await Promise.all([sent, executed()])
    expect(answer.status).to.equal(200)
    expect(countRuns('broken')).to.equal(1)
  })

  /** Hands a dispatch to the sidecar of the service, as a router would. */
  const sendDispatch = async (dispatch: object, body: string, overrides: object = {}) => {
    const sidecar = fleet.sidecars[2]
    const header = {
      request: `req-${body}`,
      attempt: 1,
      team: 'team-0',
      scope: '',
      configVersion: sidecar?.config.version(),
      method: 'POST',
      path: '/receipts',
      contentType: 'application/json',
      priority: 5,
      share: 1,
      dispatch,
      ...overrides,
    }
    const reply = await fleet.client.send({
      method: 'POST',
      url: `${sidecar?.url}/calls`,
      headers: {
        authorization: `Bearer ${fleet.processKey}`,
        'x-spoolgate-call': JSON.stringify(header),
      },
      body,
    })
    return { status: reply.statusCode, body: await readBody(reply, BODY_LIMITS.call) }
  }

  it('bars a dispatch that was asked about before it arrived', async () => {
    fleet = await createTestFleet()
    const sidecar = fleet.sidecars[2]
    const dispatch = { claim: 'team-0/late', number: 1, incarnation: sidecar?.incarnation }
    const state = await fleet.client.sendJson<{ state: string }>({
      method: 'POST',
      url: `${sidecar?.url}/dispatches`,
      headers: { authorization: `Bearer ${fleet.processKey}` },
      json: dispatch,
    })
    expect(state.state).to.equal('barred')
    const late = await sendDispatch(dispatch, 'late')
    expect(late.status).to.equal(409)
    expect(String(late.body)).to.include('dispatchBarred')
    expect(countRuns('late')).to.equal(0)
  })

  it('runs a dispatch once though it arrives twice, and never one of another incarnation', async () => {
    fleet = await createTestFleet()
    const incarnation = fleet.sidecars[2]?.incarnation
    const dispatch = { claim: 'team-0/twice', number: 1, incarnation }
    const replies = await Promise.all([1, 2].map(() => sendDispatch(dispatch, 'twice')))
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200])
    expect(replies[0].body.equals(replies[1].body)).to.equal(true)
    expect(countRuns('twice')).to.equal(1)

    const old = await sendDispatch({ ...dispatch, number: 2, incarnation: 'earlier' }, 'old')
    expect(old.status).to.equal(409)
    expect(String(old.body)).to.include('wrongIncarnation')
    expect(countRuns('old')).to.equal(0)
  })

  it('runs nothing that was routed under an older configuration', async () => {
    fleet = await createTestFleet()
    const sidecar = fleet.sidecars[2]
    const dispatch = { claim: 'team-0/old', number: 1, incarnation: sidecar?.incarnation }
    const configVersion = (sidecar?.config.version() ?? 0) - 1
    const reply = await sendDispatch(dispatch, 'older', { configVersion })
    expect(reply.status).to.equal(409)
    expect(String(reply.body)).to.include('olderConfiguration')
    expect(countRuns('older')).to.equal(0)
  })

  it('names the next incarnation when a sidecar has restarted', async () => {
    fleet = await createTestFleet()
    await sendReceipt(fleet, 'warm', 'key-5')
    await fleet.sidecars[2]?.close(0)
    await fleet.startSidecar(2)
    // The router still names the old incarnation: the new one declines, and is then named itself.
    const answer = await sendReceipt(fleet, 'after', 'key-6')
    expect(answer.status).to.equal(200)
    expect(countRuns('after')).to.equal(1)
  })

  it('says unknown, and stays with it, when the sidecar died while the call ran', async () => {
    // The service takes longer than the sidecar takes to die, so that no answer can come first.
    fleet = await createTestFleet({ services: 1, serviceDelayMs: 5_000 })
    const sent = sendReceipt(fleet, 'lost', 'key-7')
    while (countRuns('lost') === 0) await new Promise((resolve) => setImmediate(resolve))
    await fleet.sidecars[2]?.close(0)
    await fleet.startSidecar(2)
    const answer = await sent
    const again = await sendReceipt(fleet, 'lost', 'key-7')
    for (const { status, body } of [answer, again]) {
      expect(status).to.equal(502)
      expect(body.error).to.include({ code: 'outcomeUnknown', not_run: false })
    }
    expect(countRuns('lost')).to.equal(1)
  })

  it('lets another router finish what a router left behind', async () => {
    fleet = await createTestFleet({ routers: 2 })
    const sent = sendReceipt(fleet, 'orphan', 'key-8', 0).catch(() => undefined)
    while (countRuns('orphan') === 0) await new Promise((resolve) => setImmediate(resolve))
    await fleet.routers[0]?.close(0)
    await sent
    const answer = await sendReceipt(fleet, 'orphan', 'key-8', 1)
    expect(answer.status).to.equal(200)
    expect(countRuns('orphan')).to.equal(1)
  })
})
