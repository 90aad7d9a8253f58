/** Queue of engines with outdated weights, in the order in which they are to load. */
import { removeOldest, type BackendServerId, type TimerService } from '@spoolgate/core'
import type { ControlStateMachine } from '../state/controlMachine.js'
import type { RegisteredServer } from '../state/serverState.js'
import type { ServerLoads } from './feed.js'
import type { LoadTask } from './loadTask.js'

/** Options of {@link createLoadQueue}. */
export interface LoadQueueOptions {
  readonly machine: ControlStateMachine
  readonly timers: TimerService
  /** Whether an engine may begin to load now. */
  readonly isAvailable: (server: RegisteredServer) => boolean
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

interface Attempt {
  readonly at: number
  readonly wantedVersion: number
  readonly heldVersion: number
}

interface RankedTask {
  readonly task: LoadTask
  /** Newest version that the engine holds or was ordered to load. */
  readonly orderedVersion: number
  readonly attemptedAt: number
  readonly calls: number
}

/** Puts the engines first that were last ordered to load the oldest version, then those ordered longest ago. */
function compareTasks(a: RankedTask, b: RankedTask): number {
  return a.orderedVersion - b.orderedVersion || a.attemptedAt - b.attemptedAt || a.calls - b.calls
}

/** Creates a queue without attempts. */
export function createLoadQueue(options: LoadQueueOptions): LoadQueue {
  const { machine, timers } = options
  const attempts = new Map<BackendServerId, Attempt>()

  const findWanted = (model: string) => machine.weights.find(model) ?? 0
  const findOutdated = ({ weights }: RegisteredServer) =>
    weights.find(({ model, version }) => version < findWanted(model))
  /** A late load of an older version voids the last order: it was conditional on the orders accepted before. */
  const findOrderedVersion = ({ server, heldVersion }: LoadTask) => {
    const attempt = attempts.get(server.id)
    const isVoid = attempt?.heldVersion !== heldVersion || timers.now() - attempt.at > ATTEMPT_MS
    return isVoid ? heldVersion : attempt.wantedVersion
  }
  const rankTask = (task: LoadTask, loads: ServerLoads): RankedTask => ({
    task,
    orderedVersion: findOrderedVersion(task),
    attemptedAt: attempts.get(task.server.id)?.at ?? -Infinity,
    calls: loads[task.server.id]?.calls ?? 0,
  })
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
