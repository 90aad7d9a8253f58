import type { Fleet } from '@spoolgate/config'
import { toTeamId } from '@spoolgate/core'
import { expect } from 'chai'
import { findFleetCacheOwner } from '../fleetCacheOwner.js'

/** Builds a configuration with teams; those in capitals share cached blocks. */
function buildFleet(names: string): Fleet {
  const teams = [...names].map((name) => {
    const cacheScope = name === name.toUpperCase() ? 'shared' : 'team'
    return [toTeamId(name.toLowerCase()), { parameters: { cacheScope } }] as const
  })
  return { teams: new Map(teams) } as unknown as Fleet
}

const findOwner = (names: string, team: string) =>
  findFleetCacheOwner(buildFleet(names), toTeamId(team))

describe('the owner of cached blocks by the configuration', () => {
  // Its blocks lay under the word "shared", and stayed there when it stopped sharing.
  it('is another one for the teams that share once one of them does not any more', () => {
    expect(findOwner('ABc', 'a')).to.equal(findOwner('ABc', 'b'))
    expect(findOwner('aBC', 'b')).not.to.equal(findOwner('ABC', 'b'))
    expect(findOwner('BC', 'b')).to.equal(findOwner('aCB', 'b'))
    expect(findOwner('BCd', 'b')).to.equal(findOwner('BC', 'b'))
  })

  it('never is that of others for a team that does not share, whatever its name', () => {
    const shared = findOwner('AB', 'a')
    const names = ['shared', shared, shared.replace('shared:', '')]
    for (const name of names) {
      const teams = new Map<unknown, unknown>(buildFleet('AB').teams)
      teams.set(name, { parameters: { cacheScope: 'team' } })
      const fleet = { teams } as unknown as Fleet
      expect(findFleetCacheOwner(fleet, toTeamId(name))).not.to.equal(shared)
    }
  })
})
