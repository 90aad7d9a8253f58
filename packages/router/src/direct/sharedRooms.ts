/** Parts of this router in the capacity of its groups of engines, by what all routers report of their demand. */
import type { Demands, FleetView } from '@spoolgate/control'
import type { TeamId, TimerService } from '@spoolgate/core'
import { findLatestStartOnTime } from '../admission/requestTimes.js'
import { createSharedRoom, type RankedWork, type SharedRoom } from '../admission/sharedRoom.js'
import type { AdmissionRequest } from '../admission/types.js'

/** See {@link createSharedRooms}. */
export interface SharedRooms {
  /** Records the arrival of a request, from which the demand until the next report is estimated. */
  recordArrival(group: string, request: AdmissionRequest): void
  /** Whether this router's part allows it to start a request. */
  isStartAllowed(group: string, request: AdmissionRequest): boolean
  /** Records the start of a request; call the returned function when its prefill ended. */
  recordStart(group: string, request: AdmissionRequest, prefillMs: number): () => void
  /** Part of the group's throughput that this router may use. */
  findShare(group: string): number
  /** Applies the demands of the other routers. */
  applyReport(demands: Demands, view: FleetView): void
  /** Builds this router's demands for the leader; undefined before any request. */
  buildDemands(): Demands | undefined
}

/** Options of {@link createSharedRooms}. */
export interface SharedRoomsOptions {
  readonly timers: Pick<TimerService, 'now'>
  /** Lists the engine time of the requests that wait for a group. */
  readonly listWaiting: (group: string) => readonly RankedWork[]
  /** Engine time that a group completes per ms. */
  readonly findWorkPerMs: (view: FleetView, group: string) => number
}

interface GroupRoom {
  readonly room: SharedRoom
  /** Pending prefill time of own calls by rank, in ms. */
  readonly pendingMs: Map<number, number>
}

/** Rank of late requests of band 0; see admissionQueue.ts. */
const LATE_RANK = 10
/**
 * How many times as much prefill may be pending as where any engine serves any request alike: prompts are cached at few
 * engines, and what is pending there must not keep this router from using the others.
 */
const FILL_FACTOR = 2
/** Smallest demand that is reported, in ms. */
const MIN_DEMAND_MS = 1

/** Creates the parts of a router without reports. */
export function createSharedRooms(options: SharedRoomsOptions): SharedRooms {
  const { timers, listWaiting, findWorkPerMs } = options
  const groups = new Map<string, GroupRoom>()

  const findGroup = (name: string): GroupRoom => {
    const known = groups.get(name)
    if (known) return known
    const created: GroupRoom = { room: createSharedRoom(), pendingMs: new Map() }
    groups.set(name, created)
    return created
  }
  const toRankedWork = (request: AdmissionRequest, now: number): RankedWork => {
    const { band, team, teamShare = 1, workMs } = request
    const rank = now > findLatestStartOnTime(request) ? LATE_RANK + band : band
    return { rank, team, teamShare, workMs }
  }
  const addPending = ({ pendingMs }: GroupRoom, rank: number, ms: number) => {
    const sum = (pendingMs.get(rank) ?? 0) + ms
    if (sum <= 0) pendingMs.delete(rank)
    else pendingMs.set(rank, sum)
  }
  const listDemands = (name: string, { room }: GroupRoom) =>
    room
      .listDemands(listWaiting(name), timers.now())
      .filter(({ workMs }) => workMs >= MIN_DEMAND_MS)
      .map(
        ({ rank, team, teamShare, workMs }) =>
          [rank, team ?? null, teamShare, Math.round(workMs)] as const,
      )
  return {
    recordArrival: (name, request) => {
      const now = timers.now()
      findGroup(name).room.recordArrival(toRankedWork(request, now), now)
    },
    isStartAllowed: (name, request) => {
      const now = timers.now()
      const { room, pendingMs } = findGroup(name)
      const work = toRankedWork(request, now)
      let aheadMs = 0
      for (const [rank, ms] of pendingMs) if (rank <= work.rank) aheadMs += ms
      return room.isStartAllowed(work, aheadMs / FILL_FACTOR, now)
    },
    recordStart: (name, request, prefillMs) => {
      const group = findGroup(name)
      const { rank } = toRankedWork(request, timers.now())
      addPending(group, rank, prefillMs)
      let isPending = true
      return () => {
        if (isPending) addPending(group, rank, -prefillMs)
        isPending = false
      }
    },
    findShare: (name) => findGroup(name).room.findShare(timers.now()),
    applyReport: (demands, view) => {
      for (const [name, { room }] of groups) {
        const others = (demands[name] ?? []).map(([rank, team, teamShare, workMs]): RankedWork => ({
          rank,
          team: (team ?? undefined) as TeamId | undefined,
          teamShare,
          workMs,
        }))
        const workPerMs = findWorkPerMs(view, name)
        if (workPerMs <= 0) continue
        const report = { demands: others, workPerMs, routers: Math.max(1, view.routers) }
        room.applyReport(report, listWaiting(name), timers.now())
      }
    },
    buildDemands: () => {
      const demands: Record<string, ReturnType<typeof listDemands>> = {}
      for (const [name, group] of groups) demands[name] = listDemands(name, group)
      return groups.size > 0 ? demands : undefined
    },
  }
}
