// Judges a run of the tests: node .ci/judgeTests.js REPORT EXIT-STATUS
import { existsSync, readFileSync } from 'node:fs'
import { formatJudgement, judgeRun, LIST_NAME, parseReport } from './knownRed.js'

const [reportPath, exitStatus] = process.argv.slice(2)
const list = new URL(`../${LIST_NAME}`, import.meta.url)
const report = parseReport(readFileSync(reportPath, 'utf8'))
if (report === undefined) {
  console.error(`mocha ended with status ${exitStatus} and left no whole report`)
  process.exit(1)
}
const judgement = judgeRun(
  existsSync(list) ? readFileSync(list, 'utf8') : '',
  report,
  Number(exitStatus),
)
console.log(formatJudgement(judgement))
if (judgement.faults.length > 0) process.exitCode = 1
