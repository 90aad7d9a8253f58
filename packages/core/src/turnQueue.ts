/**
 * Spreads queued work over turns of the event loop. Each turn resumes a few tasks, and a task resumes only after the loop
 * has polled its sockets and timers since it was queued, so that heartbeats and closed connections are handled in between.
 */

/** A queue of work; see {@link createTurnQueue}. */
export interface TurnQueue {
  /** Resolves in a later turn, after the loop has polled its sockets. */
  take(): Promise<void>
  /** Number of queued tasks. */
  length(): number
}

/**
 * Number of turns over which the queue is drained. With one task per turn, a control instance whose turns take 0.1 s after
 * a restart would need seconds to answer all routers.
 */
const DRAIN_TURNS = 8
/**
 * Maximum number of tasks per turn. A router on an eighth of a core must notice callers that disconnect within half a
 * second, and this number of requests takes it about half of that.
 */
const MAX_PER_TURN = 16

interface Waiting {
  /** Turn in which it was queued. */
  readonly turn: number
  readonly resume: () => void
}

/**
 * Creates an empty queue.
 * @param defer runs a function in the next turn of the event loop; tests bring their own
 */
export function createTurnQueue(defer: (run: () => void) => void = setImmediate): TurnQueue {
  const waiting: Waiting[] = []
  let turn = 0
  let isScheduled = false

  const schedule = () => {
    if (isScheduled || waiting.length === 0) return
    isScheduled = true
    defer(runTurn)
  }
  const runTurn = () => {
    isScheduled = false
    turn += 1
    const most = Math.min(MAX_PER_TURN, Math.ceil(waiting.length / DRAIN_TURNS))
    // Sockets are polled between two turns, so a task queued in one turn resumes in the next.
    const held = waiting.findIndex((entry) => entry.turn >= turn - 1)
    const ready = held === -1 ? waiting.length : held
    for (const { resume } of waiting.splice(0, Math.min(most, ready))) resume()
    schedule()
  }
  return {
    take: () =>
      new Promise((resolve) => {
        waiting.push({ turn, resume: resolve })
        schedule()
      }),
    length: () => waiting.length,
  }
}
