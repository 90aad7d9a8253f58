/**
 * Choosing a backend server for the direct path: the one with the least expected time to the first
 * part of the answer, as far as this router can tell.
 */
import type { FleetView, RegisteredServer, ServerLoad } from '@spoolgate/control'
import type { BackendServerId } from '@spoolgate/core'
import { hashText, type ServerGroup } from '@spoolgate/routing'
import type { PromptFacts } from './dialects.js'
import type { PartMemory } from './partMemory.js'
import type { ServerBoard } from './serverBoard.js'

/** What a choice is made for. */
export interface ChoiceInput {
  readonly view: FleetView
  readonly group: ServerGroup
  readonly prompt: PromptFacts | undefined
  /** What cached parts must share, for a weights version; undefined for plain services. */
  readonly formatScope: ((version: number) => string) | undefined
  /** Servers that this request must not be sent to again. */
  readonly excluded: ReadonlySet<BackendServerId>
  readonly hall: string
}

/** A server with the reasons for its rank. */
export interface Candidate {
  readonly server: RegisteredServer
  /** Expected time to the first part, with penalties, in ms. */
  readonly cost: number
  readonly matchedTokens: number
  /** Version of the weights that it holds; undefined for plain services. */
  readonly version: number | undefined
}

/** Parts that a choice reads. */
export interface ChoiceParts {
  readonly board: ServerBoard
  readonly memory: PartMemory
}

/** Prompt tokens that an engine reads in a ms; 57 on the deployments known. */
const PREFILL_TOKENS_PER_MS = 55
/** Time that each running request adds to the first token of another, in ms. */
const RUNNING_MS = 0.4
/** Expected time of one request to a plain service, in ms; 21 to 86 on the deployments known. */
const PLAIN_WORK_MS = 60
/** Way to another data hall and back, and the price of the bytes, in ms. */
const OTHER_HALL_MS = 6
/** Cost of weights that are older than the wanted ones: a fifth of what the answer is worth. */
const OLD_WEIGHTS_MS = 150
/** Cost of a server that loads weights: it refuses until it is done, after 1 s or so. */
const LOADING_MS = 5_000
/** Cost of a server that failed lately: it is used when there is no other. */
const EJECTED_MS = 10_000
/** Most that a preferred place may cost, in ms, before the request goes elsewhere. */
const HOME_BONUS_MS = 40

function findHeldVersion(server: RegisteredServer, model: string): number | undefined {
  return server.weights.find((held) => held.model === model)?.version
}

function addUpLoad(a: ServerLoad, b: ServerLoad | undefined): ServerLoad {
  return b ? { calls: a.calls + b.calls, promptTokens: a.promptTokens + b.promptTokens } : a
}

/** Finds the server that all routers prefer for a session, without a word between them. */
function findHome(prompt: PromptFacts, servers: readonly RegisteredServer[]) {
  const shared = prompt.parts.slice(0, -1)
  if (shared.length === 0) return undefined
  const key = hashText(shared.map(({ id }) => id).join('/'))
  let best: RegisteredServer | undefined
  let bestScore = -1
  for (const server of servers) {
    const score = hashText(server.id, key)
    if (score > bestScore) [best, bestScore] = [server, score]
  }
  return best?.id
}

function estimateEngineCost(
  input: ChoiceInput,
  prompt: PromptFacts,
  server: RegisteredServer,
  load: ServerLoad,
  { board, memory }: ChoiceParts,
): { cost: number; matchedTokens: number; version: number | undefined } {
  const registered = findHeldVersion(server, prompt.model)
  const version =
    registered === undefined ? undefined : Math.max(registered, board.findVersion(server.id))
  const scope = version === undefined ? undefined : input.formatScope?.(version)
  const matchedTokens =
    scope === undefined ? 0 : memory.countMatched(server.id, scope, prompt.parts)
  const wanted = input.view.weights[prompt.model] ?? 0
  const queueMs = load.promptTokens / PREFILL_TOKENS_PER_MS + load.calls * RUNNING_MS
  const readMs = (prompt.promptTokens - matchedTokens) / PREFILL_TOKENS_PER_MS
  const oldMs = version !== undefined && version < wanted ? OLD_WEIGHTS_MS : 0
  return { cost: queueMs + readMs + oldMs, matchedTokens, version }
}

/** Ranks the servers of a group that may take the request, the best first. */
export function rankServers(parts: ChoiceParts, input: ChoiceInput): Candidate[] {
  const { view, group, prompt, excluded } = input
  const inGroup = [...view.servers.values()].filter(
    (server) => server.group === group.name && server.phase === 'ready',
  )
  const usable = inGroup.filter(({ id }) => !excluded.has(id))
  const ejected = parts.board.listEjected(inGroup)
  const home = prompt && findHome(prompt, inGroup)
  const ranked = usable.map((server): Candidate => {
    const load = addUpLoad(parts.board.findLoad(server.id), view.loads[server.id])
    const found = prompt
      ? estimateEngineCost(input, prompt, server, load, parts)
      : { cost: load.calls * PLAIN_WORK_MS, matchedTokens: 0, version: undefined }
    let { cost } = found
    if (server.hall !== input.hall) cost += OTHER_HALL_MS
    if (server.id === home) cost -= HOME_BONUS_MS
    if (view.loading.has(server.id)) cost += LOADING_MS
    if (ejected.has(server.id)) cost += EJECTED_MS
    return { server, ...found, cost }
  })
  return ranked.sort((a, b) => a.cost - b.cost || (a.server.id < b.server.id ? -1 : 1))
}
