/**
 * Where the shared parts of a prompt are: at engines that this router sent them to, or else at the
 * engine where every router sends them first, which all work out alike without a word between them.
 */
import type { FleetView, RegisteredServer } from '@spoolgate/control'
import { toBackendServerId, type BackendServerId } from '@spoolgate/core'
import { hashText } from '@spoolgate/routing'
import type { PromptFacts, PromptPart } from './dialects.js'
import type { PartMemory } from './partMemory.js'
import type { ServerBoard } from './serverBoard.js'
import { LONG_PROMPT_TOKENS } from './workSplit.js'

/** An engine that may hold shared parts of a prompt. */
export interface Source {
  readonly id: BackendServerId
  readonly address: string
  readonly version: number
  /** Leading tokens that it is presumed to hold. */
  readonly matchedTokens: number
}

/** What is known of the whereabouts of a prompt's shared parts. */
export interface PromptPlaces {
  /** Engines that should take long prompts; undefined where the group is not divided. */
  readonly forLong: ReadonlySet<BackendServerId> | undefined
  /** Engines that this router knows to hold some, the most first. */
  readonly known: readonly Source[]
  /** Engine that should read what nobody is known to hold, by weights version. */
  findHome(version: number): BackendServerId | undefined
  /** Store that should get the shared parts for a version; undefined where it has them, or is down. */
  findStore(version: number): StorePlace | undefined
  /** Where to fetch from for an engine of a version; undefined where there is nothing to gain. */
  findSource(version: number, reader: BackendServerId, matchedTokens: number): Source | undefined
}

/** Input of {@link findPlaces}. */
export interface PlacesInput {
  readonly view: FleetView
  readonly prompt: PromptFacts
  /** Engines of the group that answer. */
  readonly servers: readonly RegisteredServer[]
  readonly formatScope: (version: number) => string
  readonly board: ServerBoard
  readonly memory: PartMemory
  /** Engines that should take long prompts; undefined where the group is not divided. */
  readonly forLong: ReadonlySet<BackendServerId> | undefined
}

/** Counts the tokens of all parts but the last, which belongs to the request alone. */
export function countSharedTokens(prompt: PromptFacts): number {
  return prompt.parts.slice(0, -1).reduce((sum, { tokens }) => sum + tokens, 0)
}

/** A store as the memory of parts knows it: one life, one weights version. */
export interface StorePlace {
  readonly id: BackendServerId
  readonly address: string
}

/** Shared parts of fewer tokens are read again sooner than a store is asked. */
const MIN_STORED_TOKENS = 1_000

interface Engine {
  readonly server: RegisteredServer
  readonly version: number
}

/** Finds the weights version that a server has for a model, as its registration or answers say. */
export function findVersion(
  server: RegisteredServer,
  model: string,
  board: ServerBoard,
): number | undefined {
  const registered = server.weights.find((held) => held.model === model)?.version
  return registered === undefined ? undefined : Math.max(registered, board.findVersion(server.id))
}

/** Finds the engine that comes first for a key; the loss of one moves only its own keys. */
function findFirst(key: string, engines: readonly Engine[]): Engine | undefined {
  const seed = hashText(key)
  let best: Engine | undefined
  let bestScore = -1
  for (const engine of engines) {
    const score = hashText(engine.server.id, seed)
    if (score > bestScore) [best, bestScore] = [engine, score]
  }
  return best
}

function formatKey(parts: readonly PromptPart[]): string {
  return parts.map(({ id }) => id).join('/')
}

/** Finds where the shared parts of a prompt are. */
export function findPlaces(input: PlacesInput): PromptPlaces {
  const { view, prompt, board, memory, formatScope, forLong } = input
  const shared = prompt.parts.slice(0, -1)
  const engines = input.servers
    .filter(({ id }) => !view.loading.has(id))
    .flatMap((server): Engine[] => {
      const version = findVersion(server, prompt.model, board)
      return version === undefined ? [] : [{ server, version }]
    })
  const known = engines
    .map(({ server, version }): Source => {
      const matchedTokens = memory.countMatched(server.id, version, formatScope(version), shared)
      return { id: server.id, address: server.address, version, matchedTokens }
    })
    .filter(({ matchedTokens }) => matchedTokens > 0)
    .sort((a, b) => b.matchedTokens - a.matchedTokens)

  const isLong = prompt.promptTokens >= LONG_PROMPT_TOKENS
  const isOnSide = ({ server }: Engine) => !forLong || forLong.has(server.id) === isLong
  /** Home of the first level that nobody of a version is known to hold. */
  const findHomeEngine = (version: number) => {
    const best = known.find((source) => source.version === version)?.matchedTokens ?? 0
    let tokens = 0
    const levels = shared.findIndex((part) => (tokens += part.tokens) > best)
    const depth = levels === -1 ? shared.length : levels + 1
    return findFirst(
      formatKey(shared.slice(0, depth)),
      engines.filter((engine) => engine.version === version && isOnSide(engine)),
    )
  }
  const sharedTokens = countSharedTokens(prompt)
  const [life] = sharedTokens < MIN_STORED_TOKENS ? [] : view.stores
  const findStoreSource = (version: number): Source | undefined => {
    if (!life) return undefined
    const id = toBackendServerId(`store/${life.address}/${life.epoch}/${version}`)
    const matchedTokens = memory.countMatched(id, version, formatScope(version), shared)
    return { id, address: life.address, version, matchedTokens }
  }
  return {
    known,
    forLong,
    findStore: (version) => {
      const store = findStoreSource(version)
      return store && store.matchedTokens < sharedTokens ? store : undefined
    },
    findHome: (version) => (shared.length === 0 ? undefined : findHomeEngine(version)?.server.id),
    findSource: (version, reader, matchedTokens) => {
      if (shared.length === 0) return undefined
      const holder = known.find((source) => source.version === version && source.id !== reader)
      const store = findStoreSource(version)
      const best = holder && holder.matchedTokens >= (store?.matchedTokens ?? 0) ? holder : store
      if (best && best.matchedTokens > matchedTokens) return best
      if (holder || matchedTokens > 0) return undefined
      const home = findHomeEngine(version)
      if (!home || home.server.id === reader) return undefined
      const { id, address } = home.server
      return { id, address, version, matchedTokens: 0 }
    },
  }
}
