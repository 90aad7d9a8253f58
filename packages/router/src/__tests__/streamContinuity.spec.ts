import { VERSIONS_MAX_AGE_MS, type FleetView, type RegisteredServer } from '@spoolgate/control'
import {
  createManualTimerService,
  createMetrics,
  createQuietLogger,
  SpoolgateError,
  toSoftwareVersion,
  toTeamId,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { Subject } from 'rxjs'
import type { CallPlan } from '../direct/callTypes.js'
import { createRecordLookup } from '../streams/recordLookup.js'
import { rankHolders, RECORD_COPIES } from '../streams/recordHolders.js'
import {
  decodeLookup,
  decodeRecords,
  encodeRecord,
  TAKEN_STATUS,
} from '../streams/recordMessages.js'
import { createRecordSender } from '../streams/recordSender.js'
import { createStreamContinuity } from '../streams/streamContinuity.js'
import { createStreamRecords, hashStreamKey } from '../streams/streamRecords.js'

const OLD = toSoftwareVersion('v1')
const NEW = toSoftwareVersion('v1.1')
const ROUTERS = 9
const SEVERAL = { g: [OLD, NEW] }

interface CallChange {
  readonly id?: string
  readonly resumes?: string
  readonly lastEventId?: string
  readonly team?: string
  readonly repeatability?: string
}

function buildPlan({ team = 'team-a', repeatability = 'resumable', ...call }: CallChange) {
  const group = { name: 'g' }
  const route = { name: 'r', repeatability, targets: [{ group: 'g', weight: 1 }] }
  const view = { index: { findGroup: () => group } }
  const plan = { call: { id: 'x', waitMs: 10_000, ...call }, view, route, group, arrivedAt: 0 }
  return { ...plan, deadline: 1e9, team: { id: toTeamId(team) } } as unknown as CallPlan
}

/** Routers that exchange records in memory. */
function createRouters(options: { versions?: FleetView['softwareVersions'] } = {}) {
  const timers = createManualTimerService()
  const urls = Array.from({ length: ROUTERS }, (_, index) => `http://10.0.0.${index + 1}:7341`)
  const failed = new Set<string>()
  const state = { versions: options.versions ?? SEVERAL, viewAgeMs: 0, isDelayed: false }
  const recordsByUrl = new Map(urls.map((url) => [url, createStreamRecords(timers)]))
  const delayed: (() => void)[] = []
  const findRecords = (url: string) => {
    const { origin } = new URL(url)
    const records = recordsByUrl.get(origin)
    if (!records || failed.has(origin)) throw new Error('connection refused')
    return records
  }
  const sendJson = async ({ url, json }: { url: string; json?: unknown }): Promise<unknown> => {
    const found = decodeLookup(json).map(findRecords(url).find)
    return { records: found.flatMap((record) => (record ? [encodeRecord(record)] : [])) }
  }
  const send = async ({ url, body }: { url: string; body?: unknown }): Promise<unknown> => {
    const records = findRecords(url)
    const sent = decodeRecords(JSON.parse(String(body)))
    const add = () => sent.forEach((record) => records.add(record))
    if (state.isDelayed) delayed.push(add)
    else add()
    return { statusCode: TAKEN_STATUS, resume: () => {} }
  }
  const client = { send, sendJson } as Pick<HttpClient, 'send' | 'sendJson'>
  const logger = createQuietLogger()
  const changes = new Subject<FleetView>()
  const routers = urls.map((ownUrl) => {
    const listPeers = () => urls
    const common = { ownUrl, listPeers, client, logger, timers }
    const sender = createRecordSender({ ...common, countMessage: () => {} })
    const records = recordsByUrl.get(ownUrl)
    if (!records) throw new Error('unreachable')
    const continuity = createStreamContinuity({
      records,
      exchange: { send: sender.send, find: createRecordLookup(common) },
      feed: {
        current: () => ({ softwareVersions: state.versions }) as unknown as FleetView,
        viewAgeMs: () => state.viewAgeMs,
        listPeers,
        changes,
      },
      timers,
      metrics: createMetrics('router'),
    })
    return { ...continuity, url: ownUrl, waitUntilIdle: sender.waitUntilIdle }
  })
  return { timers, routers, urls, failed, state, delayed, changes }
}

type Routers = ReturnType<typeof createRouters>

const server = (version: typeof OLD) => ({ softwareVersion: version }) as RegisteredServer

async function startStream({ routers }: Routers, change: CallChange, version = OLD): Promise<void> {
  routers[0].recordStart(buildPlan(change), server(version))
  await Promise.resolve()
  await routers[0].waitUntilIdle()
}

/** Takes a stream up, and lets time pass until its version is found or it is refused. */
async function takeUp({ timers, routers }: Routers, change: CallChange, index = 1) {
  let outcome: unknown
  const plan = buildPlan({ id: 'y', lastEventId: '3', ...change })
  const resolving = routers[index]
    .resolvePin(plan, () => {})
    .then(
      ({ version }) => (outcome = version),
      (error) => (outcome = error instanceof SpoolgateError ? error.kind : error),
    )
  for (let turn = 0; turn < 50 && outcome === undefined; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve))
    timers.advance(10)
  }
  await resolving
  return outcome
}

