import { resolveFleetConfig, type TeamParameters } from '@spoolgate/config'
import { createShareLedger, type ShareRequest } from '@spoolgate/control'
import {
  createInvariants,
  createManualTimerService,
  createQuietLogger,
  createRandomSource,
  SpoolgateError,
  toTeamId,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createTeamLimits, type TeamLimits } from '../limits/teamLimits.js'

const TEAM = toTeamId('team')
const LIMIT = 12

describe('team limits', () => {
  const timers = createManualTimerService()
  const logger = createQuietLogger()
  const fleet = resolveFleetConfig(
    { teams: [{ id: TEAM, parameters: { concurrentRequests: LIMIT } }] },
    1,
  )._unsafeUnwrap()
  const parameters = fleet.teams.get(TEAM)?.parameters as TeamParameters
  const createLedger = () =>
    createShareLedger({
      timers,
      invariants: createInvariants({ logger, fatal: true }),
      findParameters: (team) => fleet.teams.get(team)?.parameters,
    })

  const createRouters = (count: number) => {
    const ledger = createLedger()
    timers.advance(10_000)
    const link = { isUp: true }
    const request = async (_method: string, _path: string, json?: unknown) => {
      if (!link.isUp) throw new SpoolgateError('controlUnavailable', 'cut')
      return ledger.grant(json as ShareRequest) as never
    }
    const routers = Array.from({ length: count }, (_, index) =>
      createTeamLimits({ router: `r${index}`, control: { request }, timers, logger }),
    )
    return { routers, link, ledger }
  }
  const tryAdmit = (router: TeamLimits) =>
    router.admit(TEAM, parameters, 0).then(
      (release) => release,
      () => undefined,
    )

  it('never exceed the limit in total while demand moves, and let one router use all of it', async () => {
    const { routers } = createRouters(4)
    const random = createRandomSource(3)
    const running: (() => void)[] = []
    let maxRunning = 0
    for (let step = 0; step < 2_000; step += 1) {
      // Demand moves from router to router.
      const router = routers[Math.floor(step / 500) % routers.length]
      const release = random.next() < 0.7 ? await tryAdmit(router) : undefined
      if (release) running.push(release)
      if (random.next() < 0.6) running.splice(random.nextInt(running.length || 1), 1)[0]?.()
      maxRunning = Math.max(maxRunning, running.length)
      timers.advance(20)
    }
    expect(maxRunning).to.equal(LIMIT)
    routers.forEach((router) => router.close())
  })

  it('refuse after the shares expire without control, and admit again once it is back', async () => {
    const { routers, link } = createRouters(1)
    const [router] = routers
    expect(await tryAdmit(router)).to.be.a('function')
    link.isUp = false
    timers.advance(3_000)
    expect(await tryAdmit(router)).to.be.a('function')
    timers.advance(3_000)
    expect(await tryAdmit(router)).to.equal(undefined)
    link.isUp = true
    expect(await tryAdmit(router)).to.be.a('function')
    router.close()
  })

  it('refuse after the shares expire while the machine is suspended and control is unreachable', async () => {
    const { routers, link } = createRouters(1)
    const [router] = routers
    expect(await tryAdmit(router)).to.be.a('function')
    link.isUp = false
    timers.suspend(6_000)
    expect(await tryAdmit(router)).to.equal(undefined)
    router.close()
  })

  it('get no shares from a new leader until earlier shares have expired', () => {
    const ledger = createLedger()
    const requestShare = () =>
      ledger.grant({ router: 'r', demands: { [TEAM]: { concurrentRequests: 4 } } }).shares[TEAM]
    timers.advance(10_000)
    expect(requestShare().concurrentRequests).to.equal(LIMIT)
    ledger.reset()
    expect(requestShare().concurrentRequests).to.equal(0)
    timers.advance(10_000)
    expect(requestShare().concurrentRequests).to.equal(LIMIT)
  })
})
