/** State of the simulated fleets of feed tests: routing tables, engines and their cache content. */
import { createRandomSource, toServerName } from '@spoolgate/core'
import { formatCacheScope, formatSharedOwner } from '@spoolgate/routing'
import { createCacheDirectory } from '../registry/cacheDirectory.js'
import { createControlStateMachine } from '../state/controlMachine.js'
import { buildServerIdentity } from '../state/serverState.js'
import type { FeedSimulationOptions } from './feedSimulation.js'

const ROUTES = 44
const HOSTS = 80
const NAMES_PER_ROUTE = 2
const RULE_BYTES = 180
const TEAMS = 140

/** Builds a routing table; with {@link ROUTES} it is as large as at the users' sites, about 30 KB. */
export function buildDocument(version: number, routeCount: number): string {
  const random = createRandomSource(routeCount)
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    name: `r-${index}`,
    host: `host${index % HOSTS}.example`,
    prefix: `/prefix${index}/a/b/`,
    // Unique names, so that the table compresses realistically, to a twelfth of its size.
    names: Array.from({ length: NAMES_PER_ROUTE }, () => random.next().toString(36).slice(2, 10)),
    rules: 'x'.repeat(RULE_BYTES),
  }))
  const teams = Array.from({ length: TEAMS }, (_, index) => ({
    name: `team${index}`,
    keys: ['k'.repeat(20), 'l'.repeat(20)],
  }))
  return JSON.stringify({ version, routes, teams })
}

/** Creates the state of a fleet with a table and engines. */
export function createMachine(engines: number) {
  const machine = createControlStateMachine()
  machine.apply({ kind: 'table.put', version: 7, document: buildDocument(7, ROUTES) }, 1)
  for (let index = 0; index < engines; index += 1) {
    const server = {
      ...buildServerIdentity(toServerName(`i-${1e9 + index}`), undefined),
      group: 'models',
      address: `10.0.${index}.9:8080`,
      hall: 'hall',
      phase: 'ready' as const,
      slots: 24,
      weights: [{ model: 'model', version: 4 }],
    }
    machine.apply({ kind: 'server.observe', server }, index + 2)
  }
  return machine
}

/** Creates the cache content of engines, each with so many parts. */
export function createDirectory({
  engines,
  partsPerEngine,
}: Pick<FeedSimulationOptions, 'engines' | 'partsPerEngine'>) {
  const directory = createCacheDirectory()
  const scope = formatCacheScope(formatSharedOwner(1), 4)
  for (let index = 0; index < engines; index += 1) {
    const location = { kind: 'engine', id: `i-${1e9 + index}`, address: 'a' } as const
    const parts = Array.from({ length: partsPerEngine }, (_, part) => ({
      scope,
      id: `${index}/${part}`,
      tokens: 1_000 + part,
    }))
    directory.apply(location, parts)
  }
  return directory
}
