/**
 * Time as a service that parts subscribe to. Real daemons use the machine's monotonic clock;
 * tests pass a manual clock and move it by hand, so that no test waits for time to pass.
 */
import { uptime } from 'node:os'
import { Observable, Subject } from 'rxjs'
import { createBootClock } from './bootClock.js'

/** Clock and timers. All durations and instants are in milliseconds. */
export interface TimerService {
  /** Monotonic time; its zero has no meaning. Lacks a suspension of the machine that nobody has noticed yet. */
  now(): number
  /**
   * The same with every suspension, at some microseconds a call: for judging whether a promise still holds that others
   * count on by clocks of their own. Instants of {@link now} may be compared with it; they are never too late.
   */
  bootNow(): number
  /** Emits the length of each suspension that was noticed, in ms. */
  readonly suspensions: Observable<number>
  /** Wall-clock time since the Unix epoch, for stamps that people read. */
  wallNow(): number
  /** Emits once after `delay`, then completes; unsubscribing cancels. */
  after(delay: number): Observable<void>
  /** Emits each `period` until unsubscribed. */
  every(period: number): Observable<void>
}

/** A timer service whose time moves only when told. */
export interface ManualTimerService extends TimerService {
  /** Moves time forward and runs what falls due, in order of due time. */
  advance(duration: number): void
  /** Lets time pass as on a suspended machine: nothing falls due, and only {@link bootNow} notices. */
  suspend(duration: number): void
}

/** Time between two looks for a suspension, in ms; who judges a promise looks by itself. */
const LOOK_MS = 250
const MS_PER_S = 1_000

/** Creates the timer service of a real daemon. */
export function createTimerService(): TimerService {
  const suspensions = new Subject<number>()
  const clock = createBootClock({
    steadyNow: () => performance.now(),
    sinceBoot: () => uptime() * MS_PER_S,
    onSuspended: (ms) => suspensions.next(ms),
  })
  setInterval(clock.bootNow, LOOK_MS).unref()
  return {
    now: clock.now,
    bootNow: clock.bootNow,
    suspensions,
    wallNow: () => Date.now(),
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
  /** Time without suspensions; timers fall due by it. */
  let steady = 0
  let suspended = 0
  const suspensions = new Subject<number>()
  const clock = createBootClock({
    steadyNow: () => steady,
    sinceBoot: () => steady + suspended,
    onSuspended: (ms) => suspensions.next(ms),
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
    now: clock.now,
    bootNow: clock.bootNow,
    suspensions,
    wallNow: () => steady + suspended,
    after: (delay) =>
      new Observable((subscriber) =>
        addTask(steady + delay, undefined, () => {
          subscriber.next()
          subscriber.complete()
        }),
      ),
    every: (period) =>
      new Observable((subscriber) => addTask(steady + period, period, () => subscriber.next())),
    advance: (duration) => {
      const until = steady + duration
      for (let task = findNext(until); task; task = findNext(until)) {
        steady = task.due
        if (task.period === undefined) tasks.delete(task)
        else task.due += task.period
        task.run()
      }
      steady = until
    },
    suspend: (duration) => {
      suspended += duration
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
