import { expect } from 'chai'
import {
  EXEMPT_ISSUES,
  formatJudgement,
  judgeRun,
  MAX_KNOWN_RED,
  parseKnownRed,
  parseReport,
  UNSTEADY,
} from '../knownRed.js'

const LISTED = 'a router keeps its word | the word is lost | issue 24'

const passed = { title: 'a router starts', outcome: 'passed', isTest: true }
const red = { title: 'a router keeps its word', outcome: 'failed', isTest: true }

/** Judges the records as a run that came to its end. */
function judge(list, records) {
  const failures = records.filter((record) => record.outcome === 'failed').length
  const planned = records.filter((record) => record.isTest).length
  return judgeRun(list, { planned, records }, failures)
}

describe('known red tests', () => {
  it('that are listed and fail leave the run green and are printed', () => {
    const judgement = judge(LISTED, [passed, red])
    expect(judgement.faults).to.deep.equal([])
    expect(formatJudgement(judgement)).to.equal(`known red: ${LISTED}\n1 passed, 0 failed`)
  })

  it('that are listed and pass make it red', () => {
    const judgement = judge(LISTED, [passed, { ...red, outcome: 'passed' }])
    expect(judgement.faults).to.deep.equal([`KNOWN-RED.txt: listed, but passed: ${red.title}`])
    expect(judgement.knownRed).to.deep.equal([])
  })

  it('that are listed and skipped make it red', () => {
    const judgement = judge(LISTED, [passed, { ...red, outcome: 'skipped' }])
    expect(judgement.faults).to.deep.equal([`KNOWN-RED.txt: listed, but skipped: ${red.title}`])
  })

  it('that are listed and missing make it red', () => {
    const judgement = judge(LISTED, [passed])
    expect(judgement.faults).to.deep.equal([`KNOWN-RED.txt: no such test ran: ${red.title}`])
  })

  it('that are not listed and fail make it red, beside one that is listed', () => {
    const judgement = judge(LISTED, [passed, red, { ...passed, outcome: 'failed' }])
    expect(judgement.faults).to.deep.equal([`failed: ${passed.title}`])
    expect(formatJudgement(judgement)).to.match(/\n1 passed, 1 failed$/)
    expect(judge('', [passed, red]).faults).to.deep.equal([`failed: ${red.title}`])
  })

  it('that share a title cannot be listed', () => {
    for (const outcome of ['failed', 'passed', 'skipped']) {
      const judgement = judge(LISTED, [passed, red, { ...red, outcome }])
      expect(judgement.knownRed).to.deep.equal([])
      expect(judgement.faults[0]).to.match(/two tests of this title/)
      expect(judgement.failed).to.equal(outcome === 'failed' ? 2 : 1)
    }
  })

  it('do not excuse a hook, even one of the title that is listed', () => {
    const hook = { title: 'a router "before all" hook', outcome: 'failed', isTest: false }
    const fault = `failed outside of a test: ${hook.title}`
    expect(judge(LISTED, [passed, red, hook]).faults).to.deep.equal([fault])
    const listed = judge(`${hook.title} | a hook | issue 2`, [passed, hook])
    expect(listed.faults).to.deep.equal([`KNOWN-RED.txt: no such test ran: ${hook.title}`, fault])
    expect(judge(LISTED, [passed, red, { ...hook, title: red.title }]).failed).to.equal(1)
  })
})

