/** Assembles the estimation of server speeds of a router: estimates, their exchange with the leader, log and metric. */
import type { FleetView } from '@spoolgate/control'
import type { BackendServerId, Logger, Metrics, TimerService } from '@spoolgate/core'
import type { ServerGroup } from '@spoolgate/routing'
import { createServerSpeeds, type ServerSpeeds } from './serverSpeeds.js'
import { createSpeedSharing, type SpeedSharing } from './speedSharing.js'

/** Options of {@link createSpeedSetup}. */
export interface SpeedSetupOptions {
  /** Whether speeds are estimated, for all groups or by group. */
  readonly isUsed: boolean | ((group: ServerGroup) => boolean)
  /** The router's view of the fleet; undefined before the first table. */
  readonly findView: () => FleetView | undefined
  readonly timers: TimerService
  readonly logger: Logger
  readonly metrics: Pick<Metrics, 'gauge'>
}

/** See {@link createSpeedSetup}. */
export interface SpeedSetup {
  readonly sharing: SpeedSharing
  /** Finds the speeds of the servers of a group; undefined if they are not estimated. */
  findServerSpeeds(group: ServerGroup): ServerSpeeds | undefined
  /** Finds the prompt tokens that an engine prefills per ms; undefined if speeds are not estimated in its group. */
  findEngineRate(group: ServerGroup, server: BackendServerId): number | undefined
}

const PERCENT = 100

/** Creates the parts; nothing is estimated or sent before the table has a group that uses speeds. */
export function createSpeedSetup(options: SpeedSetupOptions): SpeedSetup {
  const { isUsed, findView, timers, logger } = options
  const isUsedFor = typeof isUsed === 'function' ? isUsed : () => isUsed
  const speeds: ServerSpeeds = createServerSpeeds({
    onSample: (server, sample) => sharing.recordSample(server, sample),
  })
  const sharing = createSpeedSharing({
    isUsed: () => findView()?.index.table.groups.some(isUsedFor) ?? false,
    adopt: speeds.adopt,
    onChange: (server, before, after) =>
      logger.info('server.speedChanged', {
        server,
        before: before / PERCENT,
        after: after / PERCENT,
      }),
  })
  const findSpread = () => {
    const now = timers.now()
    const ratios = [...(findView()?.servers.keys() ?? [])].map((id) => speeds.findRatio(id, now))
    return ratios.length === 0 ? 1 : Math.max(...ratios) / Math.min(...ratios)
  }
  if (isUsed !== false) {
    options.metrics.gauge(
      'server_speed_spread',
      'Speed of the fastest backend server divided by that of the slowest',
      findSpread,
    )
  }
  const findServerSpeeds = (group: ServerGroup) => (isUsedFor(group) ? speeds : undefined)
  return {
    sharing,
    findServerSpeeds,
    findEngineRate: (group, server) =>
      findServerSpeeds(group)?.findTokensPerMs(group.name, server, timers.now()),
  }
}
