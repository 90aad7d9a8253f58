/**
 * Time as a service that parts subscribe to. Real daemons use the machine's monotonic clock;
 * tests pass a manual clock and move it by hand, so that no test waits for time to pass.
 */
import { Observable, Subject } from 'rxjs'
import { createPromiseClock } from './promiseClock.js'

/** Clock and timers. All durations and instants are in milliseconds. */
export interface TimerService {
  /** Monotonic time; its zero has no meaning. Stands still while the machine is suspended. */
  now(): number
  /**
   * Monotonic time as others may have counted it: with what this machine slept through, or more. Only for judging whether a
   * promise still holds that others rely on by clocks of their own, and against instants of its own kind.
   */
  promiseNow(): number
  /** Emits what {@link promiseNow} found to be missing in {@link now}, in ms. */
  readonly missed: Observable<number>
  /** Wall-clock time since the Unix epoch, for stamps that people read. */
  wallNow(): number
  /** Emits once after `delay`, then completes; unsubscribing cancels. */
  after(delay: number): Observable<void>
  /** Emits each `period` until unsubscribed. */
  every(period: number): Observable<void>
}

/** A timer service whose time moves only on demand. */
export interface ManualTimerService extends TimerService {
  /** Moves time forward and runs what falls due, in order of due time. */
  advance(duration: number): void
  /** Simulates a suspended machine: no timer fires, and only the time of day advances. */
  suspend(duration: number): void
  /** Sets the time of day ahead, or back by a negative duration. */
  setWall(duration: number): void
}

/** Creates the timer service of a real daemon. */
export function createTimerService(): TimerService {
  const missed = new Subject<number>()
  const steadyNow = () => performance.now()
  const wallNow = () => Date.now()
  const onMissed = (ms: number) => missed.next(ms)
  return {
    now: steadyNow,
    promiseNow: createPromiseClock({ steadyNow, wallNow, onMissed }),
    missed,
    wallNow,
    after: (delay) =>
      new Observable((subscriber) => {
        const handle = setTimeout(() => {
          subscriber.next()
          subscriber.complete()
        }, delay)
        return () => clearTimeout(handle)
      }),
    every: (period) =>
      new Observable((subscriber) => {
        const handle = setInterval(() => subscriber.next(), period)
        return () => clearInterval(handle)
      }),
  }
}

interface ManualTask {
  due: number
  readonly period: number | undefined
  readonly run: () => void
}

/** Creates a timer service for tests; time starts at zero. */
export function createManualTimerService(): ManualTimerService {
  let now = 0
  /** What the time of day is ahead. */
  let aheadMs = 0
  const missed = new Subject<number>()
  const promiseNow = createPromiseClock({
    steadyNow: () => now,
    wallNow: () => now + aheadMs,
    onMissed: (ms) => missed.next(ms),
  })
  const tasks = new Set<ManualTask>()
  const addTask = (due: number, period: number | undefined, run: () => void) => {
    const task: ManualTask = { due, period, run }
    tasks.add(task)
    return () => tasks.delete(task)
  }
  const findNext = (until: number): ManualTask | undefined => {
    const due = [...tasks].filter((task) => task.due <= until)
    return due.sort((a, b) => a.due - b.due)[0]
  }
  return {
    now: () => now,
    promiseNow,
    missed,
    wallNow: () => now + aheadMs,
    after: (delay) =>
      new Observable((subscriber) =>
        addTask(now + delay, undefined, () => {
          subscriber.next()
          subscriber.complete()
        }),
      ),
    every: (period) =>
      new Observable((subscriber) => addTask(now + period, period, () => subscriber.next())),
    advance: (duration) => {
      const until = now + duration
      for (let task = findNext(until); task; task = findNext(until)) {
        now = task.due
        if (task.period === undefined) tasks.delete(task)
        else task.due += task.period
        task.run()
      }
      now = until
    },
    suspend: (duration) => {
      aheadMs += duration
    },
    setWall: (duration) => {
      aheadMs += duration
    },
  }
}

/** Waits for `delay` milliseconds, or until `signal` aborts. Never rejects. */
export function waitFor(timers: TimerService, delay: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const subscription = timers.after(delay).subscribe(() => finish())
    const finish = () => {
      subscription.unsubscribe()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    if (signal?.aborted) finish()
    else signal?.addEventListener('abort', finish)
  })
}

/** A signal that aborts after a while; see {@link createTimeLimit}. */
export interface TimeLimit {
  readonly signal: AbortSignal
  /** Stops the clock; the signal then aborts only with its parents. */
  close(): void
}

/** Creates a signal that aborts after `delay` milliseconds, or with any of `parents`. */
export function createTimeLimit(
  timers: TimerService,
  delay: number,
  parents: readonly AbortSignal[] = [],
): TimeLimit {
  const limit = new AbortController()
  const subscription = timers
    .after(delay)
    .subscribe(() => limit.abort(new Error(`no answer within ${delay} ms`)))
  return {
    signal: AbortSignal.any([limit.signal, ...parents]),
    close: () => subscription.unsubscribe(),
  }
}
