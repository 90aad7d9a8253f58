/** Quorums of a group. */
import type { MemberInfo, MemberMap } from './messages.js'

export function listVoters(members: MemberMap): string[] {
  return Object.keys(members).filter((name) => members[name].kind === 'voter')
}

/** Lists all members except the named one. */
export function listOthers(members: MemberMap, name: string): [string, MemberInfo][] {
  return Object.entries(members).filter(([other]) => other !== name)
}

/** Number of voters that form a majority. */
export function countMajority(members: MemberMap): number {
  return Math.floor(listVoters(members).length / 2) + 1
}

/**
 * Number of votes that win an election when the disks of some voters are proven lost. The result is
 * the smallest number of voters that intersects every majority (n - majority + 1), so the winners
 * include a voter of each majority that acknowledged an entry, supports a lease or elected a leader:
 * half of an even group, a majority of an odd one. Lost voters do not vote. If a majority is lost, every
 * copy of a committed entry may be gone, so the normal majority is required.
 */
export function countElectionQuorum(members: MemberMap, lost: ReadonlySet<string>): number {
  const voters = listVoters(members)
  const majority = countMajority(members)
  const lostHere = voters.filter((name) => lost.has(name)).length
  const isProving = lostHere > 0 && lostHere < majority
  return isProving ? voters.length - majority + 1 : majority
}

/** Returns the highest value that a majority of the voters has reached. */
export function findMajorityValue(members: MemberMap, findValue: (name: string) => number): number {
  const values = listVoters(members).map(findValue)
  values.sort((a, b) => b - a)
  return values[countMajority(members) - 1] ?? -Infinity
}

/** Number of members that were added, removed or changed in kind between two groups. */
export function countChangedMembers(a: MemberMap, b: MemberMap): number {
  const names = new Set([...Object.keys(a), ...Object.keys(b)])
  return [...names].filter((name) => a[name]?.kind !== b[name]?.kind).length
}
