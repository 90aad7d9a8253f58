/**
 * Signals of this process. Node ends a process by the default action of a signal that nothing listens to, so programs
 * load this module before anything else; it imports nothing for that reason.
 */

/** Signals that have a listener; any other one has its default action. */
export const HANDLED_SIGNALS = [
  'SIGTERM',
  'SIGINT',
  'SIGQUIT',
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
] as const

/** A signal that has a listener. */
export type HandledSignal = (typeof HANDLED_SIGNALS)[number]

/** See {@link installSignals}. */
export interface ProcessSignals {
  /** Passes on every signal from now on, after those that were received before, each of these once. */
  follow(handle: (signal: HandledSignal) => void): void
}

let installed: ProcessSignals | undefined

/** Listens to the signals for as long as the process runs; none of them ends it by default any more. */
export function installSignals(): ProcessSignals {
  installed ??= createProcessSignals()
  return installed
}

function createProcessSignals(): ProcessSignals {
  const received = new Set<HandledSignal>()
  let handle = (signal: HandledSignal): void => void received.add(signal)
  for (const signal of HANDLED_SIGNALS) process.on(signal, () => handle(signal))
  return {
    follow: (next) => {
      handle = next
      for (const signal of received) next(signal)
      received.clear()
    },
  }
}
