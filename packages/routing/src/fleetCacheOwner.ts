/**
 * Owners of cached blocks, by the configuration. Teams that share blocks have one owner, named by a digest of their ids,
 * so that each block of it was computed for one of them under any configuration. If a team joins or leaves them, the
 * others compute their blocks again. A team that does not share has an owner of its own.
 */
import { createHash } from 'node:crypto'
import type { Fleet } from '@spoolgate/config'
import type { TeamId } from '@spoolgate/core'

/** Length of the digest in characters of base64url: 132 bits. */
const DIGEST_LENGTH = 22

const sharedOwners = new WeakMap<Fleet, string>()

function isSharing(fleet: Pick<Fleet, 'teams'>, team: TeamId): boolean {
  return fleet.teams.get(team)?.parameters.cacheScope === 'shared'
}

function findSharedOwner(fleet: Fleet): string {
  const known = sharedOwners.get(fleet)
  if (known !== undefined) return known
  const sharing = [...fleet.teams.keys()].filter((team) => isSharing(fleet, team)).sort()
  const hash = createHash('sha256').update(JSON.stringify(sharing)).digest('base64url')
  const owner = `shared:${hash.slice(0, DIGEST_LENGTH)}`
  sharedOwners.set(fleet, owner)
  return owner
}

/** Finds the owner of the blocks that a team's requests use, for the cache scope. */
export function findFleetCacheOwner(fleet: Fleet, team: TeamId): string {
  return isSharing(fleet, team) ? findSharedOwner(fleet) : `team:${team}`
}