describe('the list of known red tests', () => {
  it('may be empty, and have blank lines and spaces', () => {
    expect(parseKnownRed('')).to.deep.equal({ entries: [], faults: [] })
    expect(parseKnownRed('\n  a b  |  c d |issue 7\r\n \n')).to.deep.equal({
      entries: [{ title: 'a b', cause: 'c d', issue: 'issue 7' }],
      faults: [],
    })
  })

  it('makes the run red with a line of another form', () => {
    const malformed = [
      'a title',
      'a title | a cause',
      'a title | a cause | 24',
      'a title | a cause | issue 0',
      'a title | a cause | issue 24 and 25',
      'a title | | issue 24',
      ' | a cause | issue 24',
      'a title | a cause | more | issue 24',
      'a title | a cause | issue 24 | more',
      '# a comment',
    ]
    for (const line of malformed) {
      const judgement = judge(`${LISTED}\n${line}`, [passed, red])
      expect(judgement.faults, line).to.have.length(1)
      expect(judgement.faults[0]).to.match(/^KNOWN-RED\.txt:2: not of the form/)
    }
  })

  it('makes the run red when it names a test twice', () => {
    const judgement = judge(`${LISTED}\n${LISTED}`, [passed, red])
    expect(judgement.faults).to.deep.equal([`KNOWN-RED.txt:2: listed twice: ${red.title}`])
  })

  it('makes the run red with more than three lines', () => {
    const titles = ['a', 'b', 'c', 'd']
    const records = titles.map((title) => ({ ...red, title }))
    const lines = titles.map((title) => `${title} | a cause | issue 24`)
    const most = judge(lines.slice(1).join('\n'), [passed, ...records.slice(1)])
    expect(most.knownRed).to.have.length(MAX_KNOWN_RED)
    expect(most.faults).to.deep.equal([])
    const judgement = judge(lines.join('\n'), [passed, ...records])
    expect(judgement.faults).to.deep.equal(['KNOWN-RED.txt: 4 tests, but 3 at most'])
  })

  it('counts no line of an exempt issue against these three, and no other line as exempt', () => {
    const exempt = ['a', 'b', 'c', 'd', 'e'].map((title) => ({ title, issue: EXEMPT_ISSUES[0] }))
    const others = ['f', 'g', 'h', 'i'].map((title, index) => ({
      title,
      issue: `issue ${index}93`,
    }))
    others[0].issue = 'issue 9'
    const judgeAll = (entries) =>
      judge(entries.map(({ title, issue }) => `${title} | a cause | ${issue}`).join('\n'), [
        passed,
        ...entries.map(({ title }) => ({ ...red, title })),
      ])
    expect(EXEMPT_ISSUES).to.deep.equal(['issue 93'])
    const most = judgeAll([...exempt, ...others.slice(1)])
    expect(most.knownRed).to.have.length(exempt.length + MAX_KNOWN_RED)
    expect(most.faults).to.deep.equal([])
    expect(judgeAll([...others, ...exempt]).faults).to.deep.equal([
      'KNOWN-RED.txt: 4 tests, but 3 at most',
    ])
  })

  it('lets an unsteady test of an exempt issue pass or fail, and no other', () => {
    const line = (issue) => `${red.title} | ${UNSTEADY}a cause | ${issue}`
    const judgeOne = (issue, outcome) => judge(line(issue), [passed, { ...red, outcome }]).faults
    expect(judgeOne(EXEMPT_ISSUES[0], 'passed')).to.deep.equal([])
    expect(judgeOne(EXEMPT_ISSUES[0], 'failed')).to.deep.equal([])
    expect(judgeOne(EXEMPT_ISSUES[0], 'skipped')).to.have.length(1)
    expect(judgeOne('issue 24', 'passed')).to.have.length(1)
  })

  it('wants each line of an exempt issue to name one test that fails', () => {
    const line = `${red.title} | a cause | ${EXEMPT_ISSUES[0]}`
    expect(judge(line, [passed, { ...red, outcome: 'passed' }]).faults).to.have.length(1)
    expect(judge(line, [passed]).faults).to.have.length(1)
    expect(judge(`${line}\n${line}`, [passed, red]).faults).to.have.length(1)
  })
})

describe('a run of the tests', () => {
  it('is green when all pass, and tells of skipped ones', () => {
    const judgement = judge('', [passed, { ...red, outcome: 'skipped' }])
    expect(judgement.faults).to.deep.equal([])
    expect(formatJudgement(judgement)).to.equal('1 passed, 0 failed, 1 skipped')
  })

  it('is red when no test ran, or only a listed one', () => {
    expect(judge('', []).faults).to.deep.equal(['no test ran, or none passed'])
    expect(formatJudgement(judge('', []))).to.equal('red: no test ran, or none passed')
    expect(judge(LISTED, [red]).faults).to.deep.equal(['no test ran, or none passed'])
  })

  it('is red when it ended before all tests had', () => {
    const { faults } = judgeRun(LISTED, { planned: 4, records: [passed, red] }, 1)
    expect(faults).to.deep.equal(['2 of 4 tests did not end'])
  })

  it('is red when mocha ended otherwise than with the count of failures', () => {
    const report = { planned: 2, records: [passed, red] }
    expect(judgeRun(LISTED, report, 1).faults).to.deep.equal([])
    for (const status of [0, 2, 7, 137, NaN]) {
      expect(judgeRun(LISTED, report, status).faults).to.deep.equal([
        `mocha ended with status ${status} with 1 failed`,
      ])
    }
  })

  it('has no report when mocha crashed', () => {
    for (const text of ['', '{"planned":2,"rec', 'null', '{}', '{"planned":2}']) {
      expect(parseReport(text), text).to.equal(undefined)
    }
    const report = { planned: 1, records: [passed] }
    expect(parseReport(JSON.stringify(report))).to.deep.equal(report)
  })
})
