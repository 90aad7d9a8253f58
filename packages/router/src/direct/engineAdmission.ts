/** Admission of a direct router: its queues, the loads that it goes by, its metrics and its report to the leader. */
import type { Demands, FleetView, QueueReport } from '@spoolgate/control'
import type { Metrics, TimerService } from '@spoolgate/core'
import type { ServerGroup } from '@spoolgate/routing'
import {
  createAdmission,
  type Admission,
  type GroupAdmission,
  type WaitingSend,
} from '../admission/admission.js'
import { createAdmissionDecider } from '../admission/admissionDecision.js'
import {
  createAdmissionQueue,
  MAX_WAITING,
  MAX_WAITING_BYTES,
} from '../admission/admissionQueue.js'
import { MAX_ENGINE_QUEUE_MS } from '../admission/engineRoom.js'
import { createRefusalRates, type RefusalRates } from '../admission/refusalRates.js'
import type { AdmissionOptions } from '../admission/types.js'
import {
  createEngineLoads,
  type EngineLoadContext,
  type EngineLoads,
  type Reservation,
} from './engineLoads.js'
import type { Candidate } from './serverRanking.js'
import { createSharedRooms, type SharedRooms } from './sharedRooms.js'

/** Options of admission on the direct path. */
export interface DirectAdmissionOptions extends AdmissionOptions {
  /**
   * Whether requests to a group are admitted by the capacity of its engines.
   * @default true for every group with engines
   */
  readonly isActive?: (group: ServerGroup) => boolean
}

/** An engine with capacity that is reserved for a request. */
export interface AdmittedEngine {
  readonly candidate: Candidate
  readonly reservation: Reservation & {
    /** Ends the time in which the prefill counts as pending. */
    readonly endPrefill: () => void
  }
}

/** Admission of one router; see {@link createEngineAdmission}. */
export interface EngineAdmission {
  /** Whether requests to a group are admitted by the capacity of its engines. */
  isActive(group: ServerGroup): boolean
  readonly loads: EngineLoads
  readonly admission: Admission<AdmittedEngine>
  readonly rooms: SharedRooms
  readonly refusals: RefusalRates
  /** Records that the feed delivered the loads of the other routers, and tries waiting requests again. */
  recordReport(demands: Demands | undefined): void
  /** Builds this router's demands for the leader; undefined before any request. */
  buildDemands(): Demands | undefined
  /** Builds the report on this router's queue; undefined if nothing waits and nothing was refused recently. */
  buildReport(): QueueReport | undefined
  close(): void
}

/** Options of {@link createEngineAdmission}. */
export interface EngineAdmissionOptions {
  readonly options: DirectAdmissionOptions
  readonly context: EngineLoadContext
  readonly timers: TimerService
  readonly metrics: Pick<Metrics, 'meter'>
  readonly findView: () => FleetView | undefined
}

type Queue = ReturnType<typeof createAdmissionQueue<WaitingSend<AdmittedEngine>>>

/** Creates the admission of a router that has received no request. */
export function createEngineAdmission({
  options,
  context,
  timers,
  metrics,
  findView,
}: EngineAdmissionOptions): EngineAdmission {
  const bounds = {
    maxWaiting: options.maxWaiting ?? MAX_WAITING,
    maxWaitingBytes: options.maxWaitingBytes ?? MAX_WAITING_BYTES,
    maxEngineQueueMs: options.maxEngineQueueMs ?? MAX_ENGINE_QUEUE_MS,
  }
  const loads = createEngineLoads({ context, maxEngineQueueMs: bounds.maxEngineQueueMs })
  const refusals = createRefusalRates(timers)
  const queues = new Map<string, Queue>()
  const rooms = createSharedRooms({
    timers,
    listWaiting: (group) => queues.get(group)?.listWaiting() ?? [],
    findWorkPerMs: (view, name) => {
      const group = view.index.findGroup(name)
      return group ? loads.countOpenEngines(view, group) : 0
    },
  })
  const createGroup = (name: string): GroupAdmission<AdmittedEngine> => {
    const queue: Queue = createAdmissionQueue(bounds)
    queues.set(name, queue)
    return { queue, selector: createAdmissionDecider(bounds) }
  }
  const admission = createAdmission<AdmittedEngine>({ timers, createGroup, ...bounds })
  const isActive = (group: ServerGroup) =>
    group.engine !== undefined && (options.isActive?.(group) ?? true)

  /** Bands that were rendered; without a new value the registry would repeat their last one. */
  const knownBands = new Set<number>()
  metrics.meter
    .createObservableGauge('admission_waiting', {
      description: 'Requests that wait for an engine with capacity, by band',
    })
    .addCallback((result) => {
      const counts = new Map([...knownBands].map((band) => [band, 0]))
      for (const { band, waiting } of admission.listBands()) counts.set(band, waiting)
      for (const [band, waiting] of counts) {
        knownBands.add(band)
        result.observe(waiting, { band })
      }
    })
  metrics.meter
    .createObservableGauge('engine_room_ms', {
      description: 'Prefill time that engines take before they count as full, by group',
    })
    .addCallback((result) => {
      const view = findView()
      for (const group of view?.index.table.groups.filter(isActive) ?? [])
        if (view) result.observe(loads.sumRoomMs(view, group), { group: group.name })
    })
  return {
    isActive,
    loads,
    admission,
    rooms,
    refusals,
    recordReport: (demands) => {
      const view = findView()
      loads.recordReport()
      if (view && demands) rooms.applyReport(demands, view)
      admission.runWaiting()
    },
    buildDemands: rooms.buildDemands,
    buildReport: () => {
      const waiting = new Map(admission.listBands().map((status) => [status.band, status]))
      const refused = new Map(refusals.listPerSecond())
      const bands = [...new Set([...waiting.keys(), ...refused.keys()])].sort((a, b) => a - b)
      if (bands.length === 0) return undefined
      return bands.map((band) => ({
        band,
        waiting: waiting.get(band)?.waiting ?? 0,
        oldestMs: Math.round(waiting.get(band)?.oldestMs ?? 0),
        refusedPerSecond: Number((refused.get(band) ?? 0).toFixed(1)),
      }))
    },
    close: admission.close,
  }
}
