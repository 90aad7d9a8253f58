/** Holds the registrations of servers of a new software version until it may be used. */
import {
  toSpoolgateError,
  type BackendServerId,
  type Logger,
  type ServerName,
  type SoftwareVersion,
  type TimerService,
} from '@spoolgate/core'
import type { RaftMember } from '../raft/types.js'
import {
  findSoftwareVersion,
  type RegisteredServer,
  type ServerState,
} from '../state/serverState.js'
import type { VersionGate } from './versionGate.js'

/** Options of {@link createHeldRegistrations}. */
export interface HeldRegistrationsOptions {
  readonly member: Pick<RaftMember, 'propose'>
  readonly servers: ServerState
  readonly gate: Pick<VersionGate, 'isOpen' | 'waitUntilOpen'>
  readonly timers: TimerService
  readonly logger: Logger
}

/** See {@link createHeldRegistrations}. */
export interface HeldRegistrations {
  /**
   * Holds a server of a version that is not open, and registers it once it is; false if it may be registered now. A
   * start that it replaces is removed at once, since its id may lead to the new one.
   */
  hold(server: RegisteredServer): boolean
  /** Removes the held server that has a name, which has left. */
  remove(name: ServerName): void
}

/** Creates the record of one instance, without held servers. */
export function createHeldRegistrations(options: HeldRegistrationsOptions): HeldRegistrations {
  const { member, servers, gate, timers, logger } = options
  const held = new Map<BackendServerId, RegisteredServer>()
  const opening = new Set<string>()

  const registerHeld = async (group: string, version: SoftwareVersion) => {
    const registered = [...held.values()].filter(
      (server) => server.group === group && findSoftwareVersion(server) === version,
    )
    for (const { id } of registered) held.delete(id)
    const proposals = registered.map((server) => member.propose({ kind: 'server.observe', server }))
    await Promise.all(proposals)
    return registered
  }
  const openVersion = async (group: string, version: SoftwareVersion) => {
    const startedAt = timers.now()
    await member.propose({ kind: 'version.add', serverGroup: group, version })
    logger.info('version.added', { group, version })
    if (!(await gate.waitUntilOpen(group, version))) return
    const registered = await registerHeld(group, version)
    logger.info('version.opened', {
      group,
      version,
      servers: registered.map(({ id }) => id),
      ms: Math.round(timers.now() - startedAt),
    })
  }
  /** Opens a version once; after a failure the next heartbeat of such a server starts again. */
  const startOpening = (group: string, version: SoftwareVersion) => {
    const key = JSON.stringify([group, version])
    if (opening.has(key)) return
    opening.add(key)
    openVersion(group, version)
      .catch((cause) =>
        logger.warn('version.notOpened', {
          group,
          version,
          reason: toSpoolgateError(cause).message,
        }),
      )
      .finally(() => opening.delete(key))
  }
  const removeReplaced = ({ id, name }: RegisteredServer) => {
    const before = servers.findByName(name)
    if (!before || before.id === id) return
    member.propose({ kind: 'server.retire', id: before.id, phase: 'gone' }).catch((cause) =>
      logger.warn('server.notRetired', {
        server: before.id,
        reason: toSpoolgateError(cause).message,
      }),
    )
  }
  return {
    hold: (server) => {
      const version = findSoftwareVersion(server)
      // A registered id names its new version at once: holding it back would leave the old one in force.
      if (servers.find(server.id) || gate.isOpen(server.group, version)) {
        held.delete(server.id)
        return false
      }
      removeReplaced(server)
      held.set(server.id, server)
      startOpening(server.group, version)
      return true
    },
    remove: (name) => {
      for (const server of held.values()) if (server.name === name) held.delete(server.id)
    },
  }
}
