import {
  createManualTimerService,
  toBackendServerId,
  toPromptPartId,
  type PromptPartId,
} from '@spoolgate/core'
import { expect } from 'chai'
import { createPartEvidence } from '../partEvidence.js'
import {
  MAX_PARTS_PER_CRASH,
  NEVER_ANSWERED,
  UNKNOWN_ANSWERED,
  type PartInFlight,
} from '../partReport.js'

const ENGINES = 6
const BAD = toPromptPartId('bad')
const COMMON = toPromptPartId('common')
const HELD_MS = 50

interface InFlight {
  readonly part: PromptPartId
  readonly heldMs?: number
  readonly answeredAgeMs?: number
  readonly sends?: number
  readonly sharePercent?: number
}

function createCase() {
  const timers = createManualTimerService()
  const evidence = createPartEvidence({ timers, countServers: () => ENGINES })
  let crashes = 0
  /** Reports a crash some time after the last one. */
  const crash = (inFlight: readonly InFlight[], afterMs = 100) => {
    timers.advance(afterMs)
    crashes += 1
    const parts = inFlight.map(
      ({
        part,
        heldMs = HELD_MS,
        answeredAgeMs = NEVER_ANSWERED,
        sends = 1,
        sharePercent = 20,
      }): PartInFlight => [part, sends, heldMs, answeredAgeMs, sharePercent],
    )
    const server = toBackendServerId(`e${crashes}`)
    evidence.addCrash({ server, ageMs: 0, parts })
    return server
  }
  return { timers, evidence, crash }
}

describe('the evidence against parts of prompts', () => {
  it('names a part that was never answered at the second crash after a new send', () => {
    const { evidence, crash } = createCase()
    const common = { part: COMMON, answeredAgeMs: 1_000, sends: 9 }
    const first = crash([{ part: BAD }, common])
    expect(evidence.findVerdict()).to.equal(undefined)
    expect(evidence.listSuspects()).to.deep.equal([BAD])
    const second = crash([{ part: BAD }, common])
    const verdict = evidence.findVerdict()
    expect(verdict?.part).to.equal(BAD)
    expect(verdict?.servers).to.deep.equal([first, second])
  })

  it('counts crashes of engines to which a part had been sent before the first of them once', () => {
    const { evidence, crash } = createCase()
    for (let count = 1; count <= 4; count += 1) crash([{ part: BAD, heldMs: 100 * count + 50 }])
    expect(evidence.findVerdict()).to.equal(undefined)
  })

  it('takes a complete response after the crashes as proof against them', () => {
    const { timers, evidence, crash } = createCase()
    crash([{ part: BAD }])
    timers.advance(10)
    evidence.recordAnswered([BAD, 0])
    crash([{ part: BAD }])
    expect(evidence.findVerdict()).to.equal(undefined)
  })

  it('names a part that was answered before only after five crashes without a response', () => {
    const { evidence, crash } = createCase()
    const inFlight = () => [{ part: COMMON, answeredAgeMs: 60_000 }]
    for (let count = 1; count <= 4; count += 1) crash(inFlight())
    expect(evidence.findVerdict()).to.equal(undefined)
    crash(inFlight())
    expect(evidence.findVerdict()?.part).to.equal(COMMON)
  })

  it('attributes crashes to one part, and none of them to others that were in flight', () => {
    const { evidence, crash } = createCase()
    const other = toPromptPartId('other')
    crash([{ part: BAD }, { part: other, sends: 3 }])
    crash([{ part: BAD }, { part: other, sends: 3 }])
    crash([{ part: BAD }, { part: other, sends: 3 }])
    expect(evidence.findVerdict()?.part).to.equal(BAD)
    evidence.recordCause(BAD)
    expect(evidence.findVerdict()).to.equal(undefined)
    crash([{ part: BAD }, { part: other }])
    expect(evidence.listSuspects()).to.deep.equal([])
  })

  it('waits for a third crash where two parts were in flight at the same crashes', () => {
    const { evidence, crash } = createCase()
    const other = toPromptPartId('other')
    crash([{ part: BAD }, { part: other }])
    crash([{ part: BAD }, { part: other }])
    expect(evidence.findVerdict()).to.equal(undefined)
    crash([{ part: BAD }])
    expect(evidence.findVerdict()?.part).to.equal(BAD)
  })

  it('names a part of which no router can tell only after five crashes', () => {
    const { evidence, crash } = createCase()
    for (let count = 1; count <= 4; count += 1)
      crash([{ part: BAD, answeredAgeMs: UNKNOWN_ANSWERED }])
    expect(evidence.findVerdict()).to.equal(undefined)
    crash([{ part: BAD, answeredAgeMs: UNKNOWN_ANSWERED }])
    expect(evidence.findVerdict()?.part).to.equal(BAD)
  })

  it('never names a part that nearly all requests have', () => {
    const { evidence, crash } = createCase()
    for (let count = 1; count <= 9; count += 1) crash([{ part: COMMON, sharePercent: 95 }])
    expect(evidence.findVerdict()).to.equal(undefined)
  })

  it('keeps nothing of parts beyond the bound of a crash', () => {
    const { evidence, crash } = createCase()
    const others = Array.from({ length: MAX_PARTS_PER_CRASH }, (_, index) => ({
      part: toPromptPartId(`other-${index}`),
    }))
    crash([...others, { part: BAD }])
    for (let count = 1; count <= 2; count += 1)
      crash([{ part: BAD, answeredAgeMs: UNKNOWN_ANSWERED }])
    expect(evidence.findVerdict()).to.equal(undefined)
  })

  it('needs more crashes where engines crash without the part as well', () => {
    const { evidence, crash } = createCase()
    for (let count = 0; count < 4; count += 1) {
      crash([{ part: COMMON, answeredAgeMs: 10 }], 1_000)
    }
    crash([{ part: BAD, heldMs: 200 }])
    crash([{ part: BAD, heldMs: 90 }])
    expect(evidence.findVerdict()).to.equal(undefined)
    crash([{ part: BAD, heldMs: 90 }])
    expect(evidence.findVerdict()?.part).to.equal(BAD)
  })
})
