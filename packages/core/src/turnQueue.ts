/**
 * Turns of the event loop. What was queued goes on one by one, each in a turn of its own, and only
 * after the loop has looked at its sockets and timers since. However much waits, heartbeats and closed
 * connections are then noticed in between.
 */

/** A queue of work; see {@link createTurnQueue}. */
export interface TurnQueue {
  /** Resolves in a turn of its own, after the loop has looked at its sockets. */
  take(): Promise<void>
  /** Work that waits for its turn. */
  length(): number
}

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
    // Sockets are looked at between two turns: what was queued in the first goes on in the second.
    const isLooked = waiting.length > 0 && waiting[0].turn < turn - 1
    if (isLooked) waiting.shift()?.resume()
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
