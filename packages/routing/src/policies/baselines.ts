/** Baseline policies for comparison: each ignores part of the available information on purpose. */
import type { BackendServer } from '@spoolgate/config'
import type { Policy, PolicyInput, RankedCandidate } from './policy.js'

function listAllowed(input: PolicyInput): BackendServer[] {
  return input.servers.filter(input.isAllowed)
}

/** Cycles through the backend servers in turn. */
export const roundRobin: Policy = {
  probes: 0,
  rank: (input) => {
    const allowedServers = listAllowed(input)
    const target = input.servers[0]?.serves ?? ''
    const turn = input.state.nextTurns.get(target) ?? 0
    input.state.nextTurns.set(target, turn + 1)
    return allowedServers.map((_, offset) => ({
      server: allowedServers[(turn + offset) % allowedServers.length],
      score: offset,
      reason: 'turn',
    }))
  },
}

/** Prefers the backend server with the fewest calls, according to hints and own calls in progress. */
export const leastLoaded: Policy = {
  probes: 0,
  rank: (input) => {
    const { hints } = input.state
    const ranked: RankedCandidate[] = listAllowed(input).map((server) => {
      const reported = hints.find(server.id)?.hints.calls ?? 0
      const calls = Math.max(reported, hints.countCalls(server.id))
      return { server, score: calls + input.random.next(), reason: 'calls' }
    })
    return ranked.sort((a, b) => a.score - b.score)
  },
}

/** Hashes the prompt up to its second-to-last level; ignores load. */
export const prefixAffinity: Policy = {
  probes: 0,
  rank: (input) => {
    const { levels } = input.chain
    const level = levels[Math.max(0, levels.length - 2)]
    const key = level?.hash ?? String(input.random.nextInt(2 ** 31))
    const ranked = input.state.rendezvous.rank(key, input.servers).filter(input.isAllowed)
    return ranked.map((server, score) => ({ server, score, reason: 'affinity' }))
  },
}
