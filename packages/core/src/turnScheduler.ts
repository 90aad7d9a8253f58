/**
 * Starts the handlers of a process's servers over turns of the event loop. While nothing waits and the turn has time left,
 * a handler starts at once; otherwise it waits, connections taking turns, so that none keeps out the others or the timers.
 */

/** What a server is there for. */
export const TRAFFIC_CLASSES = {
  fleet: "the fleet's own messages, and readiness",
  calls: 'calls of callers, operators and backend servers',
  metrics: 'metrics',
  bodies: 'parts of bodies in chunks, at any server',
} as const satisfies Record<string, string>

/** Name of a traffic class. */
export type TrafficClass = keyof typeof TRAFFIC_CLASSES

/** See {@link createTurnScheduler}. */
export interface TurnScheduler {
  /** Starts a handler, now or in a later turn; `source` is what shares its turns with others, such as a connection. */
  run(traffic: TrafficClass, source: object, handler: () => void): void
  /** Number of handlers that wait. */
  length(): number
}

/** Options of {@link createTurnScheduler}. */
export interface TurnSchedulerOptions {
  /** @default the monotonic clock */
  readonly now?: () => number
  /** Runs a function in the next turn of the event loop. */
  readonly defer?: (run: () => void) => void
}

/** Time of one turn for handlers, in ms: a small part of the shortest interval between messages of a leader. */
const TURN_MS = 5
/** Maximum number of handlers that start in a turn. */
const MAX_PER_TURN = 16
/** Order in which classes start a handler each while others wait: none can keep out another one. */
const CLASS_ORDER: readonly TrafficClass[] = [
  'fleet',
  'calls',
  'fleet',
  'calls',
  'fleet',
  'metrics',
  'bodies',
]

/** Creates a scheduler. */
export function createTurnScheduler(options: TurnSchedulerOptions = {}): TurnScheduler {
  const { now = () => performance.now(), defer = setImmediate } = options
  const names = Object.keys(TRAFFIC_CLASSES) as TrafficClass[]
  const queues = new Map(names.map((name) => [name, new Map<object, (() => void)[]>()]))
  let waiting = 0
  let position = 0
  let isTurnOpen = false
  let startedAt = 0
  let started = 0

  /** Takes the next handler of a class, and puts its source behind the others. */
  const takeOfClass = (traffic: TrafficClass) => {
    const sources = queues.get(traffic)
    const [next] = sources ?? []
    if (!sources || !next) return undefined
    const [source, handlers] = next
    const handler = handlers.shift()
    sources.delete(source)
    if (handlers.length > 0) sources.set(source, handlers)
    waiting -= 1
    return handler
  }
  const takeNext = () => {
    for (let tries = 0; tries < CLASS_ORDER.length; tries += 1) {
      const traffic = CLASS_ORDER[position]
      position = (position + 1) % CLASS_ORDER.length
      const handler = takeOfClass(traffic)
      if (handler) return handler
    }
    return undefined
  }
  const hasTime = () => started < MAX_PER_TURN && now() - startedAt < TURN_MS
  const openTurn = () => {
    isTurnOpen = true
    startedAt = now()
    started = 0
  }
  const closeTurn = () => {
    isTurnOpen = false
    if (waiting > 0) scheduleTurn()
  }
  const startNext = () => {
    if (!isTurnOpen) openTurn()
    if (!hasTime()) return
    started += 1
    takeNext()?.()
  }
  // Microtasks of a handler run before the next callback of the loop, and count in the time of the turn.
  const scheduleTurn = () => {
    for (let count = Math.min(MAX_PER_TURN, waiting); count > 0; count -= 1) defer(startNext)
    defer(closeTurn)
  }
  return {
    run: (traffic, source, handler) => {
      if (!isTurnOpen && waiting === 0) {
        openTurn()
        defer(closeTurn)
      }
      if (waiting === 0 && hasTime()) {
        started += 1
        return handler()
      }
      const sources = queues.get(traffic)
      const handlers = sources?.get(source)
      if (handlers) handlers.push(handler)
      else sources?.set(source, [handler])
      waiting += 1
    },
    length: () => waiting,
  }
}

/** The scheduler of this process, whose servers share one event loop. */
export const processTurns = createTurnScheduler()
