/** Events in virtual time, and engines that prefill first-in first-out within a priority. */
import { createIndexedHeap } from '../indexedHeap.js'

/** Creates events in virtual time. */
export function createEvents() {
  const due = createIndexedHeap<() => void>()
  let now = 0
  return {
    now: () => now,
    at: (time: number, run: () => void) => due.add(() => run(), Math.max(now, time)),
    /** Runs all events until a time. */
    run: (until: number) => {
      while (due.findLowestKey() <= until) {
        now = due.findLowestKey()
        const event = due.peek() as () => void
        due.remove(event)
        event()
      }
      now = until
    },
  }
}

/** See {@link createEvents}. */
export type Events = ReturnType<typeof createEvents>

/** A call that a router sent to an engine. */
export interface EngineCall {
  /** 0 is the most urgent. */
  readonly priority: number
  readonly promptTokens: number
  readonly uncachedTokens: number
  readonly kvTokens: number
  readonly outputTokens: number
  readonly onFirstEvent: () => void
  readonly onEnd: (isComplete: boolean) => void
  /** Whether the work of the call counts as on time if its first event comes now. */
  readonly isOnTime: () => boolean
}

/** Properties of the simulated engines: those of deployment C. */
export const ENGINE = { slots: 64, kvCapacityTokens: 105_109, tokensPerMs: 42.8, stepMs: 6.35 }
const PRIORITIES = 10

/** Engine time, in ms, within the measured period. */
export interface EngineTimes {
  busyMs: number
  onTimeMs: number
}

/** Creates an engine with an empty queue. */
export function createEngine(events: Events, times: EngineTimes, isMeasured: () => boolean) {
  const queues: EngineCall[][] = Array.from({ length: PRIORITIES }, () => [])
  let running = 0
  let kvTokens = 0
  let pendingTokens = 0
  let isPrefilling = false
  let calls = new Set<EngineCall>()

  const finish = (call: EngineCall) => {
    if (!calls.delete(call)) return
    running -= 1
    kvTokens -= call.kvTokens
    call.onEnd(true)
    startNext()
  }
  const finishPrefill = (call: EngineCall, prefillMs: number) => {
    if (!calls.has(call)) return
    isPrefilling = false
    pendingTokens -= call.uncachedTokens
    if (isMeasured()) {
      times.busyMs += prefillMs
      if (call.isOnTime()) times.onTimeMs += prefillMs
    }
    events.at(events.now() + call.outputTokens * ENGINE.stepMs, () => finish(call))
    call.onFirstEvent()
    startNext()
  }
  const startNext = () => {
    if (isPrefilling || running >= ENGINE.slots) return
    const queue = queues.find(({ length }) => length > 0)
    if (!queue) return
    const [call] = queue
    if (running > 0 && kvTokens + call.kvTokens > ENGINE.kvCapacityTokens) return
    queue.shift()
    running += 1
    kvTokens += call.kvTokens
    isPrefilling = true
    const prefillMs = Math.max(ENGINE.stepMs, call.uncachedTokens / ENGINE.tokensPerMs)
    events.at(events.now() + prefillMs, () => finishPrefill(call, prefillMs))
  }

  return {
    submit: (call: EngineCall) => {
      calls.add(call)
      pendingTokens += call.uncachedTokens
      queues[call.priority].push(call)
      startNext()
    },
    findPendingTokens: () => pendingTokens,
    /** Restarts the engine: its calls fail. */
    restart: () => {
      const failed = calls
      calls = new Set()
      for (const queue of queues) queue.length = 0
      running = 0
      kvTokens = 0
      pendingTokens = 0
      isPrefilling = false
      for (const call of failed) call.onEnd(false)
    },
  }
}
