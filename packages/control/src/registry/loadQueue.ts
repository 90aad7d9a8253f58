/** Queue of engines with outdated weights, in the order in which they are to load. */
import { removeOldest, type BackendServerId, type TimerService } from '@spoolgate/core'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { ServerLoads } from './feed.js'
import type { LoadTask } from './loadTask.js'
import type { UnconfirmedOrders } from './unconfirmedOrders.js'

/** Options of {@link createLoadQueue}. */
export interface LoadQueueOptions {
  readonly machine: ControlStateMachine
  readonly timers: TimerService
  readonly unconfirmed: UnconfirmedOrders
  /** Whether an engine may begin to load now. */
  readonly isAvailable: (server: RegisteredServer) => boolean
  readonly isExpired: (id: BackendServerId) => boolean
  readonly sumLoads: () => ServerLoads
}

/** See {@link createLoadQueue}. */
export interface LoadQueue {
  /** Lists the tasks that may begin now. */
  list(): LoadTask[]
  /** Records that a task has begun. */
  recordAttempt(task: LoadTask): void
}

/** Time for which an attempt counts, in ms: as long as its order may still be executed. */
const ATTEMPT_MS = 12_000
/** Maximum number of engines whose last attempt is remembered. */
const MAX_TRACKED_SERVERS = 2_000

/** Classes of tasks, first to last. */
const RANKS = { new: 0, unconfirmed: 1, attempted: 2 } as const

interface Attempt {
  readonly at: number
  readonly wantedVersion: number
  readonly heldVersion: number
}

interface RankedTask {
  readonly task: LoadTask
  readonly rank: number
  /** Version held, or 0 where the time of the last attempt decides. */
  readonly version: number
  readonly attemptedAt: number
  readonly calls: number
}

function compareTasks(a: RankedTask, b: RankedTask): number {
  return (
    a.rank - b.rank || a.version - b.version || a.attemptedAt - b.attemptedAt || a.calls - b.calls
  )
}

/** Creates a queue without attempts. */
export function createLoadQueue(options: LoadQueueOptions): LoadQueue {
  const { machine, timers, unconfirmed } = options
  const attempts = new Map<BackendServerId, Attempt>()

  const findWanted = (model: string) => machine.weights.find(model) ?? 0
  const findOutdated = ({ weights }: RegisteredServer) =>
    weights.find(({ model, version }) => version < findWanted(model))
  /** Whether the engine was already given the wanted version and has no newer weights since. */
  const isAttempted = ({ server, model, heldVersion }: LoadTask) => {
    const attempt = attempts.get(server.id)
    if (!attempt || timers.now() - attempt.at > ATTEMPT_MS) return false
    return attempt.wantedVersion >= findWanted(model) && attempt.heldVersion === heldVersion
  }
  const findRank = (task: LoadTask) => {
    if (isAttempted(task)) return RANKS.attempted
    // An attempt at an engine with expired weights takes no capacity from the traffic.
    const mayWait = unconfirmed.find(task.server) && !options.isExpired(task.server.id)
    return mayWait ? RANKS.unconfirmed : RANKS.new
  }
  const rankTask = (task: LoadTask, loads: ServerLoads): RankedTask => {
    const { id } = task.server
    const rank = findRank(task)
    return {
      task,
      rank,
      // Oldest weights first: with versions in quick succession, other orders would starve some engines. Retries take
      // turns instead, so that engines whose orders are lost do not starve others.
      version: rank === RANKS.attempted ? 0 : task.heldVersion,
      attemptedAt: attempts.get(id)?.at ?? -Infinity,
      calls: loads[id]?.calls ?? 0,
    }
  }
  return {
    list: () => {
      const tasks = machine.servers.list().flatMap((server): LoadTask[] => {
        const outdated = findOutdated(server)
        if (!outdated || !options.isAvailable(server)) return []
        return [{ server, model: outdated.model, heldVersion: outdated.version, orderCount: 0 }]
      })
      // Sums the loads of the whole fleet, so only if there is something to order by them.
      const loads = tasks.length > 1 ? options.sumLoads() : {}
      const ranked = tasks.map((task) => rankTask(task, loads))
      return ranked.sort(compareTasks).map(({ task }) => task)
    },
    recordAttempt: ({ server, model, heldVersion }) => {
      attempts.delete(server.id)
      attempts.set(server.id, {
        at: timers.now(),
        wantedVersion: findWanted(model),
        heldVersion,
      })
      removeOldest(attempts, MAX_TRACKED_SERVERS)
    },
  }
}
