import {
  createLogger,
  createManualTimerService,
  createRandomSource,
  SpoolgateError,
  type HttpClient,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createTableFetcher } from '../registry/tableFetcher.js'
import type { TableRequest } from '../registry/tableSource.js'
import { applyTableUpdate, buildTableUpdate, type VersionedTable } from '../table/tableUpdate.js'

const STEP_MS = 5
const buildTable = (version: number): VersionedTable => ({
  version,
  document: `{"v":${version}}${'{"same":1}'.repeat(50)}`,
})

/** A router that fetches tables from instances that reply with the result of `answer`. */
function createRouter(
  answer: (request: TableRequest, url: string) => unknown,
  first: VersionedTable | undefined,
) {
  const timers = createManualTimerService()
  const stopping = new AbortController()
  const lines: string[] = []
  const asked: TableRequest[] = []
  let held = first
  const sendJson = (async ({ url, json }: { url: string; json: TableRequest }) => {
    asked.push(json)
    return answer(json, url)
  }) as HttpClient['sendJson']
  const fetcher = createTableFetcher({
    listInstances: () => ['http://a', 'http://b', 'http://c'],
    client: { sendJson } as HttpClient,
    timers,
    random: createRandomSource(1),
    logger: createLogger({ write: (line) => void lines.push(line) }),
    heldVersion: () => held?.version ?? -1,
    onUpdate: (update) => {
      const next = applyTableUpdate(held, update)
      held = next ?? held
      return next !== undefined
    },
    stopping: stopping.signal,
  })
  const run = async (duration: number) => {
    for (let spent = 0; spent < duration; spent += STEP_MS) {
      timers.advance(STEP_MS)
      for (let turn = 0; turn < 4; turn += 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }
  return {
    fetcher,
    run,
    asked,
    lines,
    held: () => held,
    put: (next: VersionedTable) => (held = next),
  }
}

describe('a router that fetches a large table', () => {
  it('asks the next instance if one does not have the version yet', async () => {
    const newest = buildTable(8)
    const router = createRouter((_request, url) => {
      if (url.startsWith('http://c')) return buildTableUpdate(undefined, newest)
      throw new SpoolgateError('controlUnavailable', 'no newer table here yet')
    }, buildTable(7))
    router.fetcher.requestVersion(8)
    await router.run(500)
    expect(router.held()).to.deep.equal(newest)
  })

  it('also fetches a version that is reported during a fetch', async () => {
    let newest = 8
    const router = createRouter(({ heldVersion }) => {
      const update = buildTableUpdate(buildTable(heldVersion), buildTable(newest))
      if (newest === 8) queueMicrotask(() => router.fetcher.requestVersion(9))
      newest = 9
      return update
    }, buildTable(7))
    router.fetcher.requestVersion(8)
    await router.run(500)
    expect(router.held()?.version).to.equal(9)
  })

  it('requests the full table after an update that does not apply, and logs an error', async () => {
    const router = createRouter(
      ({ heldVersion }) =>
        heldVersion === -1
          ? buildTableUpdate(undefined, buildTable(8))
          : { ...buildTableUpdate(buildTable(7), buildTable(8)), digest: 'wrong' },
      buildTable(7),
    )
    router.fetcher.requestVersion(8)
    await router.run(2_000)
    expect(router.held()?.version).to.equal(8)
    expect(router.asked.map(({ heldVersion }) => heldVersion)).to.deep.equal([7, -1])
    expect(router.lines.filter((line) => line.includes('table.unfit'))).to.have.length(1)
  })

  it('discards an update that is older than the table from the feed', async () => {
    const router = createRouter(({ heldVersion }) => {
      const update = buildTableUpdate(buildTable(heldVersion), buildTable(8))
      router.put(buildTable(9))
      return update
    }, buildTable(7))
    router.fetcher.requestVersion(8)
    await router.run(500)
    expect(router.held()?.version).to.equal(9)
    expect(router.lines).to.have.length(0)
  })
})
