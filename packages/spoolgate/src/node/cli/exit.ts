/** How commands end: exit codes and planned stops. */

/** Exit codes of the command. */
export const EXIT_CODES = { ok: 0, failedRun: 1, badUse: 2 } as const

/** An error that ends a command with one readable message. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
  ) {
    super(message)
  }
}

/** Waits for SIGTERM or SIGINT. */
export function waitForStop(): Promise<string> {
  return new Promise((resolve) => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) process.once(signal, () => resolve(signal))
  })
}

/** Prints to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`)
}
