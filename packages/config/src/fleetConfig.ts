/** The fleet configuration: checked whole, with every team resolved from its templates, frozen. */
import type { BackendServerId, ConfigVersion, TeamId, WeightsVersion } from '@spoolgate/core'
import { toBackendServerId, toConfigVersion, toTeamId, toWeightsVersion } from '@spoolgate/core'
import { err, ok, type Result } from 'neverthrow'
import {
  fleetSchema,
  type FleetConfig,
  type FleetConfigInput,
  type PolicyName,
  type TeamParametersInput,
} from './fleetSchema.js'
import { toFrozen } from './freeze.js'
import {
  listSchemaProblems,
  loadText,
  type SettingsProblem,
  type ValueProblem,
} from './problems.js'

/** One policy of a team and its share of the sessions. */
export interface PolicyArm {
  readonly policy: PolicyName
  readonly share: number
}

/** A time in which the share of a team is raised. Instants are ms since the Unix epoch. */
export interface ProtectedWindow {
  readonly from: number
  readonly until: number
  readonly shareFactor: number
}

/** Parameters of a team with nothing left out; `undefined` limits are no limits. */
export interface TeamParameters {
  readonly arms: readonly PolicyArm[]
  /** 1 weighs only time to first token, 0 only wasted recomputation. */
  readonly tailWeight: number
  readonly share: number
  readonly priority: number
  readonly concurrentRequests: number | undefined
  readonly requestsPerSecond: number | undefined
  readonly tokensPerSecond: number | undefined
  readonly region: string | undefined
  readonly protectedWindows: readonly ProtectedWindow[]
  readonly cacheScope: 'team' | 'shared'
}

/** A team with its parameters resolved. */
export interface Team {
  readonly id: TeamId
  readonly parameters: TeamParameters
}

/** A caller key as stored. */
export interface CallerKeyEntry {
  readonly id: string
  readonly hash: string
  readonly team: TeamId
}

/** A model that callers may name. */
export interface Model {
  readonly id: string
  readonly weightsVersion: WeightsVersion
  readonly blockTokens: number
  readonly bytesPerToken: number
}

/** A backend server and its location. */
export interface BackendServer {
  readonly id: BackendServerId
  readonly kind: 'engine' | 'service'
  readonly sidecarUrl: string
  readonly hall: string
  readonly region: string
  /** Model of an engine, or group of a plain service. */
  readonly serves: string
  readonly leaving: boolean
}

/** A path prefix that plain services answer. */
export interface ServiceRoute {
  readonly prefix: string
  readonly group: string
  readonly unrepeatable: readonly { readonly method: string; readonly path: string }[]
}

/** The configuration that every node follows. */
export interface Fleet {
  readonly version: ConfigVersion
  readonly models: ReadonlyMap<string, Model>
  readonly backendServers: ReadonlyMap<BackendServerId, BackendServer>
  /** Backend servers by the model or group that they serve. */
  readonly backendServersByTarget: ReadonlyMap<string, readonly BackendServer[]>
  readonly teams: ReadonlyMap<TeamId, Team>
  readonly callerKeys: readonly CallerKeyEntry[]
  readonly services: readonly ServiceRoute[]
  readonly routing: FleetConfig['routing']
  /** The configuration as it was submitted. */
  readonly source: FleetConfigInput
}

/** Parameters of a team that sets none. */
export const DEFAULT_TEAM_PARAMETERS: TeamParameters = {
  arms: [{ policy: 'expectedFirstToken', share: 1 }],
  tailWeight: 0.5,
  share: 1,
  priority: 5,
  concurrentRequests: undefined,
  requestsPerSecond: undefined,
  tokensPerSecond: undefined,
  region: undefined,
  protectedWindows: [],
  cacheScope: 'team',
}

/** Types a fleet configuration written in code; returns it unchanged. */
export function defineFleetConfig(input: FleetConfigInput): FleetConfigInput {
  return input
}

function listDuplicates(list: readonly { readonly id: string }[], name: string): ValueProblem[] {
  const seen = new Set<string>()
  return list.flatMap(({ id }, index) => {
    const repeated = seen.has(id)
    seen.add(id)
    if (!repeated) return []
    return [{ path: [name, index, 'id'], message: `"${id}" stands twice: give each its own id` }]
  })
}

/** Lists the templates that a template inherits from, itself first; stops at a cycle. */
function listTemplateChain(config: FleetConfig, first: string | undefined) {
  const chain: FleetConfig['templates'] = []
  for (let id = first; id !== undefined;) {
    const template = config.templates.find((candidate) => candidate.id === id)
    if (!template || chain.includes(template)) break
    chain.push(template)
    id = template.extends
  }
  return chain
}

