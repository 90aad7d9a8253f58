/** Calls that this process holds, each kept for a while after its end so that it can be resumed. */
import type { AttemptNumber, RequestId, TimerService } from '@spoolgate/core'
import { firstValueFrom, Subject, Subscription } from 'rxjs'
import type { Call } from './call.js'

/** Calls by request and attempt. */
export interface CallTable {
  find(request: RequestId, attempt: AttemptNumber): Call | undefined
  add(call: Call): void
  /** Notes that a call has no reader, or has ended: after a while it is cancelled or forgotten. */
  watchIdle(call: Call): void
  /** Calls that have not ended. */
  running(): number
  /** Waits until no call is running. */
  waitUntilIdle(): Promise<void>
  /** Stops all timers. */
  close(): void
}

/** Options of {@link createCallTable}. */
export interface CallTableOptions {
  readonly timers: TimerService
  /** How long a call without a reader is kept, in ms. */
  readonly resumeWindowMs: number
  /** How long an unrepeatable call is kept after its end, in ms. */
  readonly dispatchWindowMs: number
  /** Called when a call that has ended is let go. */
  readonly onForget: (call: Call) => void
}

function formatKey(request: RequestId, attempt: AttemptNumber): string {
  return `${request}/${attempt}`
}

/** Creates an empty table. */
export function createCallTable(options: CallTableOptions): CallTable {
  const calls = new Map<string, Call>()
  const ended = new Subject<void>()
  const expiries = new Subscription()
  const countRunning = () => [...calls.values()].filter((call) => !call.outcome()).length

  const expire = (call: Call) => {
    if (call.readers() > 0) return
    // Nobody may cancel what cannot be repeated: it runs to its end, with or without a reader.
    if (!call.outcome() && !call.header.dispatch) call.cancel()
    if (!call.outcome()) return
    if (calls.delete(formatKey(call.header.request, call.header.attempt))) options.onForget(call)
  }
  return {
    find: (request, attempt) => calls.get(formatKey(request, attempt)),
    add: (call) => void calls.set(formatKey(call.header.request, call.header.attempt), call),
    watchIdle: (call) => {
      if (call.outcome()) ended.next()
      const isKeptLong = call.header.dispatch !== undefined
      const windowMs = isKeptLong ? options.dispatchWindowMs : options.resumeWindowMs
      const expiry = options.timers.after(windowMs).subscribe(() => {
        expiries.remove(expiry)
        expire(call)
      })
      expiries.add(expiry)
    },
    running: countRunning,
    waitUntilIdle: async () => {
      while (countRunning() > 0) await firstValueFrom(ended)
    },
    close: () => expiries.unsubscribe(),
  }
}
