/** What the leader knows of each backend server, for operators. */
import type { RegisteredServer } from '../state/serverState.js'
import type { LimitReport, ServerConditions, ServerLoad, ServerLoads, SpeedEntry } from './feed.js'

/** Path, on the leader, of the list of backend servers. */
export const SERVERS_PATH = '/servers'

/** A backend server as the leader knows it. */
export interface ServerStatus {
  readonly server: string
  readonly group: string
  readonly hall: string
  /** Version of its software; null if it does not report one. */
  readonly softwareVersion: string | null
  /** Registered phase, or the condition that keeps requests away. */
  readonly state: string
  /** Speed in percent of the group's; null without recent evidence. */
  readonly percent: number | null
  /** Calls of all routers in progress. */
  readonly calls: number
  /** Prompt tokens of calls that have not returned their first token. */
  readonly promptTokens: number
  /** Age of the last evidence of the speed, in ms; null without any. */
  readonly ageMs: number | null
  /** Requests per second that the server accepts; null without a limit. */
  readonly perSecond: number | null
  /** Routers that it asked to back off. */
  readonly backoffs: number
}

/** Input of {@link listServerStatus}. */
export interface ServerStatusInput {
  readonly servers: readonly RegisteredServer[]
  readonly conditions: ServerConditions
  /** Load of all routers together. */
  readonly loads: ServerLoads
  readonly speeds: readonly SpeedEntry[]
  readonly limits: readonly LimitReport[]
}

const NO_LOAD: ServerLoad = { calls: 0, promptTokens: 0 }

function readSpeed(entry: SpeedEntry | undefined): Pick<ServerStatus, 'percent' | 'ageMs'> {
  if (!entry) return { percent: null, ageMs: null }
  const [, percent, weight, ageMs] = entry
  return weight > 0 ? { percent, ageMs } : { percent: null, ageMs: null }
}

/** Lists the servers by group and name. */
export function listServerStatus(input: ServerStatusInput): ServerStatus[] {
  const { conditions, loads } = input
  const speeds = new Map(input.speeds.map((entry) => [entry[0], entry]))
  const limits = new Map(input.limits.map(({ server, perSecond }) => [server, perSecond]))
  const states = new Map(
    (['loading', 'expired', 'silent'] as const).flatMap((state) =>
      conditions[state].map((id) => [id, state] as const),
    ),
  )
  const statuses = input.servers.map((server): ServerStatus => {
    const { id, group, hall, phase, softwareVersion = null } = server
    const { calls, promptTokens, backoffs = 0 } = loads[id] ?? NO_LOAD
    return {
      server: id,
      group,
      hall,
      softwareVersion,
      state: states.get(id) ?? phase,
      ...readSpeed(speeds.get(id)),
      calls,
      promptTokens,
      perSecond: limits.get(id) ?? null,
      backoffs,
    }
  })
  const formatKey = ({ group, server }: ServerStatus) => `${group}/${server}`
  return statuses.sort((a, b) => (formatKey(a) < formatKey(b) ? -1 : 1))
}