function listTemplateProblems(config: FleetConfig): ValueProblem[] {
  const names = new Set(config.templates.map(({ id }) => id))
  const problems: ValueProblem[] = []
  const checkName = (name: string | undefined, path: ValueProblem['path']) => {
    if (name === undefined || names.has(name)) return
    problems.push({ path, message: `template "${name}" does not exist: add it or mend the name` })
  }
  config.teams.forEach((team, index) => checkName(team.template, ['teams', index, 'template']))
  config.templates.forEach((template, index) => {
    const path = ['templates', index, 'extends']
    checkName(template.extends, path)
    const last = listTemplateChain(config, template.id).at(-1)
    if (last?.extends === undefined || !names.has(last.extends)) return
    problems.push({ path, message: 'templates extend one another in a circle: break it' })
  })
  return problems
}

function listTargetProblems(config: FleetConfig): ValueProblem[] {
  const models = new Set(config.models.map(({ id }) => id))
  const regions = new Set(config.backendServers.map(({ region }) => region))
  const problems: ValueProblem[] = []
  config.backendServers.forEach((server, index) => {
    if (server.kind !== 'engine' || models.has(server.serves)) return
    const message = `model "${server.serves}" does not exist: add it to "models" or mend the name`
    problems.push({ path: ['backendServers', index, 'serves'], message })
  })
  config.teams.forEach((team, index) => {
    const region = team.parameters.region
    if (region === undefined || regions.has(region)) return
    const message = `no backend server stands in region "${region}": mend the name or add one`
    problems.push({ path: ['teams', index, 'parameters', 'region'], message })
  })
  const keyIds = config.teams.flatMap(({ callerKeys }) => callerKeys)
  return [...problems, ...listDuplicates(keyIds, 'callerKeys')]
}

function resolveParameters(layers: readonly TeamParametersInput[]): TeamParameters {
  const merged: TeamParametersInput = Object.assign({}, ...layers)
  const { protectedWindows, ...rest } = merged
  const windows = protectedWindows?.map((window) => ({
    from: Date.parse(window.from),
    until: Date.parse(window.until),
    shareFactor: window.shareFactor,
  }))
  return { ...DEFAULT_TEAM_PARAMETERS, ...rest, protectedWindows: windows ?? [] }
}

function resolveTeam(config: FleetConfig, team: FleetConfig['teams'][number]): Team {
  const inherited = listTemplateChain(config, team.template).reverse()
  const layers = [...inherited.map(({ parameters }) => parameters), team.parameters]
  return { id: toTeamId(team.id), parameters: resolveParameters(layers) }
}

function resolveBackendServers(config: FleetConfig): BackendServer[] {
  return config.backendServers.map((server) => ({ ...server, id: toBackendServerId(server.id) }))
}

function createTargetIndex(servers: readonly BackendServer[]): Map<string, BackendServer[]> {
  const index = new Map<string, BackendServer[]>()
  for (const server of servers) {
    index.set(server.serves, [...(index.get(server.serves) ?? []), server])
  }
  return index
}

function listProblems(config: FleetConfig): ValueProblem[] {
  return [
    ...listDuplicates(config.models, 'models'),
    ...listDuplicates(config.backendServers, 'backendServers'),
    ...listDuplicates(config.templates, 'templates'),
    ...listDuplicates(config.teams, 'teams'),
    ...listTemplateProblems(config),
    ...listTargetProblems(config),
  ]
}

/**
 * Checks a configuration whole and resolves it.
 * @param version log index at which it was accepted; 0 before that
 */
export function resolveFleetConfig(input: unknown, version: number): Result<Fleet, ValueProblem[]> {
  const parsed = fleetSchema.safeParse(input)
  if (!parsed.success) return err(listSchemaProblems(parsed.error))
  const config = parsed.data
  const problems = listProblems(config)
  if (problems.length > 0) return err(problems)
  const servers = resolveBackendServers(config)
  const teams = config.teams.map((team) => resolveTeam(config, team))
  const callerKeys = config.teams.flatMap((team) =>
    team.callerKeys.map((key) => ({ ...key, team: toTeamId(team.id) })),
  )
  return ok({
    version: toConfigVersion(version),
    models: new Map(
      config.models.map((model) => [
        model.id,
        toFrozen({ ...model, weightsVersion: toWeightsVersion(model.weightsVersion) }),
      ]),
    ),
    backendServers: new Map(servers.map((server) => [server.id, toFrozen(server)])),
    backendServersByTarget: createTargetIndex(servers),
    teams: new Map(teams.map((team) => [team.id, toFrozen(team) as Team])),
    callerKeys: toFrozen(callerKeys),
    services: toFrozen(config.services),
    routing: toFrozen(config.routing),
    source: input as FleetConfigInput,
  })
}

/** Loads a file with a fleet configuration and checks it whole; returns it as it was written. */
export function loadFleetConfig(file: string): Result<FleetConfigInput, SettingsProblem[]> {
  return loadText(file).andThen((parsed) =>
    resolveFleetConfig(parsed.value, 0)
      .map(({ source }) => source)
      .mapErr((problems) => problems.map(parsed.place)),
  )
}
