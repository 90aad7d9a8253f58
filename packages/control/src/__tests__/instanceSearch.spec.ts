import {
  ConnectionError,
  createLogger,
  createManualTimerService,
  createRandomSource,
  SpoolgateError,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createInstanceSearch, type InstanceAnswer } from '../registry/instanceSearch.js'

const STEP_MS = 10

/** Response of an instance to its n-th request. */
type ResponsePlan = (ask: number) => { afterMs: number; failure?: unknown }

const SILENCE = Infinity

/** Creates a search among simulated instances. */
function createSearch(instances: Record<string, ResponsePlan>) {
  const timers = createManualTimerService()
  const stopping = new AbortController()
  const lines: string[] = []
  const asks = new Map<string, number>()
  const open = new Map<string, number>()
  let mostOpen = 0
  const count = (map: Map<string, number>, url: string, change: number) => {
    map.set(url, (map.get(url) ?? 0) + change)
    return map.get(url) as number
  }
  const sendRequest = (url: string, signal: AbortSignal) =>
    new Promise<string>((resolve, reject) => {
      const number = count(asks, url, 1)
      mostOpen = Math.max(mostOpen, count(open, url, 1))
      const { afterMs, failure } = instances[url](number)
      const end = (finish: () => void) => {
        count(open, url, -1)
        finish()
      }
      signal.addEventListener(
        'abort',
        () => end(() => reject(new ConnectionError('gave up', false, true))),
        { once: true },
      )
      if (afterMs === SILENCE) return
      timers.after(afterMs).subscribe(() => {
        if (signal.aborted) return
        end(() => (failure === undefined ? resolve(`answer ${number} of ${url}`) : reject(failure)))
      })
    })
  const search = createInstanceSearch({
    listInstances: () => Object.keys(instances),
    send: sendRequest,
    timers,
    random: createRandomSource(1),
    logger: createLogger({ write: (line) => void lines.push(line) }),
    logEvent: 'control.searching',
    describeState: () => ({ tableVersion: undefined }),
    stopping: stopping.signal,
  })
  let found: InstanceAnswer<string> | undefined
  const recordFound = (result: InstanceAnswer<string> | undefined) => void (found = result)
  const run = async (duration: number) => {
    for (let spent = 0; spent < duration && !found; spent += STEP_MS) {
      timers.advance(STEP_MS)
      for (let turn = 0; turn < 4; turn += 1) await new Promise((done) => setImmediate(done))
    }
  }
  const finish = async () => {
    stopping.abort()
    await run(20_000)
  }
  return {
    search,
    asks,
    lines,
    recordFound,
    run,
    finish,
    found: () => found,
    mostOpen: () => mostOpen,
  }
}

const refuse = (leaderUrl?: string) => ({
  afterMs: STEP_MS,
  failure: new SpoolgateError('notLeader', 'ask the leader', { details: { leaderUrl } }),
})

describe('instance search', () => {
  it('accepts the answer of a slow leader without sending it a second request', async () => {
    const scene = createSearch({
      slow: () => ({ afterMs: 900 }),
      other: () => refuse('slow'),
    })
    void scene.search.run().then(scene.recordFound)
    await scene.run(3_000)
    expect(scene.found()).to.deep.equal({ url: 'slow', answer: 'answer 1 of slow' })
    expect(scene.asks.get('slow')).to.equal(1)
  })

  it('accepts the late answer to a poll that timed out', async () => {
    const scene = createSearch({
      slow: () => ({ afterMs: 700 }),
      other: () => refuse('slow'),
    })
    let polled: unknown = 'pending'
    const polling = scene.search.requestFrom('slow', 500).then((answer) => {
      polled = answer
      return scene.search.run()
    })
    void polling.then(scene.recordFound)
    await scene.run(3_000)
    expect(polled).to.equal(undefined)
    expect(scene.found()?.answer).to.equal('answer 1 of slow')
  })

  it('sends a second request within 2 s to a leader whose connection went silent', async () => {
    const scene = createSearch({
      leader: (ask) => ({ afterMs: ask === 1 ? SILENCE : STEP_MS }),
      other: () => refuse('leader'),
    })
    void scene.search.run().then(scene.recordFound)
    await scene.run(2_000)
    expect(scene.found()?.answer).to.equal('answer 2 of leader')
  })

  it('is not delayed by unreachable instances', async () => {
    const scene = createSearch({
      gone1: () => ({ afterMs: SILENCE }),
      gone2: () => ({ afterMs: SILENCE }),
      leader: () => ({ afterMs: STEP_MS }),
    })
    void scene.search.run().then(scene.recordFound)
    await scene.run(1_000)
    expect(scene.found()?.url).to.equal('leader')
  })

  it('keeps at most three requests open per instance, and logs why there is no answer', async () => {
    const scene = createSearch({ gone: () => ({ afterMs: SILENCE }), other: () => refuse() })
    void scene.search.run().then(scene.recordFound)
    await scene.run(10_000)
    expect(scene.mostOpen()).to.equal(3)
    const reports = scene.lines.filter((line) => line.includes('event=control.searching'))
    expect(reports.length).to.be.within(5, 10)
    expect(reports.at(-1)).to.include('silent').and.to.include('notLeader: ask the leader')
    await scene.finish()
  })

  it('contacts the leader named by an instance before any others', async () => {
    const scene = createSearch({
      a: () => refuse('leader'),
      b: () => refuse('leader'),
      c: () => refuse('leader'),
      leader: () => ({ afterMs: STEP_MS }),
    })
    void scene.search.run().then(scene.recordFound)
    await scene.run(100)
    expect(scene.found()?.url).to.equal('leader')
    const others = ['a', 'b', 'c'].map((url) => scene.asks.get(url) ?? 0)
    expect(others.reduce((sum, each) => sum + each, 0)).to.be.at.most(1)
  })
})
