// A reporter of mocha: dots and failures for people, and a report for judgeTests.js. It is CommonJS
// because mocha takes a reporter with require(). Mocha's JSON reporter would not do: it names neither
// hooks as such nor how many tests were planned.
const { writeFileSync } = require('node:fs')
const { reporters, Runner } = require('mocha')

const { EVENT_TEST_PASS, EVENT_TEST_FAIL, EVENT_TEST_PENDING, EVENT_RUN_END } = Runner.constants

const OUTCOMES = [
  [EVENT_TEST_PASS, 'passed'],
  [EVENT_TEST_FAIL, 'failed'],
  [EVENT_TEST_PENDING, 'skipped'],
]

/** Writes a `Report` (see knownRed.js) to the file of `--reporter-option output=FILE`. */
module.exports = class RecordingReporter extends reporters.Dot {
  constructor(runner, options) {
    super(runner, options)
    const records = []
    for (const [event, outcome] of OUTCOMES) {
      runner.on(event, (runnable) =>
        records.push({ title: runnable.fullTitle(), outcome, isTest: runnable.type === 'test' }),
      )
    }
    runner.once(EVENT_RUN_END, () =>
      writeFileSync(
        options.reporterOptions.output,
        JSON.stringify({ planned: runner.total, records }),
      ),
    )
  }
}
