import { resolveFleetConfig, type Fleet } from '@spoolgate/config'
import {
  ConnectionError,
  createManualTimerService,
  createQuietLogger,
  waitFor,
  type HttpClient,
  type HttpRequest,
  type ManualTimerService,
} from '@spoolgate/core'
import { expect } from 'chai'
import type { RaftMember } from '../raft/types.js'
import { createOrderRunner, type OrderRunner } from '../server/orderRunner.js'
import { createControlStateMachine, type ControlStateMachine } from '../state/controlMachine.js'
import { MAX_CONCURRENT_WEIGHT_LOADS, type Order } from '../state/orderState.js'

const ENGINES = 8
const STEP_MS = 500
/** Well below the time limit of an order. */
const OBSERVED_MS = 60_000

interface SimulatedSidecar {
  weights: string
  isLoading: boolean
  /** Keeps its connections open and answers nothing. */
  isFrozen: boolean
  loadMs: number
  /** Called when an order arrives. */
  onOrder: () => void
  readonly orders: Order[]
}

function buildFleet(engines: number): Fleet {
  return resolveFleetConfig(
    {
      models: [{ id: 'm', weightsVersion: 'w2' }],
      backendServers: Array.from({ length: engines }, (_, index) => ({
        id: `e${index}`,
        kind: 'engine' as const,
        sidecarUrl: `http://e${index}`,
        hall: 'h',
        region: 'r',
        serves: 'm',
      })),
    } as Parameters<typeof resolveFleetConfig>[0],
    1,
  )._unsafeUnwrap()
}

describe('orders to load weights', () => {
  let timers: ManualTimerService
  let machine: ControlStateMachine
  let sidecars: SimulatedSidecar[]
  let fleet: Fleet
  let runner: OrderRunner
  let index: number

  /** Waits without an answer until the request's own end. */
  const waitUnanswered = ({ timeoutMs = 1e9, signal }: Partial<HttpRequest>) =>
    waitFor(timers, timeoutMs, signal).then(() => {
      throw new ConnectionError('no answer', false, !signal?.aborted)
    })
  const loadWeights = async (sidecar: SimulatedSidecar, order: Order) => {
    sidecar.isLoading = true
    await waitFor(timers, sidecar.loadMs)
    sidecar.isLoading = false
    sidecar.weights = order.value
  }
  const serveOrder = async (sidecar: SimulatedSidecar, request: HttpRequest, order: Order) => {
    sidecar.orders.push(order)
    sidecar.onOrder()
    if (sidecar.isFrozen) return waitUnanswered(request)
    await Promise.race([loadWeights(sidecar, order), waitUnanswered(request)])
    return {}
  }
  const serveStatus = async (sidecar: SimulatedSidecar, request: HttpRequest) => {
    if (sidecar.isFrozen) return waitUnanswered(request)
    const backend = { isReady: !sidecar.isLoading, weightsVersion: sidecar.weights }
    return { isLeaving: false, backend }
  }
  const sendJson = (request: HttpRequest & { readonly json?: unknown }) => {
    const { hostname, pathname } = new URL(request.url)
    const sidecar = sidecars[Number(hostname.slice(1))]
    if (pathname === '/status') return serveStatus(sidecar, request)
    return serveOrder(sidecar, request, request.json as Order)
  }
  const propose = async (command: unknown) => machine.apply(command, (index += 1))
  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      timers.advance(STEP_MS)
      for (let turn = 0; turn < 4; turn += 1) await new Promise((done) => setImmediate(done))
    }
  }
  const listUpdated = () => sidecars.flatMap(({ weights }, at) => (weights === 'w2' ? [at] : []))

  beforeEach(() => {
    timers = createManualTimerService()
    machine = createControlStateMachine()
    fleet = buildFleet(ENGINES)
    index = 0
    sidecars = Array.from({ length: ENGINES }, () => ({
      weights: 'w1',
      isLoading: false,
      isFrozen: false,
      loadMs: 1_000,
      onOrder: () => {},
      orders: [],
    }))
    runner = createOrderRunner({
      member: {
        status: () => ({ role: 'leader', hasLease: true }),
        propose,
      } as unknown as RaftMember,
      machine,
      client: { sendJson } as unknown as HttpClient,
      timers,
      logger: createQuietLogger(),
      findFleet: () => fleet,
    })
  })
  afterEach(async () => {
    const closed = runner.close()
    await advance(4 * STEP_MS)
    await closed
  })

  it('reach all engines though two sidecars freeze with the order on open connections', async () => {
    for (const sidecar of sidecars.slice(0, 2)) {
      sidecar.onOrder = () => {
        sidecar.isFrozen = true
      }
    }
    await advance(OBSERVED_MS)
    expect(listUpdated()).to.deep.equal([2, 3, 4, 5, 6, 7])
    expect(machine.orders.open()).to.deep.equal([])
  })

  it('hold their slots while the sidecars answer, however long the load takes', async () => {
    for (const sidecar of sidecars) sidecar.loadMs = 10 * OBSERVED_MS - 5_000
    await advance(9 * OBSERVED_MS)
    expect(sidecars.filter(({ isLoading }) => isLoading)).to.have.length(
      MAX_CONCURRENT_WEIGHT_LOADS,
    )
    expect(sidecars.flatMap(({ orders }) => orders)).to.have.length(MAX_CONCURRENT_WEIGHT_LOADS)
    expect(machine.orders.open()).to.have.length(MAX_CONCURRENT_WEIGHT_LOADS)
  })

  it('hold their slots over a short silence of the sidecar', async () => {
    for (const sidecar of sidecars) sidecar.loadMs = OBSERVED_MS
    await advance(10_000)
    const loading = sidecars.filter(({ isLoading }) => isLoading)
    for (const sidecar of loading) sidecar.isFrozen = true
    await advance(3_000)
    for (const sidecar of loading) sidecar.isFrozen = false
    await advance(30_000)
    expect(sidecars.flatMap(({ orders }) => orders)).to.have.length(MAX_CONCURRENT_WEIGHT_LOADS)
  })

  it('follow again once a frozen sidecar answers', async () => {
    sidecars[0].onOrder = () => {
      sidecars[0].isFrozen = sidecars[0].orders.length === 1
    }
    await advance(OBSERVED_MS)
    expect(listUpdated()).to.have.length(ENGINES - 1)
    expect(sidecars[0].orders).to.have.length(1)
    sidecars[0].isFrozen = false
    await advance(OBSERVED_MS)
    expect(listUpdated()).to.have.length(ENGINES)
    const [first, second] = sidecars[0].orders
    expect(second.fencing).to.be.greaterThan(first.fencing)
  })

  it('of engines that were removed from the configuration do not hold slots forever', async () => {
    for (const server of ['gone0', 'gone1']) {
      await propose({ kind: 'order.issue', server, action: 'loadWeights', value: 'w2', at: 0 })
    }
    expect(machine.orders.open()).to.have.length(MAX_CONCURRENT_WEIGHT_LOADS)
    await advance(OBSERVED_MS)
    expect(listUpdated()).to.have.length(ENGINES)
  })

  it('in progress at an engine that is removed keep their slots until they end', async () => {
    for (const sidecar of sidecars) sidecar.loadMs = OBSERVED_MS
    await advance(10_000)
    fleet = buildFleet(0)
    await advance(10_000)
    expect(machine.orders.open()).to.have.length(MAX_CONCURRENT_WEIGHT_LOADS)
    await advance(OBSERVED_MS)
    expect(machine.orders.open()).to.deep.equal([])
  })
})
