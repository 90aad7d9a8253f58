/** HTTP routes of the fleet configuration: submission, long polls of nodes, history, diffs and node versions. */
import type { ServerResponse } from 'node:http'
import {
  formatProblems,
  parseText,
  resolveFleetConfig,
  type FleetConfigInput,
} from '@spoolgate/config'
import {
  BODY_LIMITS,
  readJson,
  sendJson,
  SpoolgateError,
  type HttpExchange,
  type Route,
  type TimerService,
} from '@spoolgate/core'
import { firstValueFrom, fromEvent, race, type Observable } from 'rxjs'
import type { RaftMember } from '../raft/types.js'
import type { SubmitConfigResult } from '../state/configState.js'
import type { ControlStateMachine } from '../state/controlMachine.js'
import { buildFleetPatch, listPatchedItems } from '../state/fleetPatch.js'
import type { NodeVersions } from './nodeVersions.js'

/** Options of {@link createConfigRoutes}. */
export interface ConfigRoutesOptions {
  readonly member: RaftMember
  readonly machine: ControlStateMachine
  readonly nodes: NodeVersions
  readonly timers: TimerService
  readonly processKey: string
  readonly operatorKey: string
  /** Emits when the instance stops; pending long polls are then answered immediately. */
  readonly stopping: Observable<unknown>
}

/** Request body of a configuration submission. */
export interface SubmitConfigRequest {
  readonly changeId: string
  readonly base: number
  readonly operator: string
  /** Configuration as a value; alternatively `text`, for which problems are reported with their position in `file`. */
  readonly source?: FleetConfigInput
  readonly text?: string
  readonly file?: string
}

/** Maximum wait of a long poll, in ms. */
export const MAX_POLL_WAIT_MS = 30_000

function parseSource(request: SubmitConfigRequest): FleetConfigInput {
  if (request.text === undefined) return checkSource(request.source, undefined)
  const parsed = parseText(request.file ?? 'fleet', request.text)
  if (parsed.isErr()) throw new SpoolgateError('invalidSettings', formatProblems(parsed.error))
  return checkSource(parsed.value.value, parsed.value)
}

function checkSource(
  source: unknown,
  place: { place(problem: { path: readonly PropertyKey[]; message: string }): object } | undefined,
): FleetConfigInput {
  const resolved = resolveFleetConfig(source, 0)
  if (resolved.isOk()) return source as FleetConfigInput
  const problems = place ? resolved.error.map((problem) => place.place(problem)) : resolved.error
  const text = resolved.error.map((problem) => problem.message).join('; ')
  throw new SpoolgateError('invalidSettings', text, { details: { problems } })
}

function checkSubmit(body: unknown): SubmitConfigRequest {
  const request = body as SubmitConfigRequest
  const isNamed = typeof request?.changeId === 'string' && typeof request.operator === 'string'
  if (isNamed && Number.isInteger(request.base)) return request
  throw new SpoolgateError(
    'invalidRequest',
    'changeId, operator and base (the version that the change is based on) are required',
  )
}

function toConflictError(
  result: Exclude<SubmitConfigResult, { kind: 'accepted' }>,
): SpoolgateError {
  const message =
    result.kind === 'conflict'
      ? `version ${result.version} is newer than the base; fetch it, reapply the change and submit again`
      : 'this changeId was already used for a different configuration; choose a new one'
  return new SpoolgateError('conflict', message, { details: result })
}

/** Creates the configuration routes. */
export function createConfigRoutes(options: ConfigRoutesOptions): Route[] {
  const { member, machine, nodes, timers, processKey, operatorKey } = options

  const submit = async ({ request, response }: HttpExchange) => {
    const submitted = checkSubmit(await readJson(request, BODY_LIMITS.configuration))
    const source = parseSource(submitted)
    const { changeId, base, operator } = submitted
    const at = timers.wallNow()
    const command = { kind: 'config.submit', changeId, base, operator, source, at } as const
    const result = (await member.propose(command)) as SubmitConfigResult
    if (result.kind !== 'accepted') throw toConflictError(result)
    sendJson(response, 200, result)
  }

  const waitForVersion = async (after: number, waitMs: number, response: ServerResponse) => {
    if (machine.config.version() > after) return
    const timeout = timers.after(Math.min(waitMs, MAX_POLL_WAIT_MS))
    // Ends the poll when the node disconnects or the instance stops; otherwise it would delay shutdown by its full wait.
    const pollEnded = race(
      machine.configVersions,
      timeout,
      fromEvent(response, 'close'),
      options.stopping,
    )
    await firstValueFrom(pollEnded, { defaultValue: undefined })
  }
  const servePoll = async ({ response, query }: HttpExchange) => {
    const after = Number(query.get('after') ?? -1)
    const node = query.get('node')
    if (node) nodes.record(node, after)
    await waitForVersion(after, Number(query.get('wait') ?? 0), response)
    if (response.destroyed) return
    const update = machine.config.buildUpdate(after)
    if (update) sendJson(response, 200, update)
    else sendJson(response, 200, { kind: 'current', version: machine.config.version() })
  }

  const showCurrent = ({ response }: HttpExchange) => {
    member.checkCurrent()
    const { config } = machine
    sendJson(response, 200, { version: config.version(), source: config.source() })
  }
  const showHistory = ({ response }: HttpExchange) => {
    member.checkCurrent()
    sendJson(response, 200, {
      version: machine.config.version(),
      changes: machine.config.history(),
    })
  }
  const findStoredSource = (text: string | null) => {
    const source = machine.config.findSource(Number(text))
    if (source) return source
    throw new SpoolgateError(
      'notFound',
      `configuration version ${text} is not stored; see the history for available versions`,
    )
  }
  const showVersion = ({ response, params }: HttpExchange) =>
    sendJson(response, 200, {
      version: Number(params.version),
      source: findStoredSource(params.version),
    })
  const showDiff = ({ response, query }: HttpExchange) => {
    const patch = buildFleetPatch(
      findStoredSource(query.get('from')),
      findStoredSource(query.get('to')),
    )
    sendJson(response, 200, { touched: listPatchedItems(patch), patch })
  }
  const showStatus = ({ response }: HttpExchange) =>
    sendJson(response, 200, { version: machine.config.version(), nodes: nodes.list() })

  return [
    { method: 'POST', path: '/config', key: operatorKey, handler: submit },
    { method: 'GET', path: '/config', key: processKey, handler: servePoll },
    { method: 'GET', path: '/config/current', key: operatorKey, handler: showCurrent },
    { method: 'GET', path: '/config/history', key: operatorKey, handler: showHistory },
    { method: 'GET', path: '/config/diff', key: operatorKey, handler: showDiff },
    { method: 'GET', path: '/config/status', key: operatorKey, handler: showStatus },
    { method: 'GET', path: '/config/versions/:version', key: operatorKey, handler: showVersion },
  ]
}
