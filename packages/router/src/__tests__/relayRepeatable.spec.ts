import { Readable } from 'node:stream'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendServer, Fleet } from '@spoolgate/config'
import {
  createInvariants,
  createManualTimerService,
  createQuietLogger,
  toBackendServerId,
  toRequestId,
  toTeamId,
  type HttpRequest,
  type ManualTimerService,
} from '@spoolgate/core'
import {
  CALL_HEADER,
  formatFrame,
  FRAME_EVENTS,
  HINTS_HEADER,
  type CallHeader,
  type EndFrame,
  type ReplyHints,
} from '@spoolgate/routing'
import { expect } from 'chai'
import type { CallContext } from '../relay/callContext.js'
import type { RelayDependencies } from '../relay/relayDependencies.js'
import { relayRepeatable } from '../relay/relayRepeatable.js'

const TEAM = toTeamId('team-a')
const CHUNK = JSON.stringify({ id: 'c', choices: [{ delta: { content: 'text' } }] })
const HEAD = formatFrame(
  1,
  FRAME_EVENTS.head,
  JSON.stringify({ status: 200, contentType: 'text/event-stream' }),
)
const HINTS = { matchedTokens: 0 } as ReplyHints

function formatEnd(sequence: number, end: EndFrame): string {
  return formatFrame(sequence, FRAME_EVENTS.end, JSON.stringify(end))
}
function formatWhole(): string {
  const data = formatFrame(2, undefined, CHUNK) + formatFrame(3, undefined, '[DONE]')
  return HEAD + data + formatEnd(4, { outcome: 'finished' })
}

describe('relaying a repeatable request over several attempts', () => {
  let timers: ManualTimerService
  /** Frames of each attempt, and what happens before they are read. */
  let answers: (() => string)[]
  /** What the heads of the attempts have beside their usual fields. */
  let respond: readonly Partial<IncomingMessage>[]
  let headers: CallHeader[]
  let written: string
  let ejections: string[]
  let retries: number

  beforeEach(() => {
    timers = createManualTimerService()
    headers = []
    respond = []
    written = ''
    ejections = []
    retries = 0
  })

  const send = async (request: HttpRequest) => {
    headers.push(JSON.parse(String(request.headers?.[CALL_HEADER])) as CallHeader)
    const frames = answers[headers.length - 1]()
    return Object.assign(Readable.from([Buffer.from(frames)]), {
      statusCode: 200,
      headers: { [HINTS_HEADER]: JSON.stringify(HINTS), 'transfer-encoding': 'chunked' },
      complete: true,
      socket: { errored: null },
      ...respond[headers.length - 1],
    }) as unknown as IncomingMessage
  }
  const relay = (deadline: number | undefined) => {
    const logger = createQuietLogger()
    const instrument = { add: () => {}, record: () => {} }
    const servers = ['e0', 'e1'].map((id) => ({ id: toBackendServerId(id), sidecarUrl: id }))
    const ignore = () => {}
    const deps = {
      client: { send },
      timers,
      logger,
      invariants: createInvariants({ logger, fatal: true }),
      config: {
        current: () =>
          ({
            version: 1,
            routing: { maxAttempts: 3, firstTokenTimeoutMs: 1e6, wholeAnswerTimeoutMs: 1e6 },
          }) as Fleet,
      },
      serverSelector: {
        findPolicy: () => 'random',
        choose: async ({ excluded }: { excluded: ReadonlySet<string> }) => {
          const server = servers.find(({ id }) => !excluded.has(id)) as BackendServer | undefined
          return server && { chosen: { server }, policy: 'random', acceptMs: undefined }
        },
      },
      decisions: { recordAttempt: ignore, recordOutcome: ignore },
      state: {
        hints: {
          record: ignore,
          recordCachedPrefix: ignore,
          addCall: ignore,
          removeCall: ignore,
          remove: ignore,
        },
      },
      ejection: {
        record: (server: string, outcome: string) => ejections.push(`${server} ${outcome}`),
      },
      budget: { recordFirstAttempt: ignore, takeRetry: () => (retries += 1) > 0 },
      instruments: new Proxy({}, { get: () => instrument }),
    } as unknown as RelayDependencies
    const response = {
      writeHead: ignore,
      write: (text: string) => (written += text) !== '',
      end: ignore,
      once: ignore,
    } as unknown as ServerResponse
    const context = {
      request: toRequestId('r'),
      team: TEAM,
      parameters: { share: 1, protectedWindows: [] },
      method: 'POST',
      path: '/v1/chat/completions',
      contentType: 'application/json',
      body: Buffer.from('{}'),
      chain: { scope: '', levels: [], totalTokens: 0 },
      isStream: true,
      priority: 5,
      deadline,
      startedAt: 0,
      response,
      callerSignal: new AbortController().signal,
    } as unknown as CallContext
    return relayRepeatable(deps, context)
  }

  it('continues a stream without the deadline of its first token', async () => {
    answers = [
      () => {
        timers.advance(5_000)
        const failed = formatEnd(3, { outcome: 'failed', reason: 'engine crashed' })
        return HEAD + formatFrame(2, undefined, CHUNK) + failed
      },
      formatWhole,
    ]
    await relay(1_000)
    expect(headers.map(({ deadlineMs }) => deadlineMs)).to.deep.equal([1_000, undefined])
    expect(written).to.include('[DONE]')
  })

  it('sends what is left of the deadline while no token was delivered', async () => {
    answers = [
      () => {
        timers.advance(400)
        return formatEnd(1, { outcome: 'failed', reason: 'refused', notRun: true })
      },
      formatWhole,
    ]
    await relay(1_000)
    expect(headers.map(({ deadlineMs }) => deadlineMs)).to.deep.equal([1_000, 600])
  })

  it('does not count a call that was declined after a wait as a failure of its server', async () => {
    const declined = { decline: { declined: 'wrongWeights' }, hints: HINTS } as const
    const end = { outcome: 'failed', reason: 'wrongWeights', notRun: true, declined } as const
    answers = [() => formatEnd(1, end), formatWhole]
    await relay(undefined)
    expect(ejections).to.deep.equal(['e1 ok'])
    expect(retries).to.equal(0)
    expect(written).to.include('[DONE]')
  })

  // The error of the cut body reached the caller as that of its own request.
  it('tries another server when a decline breaks off', async () => {
    answers = [() => '{"decl', formatWhole]
    respond = [{ statusCode: 409, complete: false }]
    await relay(undefined)
    expect(ejections).to.deep.equal(['e0 failed', 'e1 ok'])
    expect(written).to.include('[DONE]')
  })

  it('refuses as not run what every server declined after a wait', async () => {
    const declined = { decline: { declined: 'notReady' }, hints: HINTS } as const
    const end = { outcome: 'failed', reason: 'notReady', notRun: true, declined } as const
    answers = [() => formatEnd(1, end), () => formatEnd(1, end)]
    const error = await relay(undefined).then(
      () => undefined,
      (cause: { kind: string; notRun: boolean }) => cause,
    )
    expect(error).to.include({ kind: 'declined', notRun: true })
  })
})
