/** How commands end: exit codes and messages. */

/** Exit codes of the command. */
export const EXIT_CODES = { ok: 0, failedRun: 1, badUse: 2 } as const

/** An error that ends a command with one readable message. */
export class CliError extends Error {
  constructor(
    message: string,
    readonly exitCode: number,
    /** Whether waiting may help, as with a file that is still to be written. */
    readonly mayPass = false,
  ) {
    super(message)
  }
}

/** Prints to standard output. */
export function printLine(text: string): void {
  process.stdout.write(`${text}\n`)
}