describe('taking up a stream beside several software versions', () => {
  it('continues at the version that began it, at each other router', async () => {
    const setup = createRouters()
    await startStream(setup, { id: 'a' }, OLD)
    await startStream(setup, { id: 'b' }, NEW)
    for (let index = 0; index < ROUTERS; index += 1) {
      expect(await takeUp(setup, { resumes: 'a' }, index)).to.equal(OLD)
      expect(await takeUp(setup, { resumes: 'b' }, index)).to.equal(NEW)
    }
  })

  it('is not lost with the router that began it and all but one of the holders of its record', async () => {
    const setup = createRouters()
    const { urls, failed, routers } = setup
    await startStream(setup, { id: 'a' })
    const holders = rankHolders(hashStreamKey(toTeamId('team-a'), 'a'), urls, urls[0])
    failed.add(urls[0])
    for (const url of holders.slice(0, RECORD_COPIES - 1)) failed.add(url)
    for (const [index, { url }] of routers.entries())
      if (!failed.has(url)) expect(await takeUp(setup, { resumes: 'a' }, index)).to.equal(OLD)
  })

  it('is not lost with holders that had failed before it began', async () => {
    const setup = createRouters()
    const { urls, failed } = setup
    const holders = rankHolders(hashStreamKey(toTeamId('team-a'), 'a'), urls, urls[0])
    for (const url of holders.slice(0, RECORD_COPIES)) failed.add(url)
    await startStream(setup, { id: 'a' })
    failed.add(urls[0])
    const last = urls.indexOf(holders.at(-1) ?? '')
    expect(await takeUp(setup, { resumes: 'a' }, last)).to.equal(OLD)
  })

  it('finds a record that is still on its way when the stream is taken up', async () => {
    const setup = createRouters()
    setup.state.isDelayed = true
    await startStream(setup, { id: 'a' })
    setup.timers.after(50).subscribe(() => setup.delayed.forEach((add) => add()))
    expect(await takeUp(setup, { resumes: 'a' })).to.equal(OLD)
  })

  it('is refused if the version is not known, never continued at another', async () => {
    const setup = createRouters()
    await startStream(setup, { id: 'a' })
    const refused = 'streamNotResumable'
    expect(await takeUp(setup, { resumes: 'unknown' })).to.equal(refused)
    expect(await takeUp(setup, {})).to.equal(refused)
    expect(await takeUp(setup, { resumes: 'a', team: 'team-b' })).to.equal(refused)
    setup.timers.advance(16_000)
    expect(await takeUp(setup, { resumes: 'a' })).to.equal(refused)
  })

  it('is refused if several streams with its id began at different versions', async () => {
    const setup = createRouters()
    await startStream(setup, { id: 'a' }, OLD)
    await startStream(setup, { id: 'a' }, NEW)
    for (const index of [0, 1, 2])
      expect(await takeUp(setup, { resumes: 'a' }, index)).to.equal('streamNotResumable')
  })

  it('needs no record while a recent state has one version, and one of an old state does not count', async () => {
    const setup = createRouters({ versions: { g: [OLD] } })
    expect(await takeUp(setup, { resumes: 'a' })).to.equal(OLD)
    expect(await takeUp(setup, {})).to.equal(OLD)
    setup.state.viewAgeMs = VERSIONS_MAX_AGE_MS + 1
    expect(await takeUp(setup, { resumes: 'a' })).to.equal('streamNotResumable')
  })

  it('sends the records of streams that began before a second version was listed', async () => {
    const setup = createRouters({ versions: { g: [OLD] } })
    await startStream(setup, { id: 'a' })
    setup.state.versions = SEVERAL
    expect(await takeUp(setup, { resumes: 'a' })).to.equal('streamNotResumable')
    setup.changes.next({} as FleetView)
    await setup.routers[0].waitUntilIdle()
    expect(await takeUp(setup, { resumes: 'a' })).to.equal(OLD)
  })

  it('concerns only requests that resume a stream of a resumable route', async () => {
    const setup = createRouters()
    const begin = { lastEventId: undefined }
    const resolve = async (change: CallChange) =>
      (await setup.routers[1].resolvePin(buildPlan(change), () => {})).version
    expect(await resolve(begin)).to.equal(undefined)
    expect(await resolve({ lastEventId: '3', repeatability: 'once' })).to.equal(undefined)
  })
})
