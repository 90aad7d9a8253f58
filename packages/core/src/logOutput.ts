/**
 * Where log lines go: a standard stream, and the next one while it cannot be written. A reader that is slow or gone, or a
 * full disk, costs lines, which are counted; it neither blocks nor ends the process.
 */
import type { Writable } from 'node:stream'
import { waitFor, type TimerService } from './timers.js'

/** Options of {@link createLogOutput}. */
export interface LogOutputOptions {
  /** Streams in the order in which they are tried for each line. */
  readonly streams: readonly Writable[]
  readonly timers: TimerService
  /**
   * Maximum bytes that may wait for the reader of a stream.
   * @default 1 MiB
   */
  readonly maxUnwrittenBytes?: number
}

/** See {@link createLogOutput}. */
export interface LogOutput {
  /** Writes a line; never throws or blocks. */
  write(line: string): void
  /** Lines that no stream could take. */
  countLost(): number
  /** Writes the last line and ignores later ones; resolves once all are written or lost, or the time is over. */
  finish(line: string, maxMs: number): Promise<void>
}

const DEFAULT_MAX_UNWRITTEN_BYTES = 1024 * 1024
/** Time for which a stream that failed is not tried again, in ms. */
const RETRY_MS = 1_000
/** Interval at which {@link LogOutput.finish} checks, in ms. */
const FINISH_CHECK_MS = 5

interface Target {
  readonly stream: Writable
  failedAt: number
}

/** Creates the output. */
export function createLogOutput(options: LogOutputOptions): LogOutput {
  const { streams, timers, maxUnwrittenBytes = DEFAULT_MAX_UNWRITTEN_BYTES } = options
  const targets: Target[] = streams.map((stream) => ({ stream, failedAt: -Infinity }))
  let lost = 0
  let pending = 0
  let isFinished = false

  const isUsable = ({ stream, failedAt }: Target) =>
    stream.writableLength < maxUnwrittenBytes && timers.now() - failedAt >= RETRY_MS
  const writeFrom = (text: string, index: number): void => {
    const next = targets.findIndex((target, at) => at >= index && isUsable(target))
    if (next === -1) {
      lost += 1
      return
    }
    const target = targets[next]
    const recordFailure = () => {
      target.failedAt = timers.now()
      writeFrom(text, next + 1)
    }
    pending += 1
    try {
      target.stream.write(text, (cause) => {
        pending -= 1
        if (cause) recordFailure()
      })
    } catch {
      // The streams of files throw.
      pending -= 1
      recordFailure()
    }
  }
  // The callback of each write handles the error; an error without a listener would end the process.
  for (const { stream } of targets) stream.on('error', () => {})
  return {
    write: (line) => {
      if (!isFinished) writeFrom(`${line}\n`, 0)
    },
    countLost: () => lost,
    finish: async (line, maxMs) => {
      isFinished = true
      writeFrom(`${line}\n`, 0)
      const endsAt = timers.now() + maxMs
      while (pending > 0 && timers.now() < endsAt) await waitFor(timers, FINISH_CHECK_MS)
    },
  }
}
