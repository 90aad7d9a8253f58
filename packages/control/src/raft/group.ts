/** Majorities of a group. */
import type { MemberInfo, MemberMap } from './messages.js'

/** Lists the names of the voters. */
export function listVoters(members: MemberMap): string[] {
  return Object.keys(members).filter((name) => members[name].kind === 'voter')
}

/** Lists all members but one. */
export function listOthers(members: MemberMap, name: string): [string, MemberInfo][] {
  return Object.entries(members).filter(([other]) => other !== name)
}

/** Counts the voters that make a majority. */
export function countMajority(members: MemberMap): number {
  return Math.floor(listVoters(members).length / 2) + 1
}

/**
 * Counts the voters that must grant their vote where the disks of some are proven lost. Every majority
 * that has acknowledged anything, holds a lease or has elected keeps so many of the rest that these
 * meet it: of an even group that is half, of an odd one a majority as ever. Where as many are lost as
 * make a majority, all that hold an entry may be gone.
 */
export function countElectionQuorum(members: MemberMap, lost: ReadonlySet<string>): number {
  const voters = listVoters(members)
  const majority = countMajority(members)
  const lostHere = voters.filter((name) => lost.has(name)).length
  const isProving = lostHere > 0 && lostHere < majority
  return isProving ? voters.length - majority + 1 : majority
}

/** Finds the highest value that a majority of the voters has reached. */
export function findMajorityValue(members: MemberMap, findValue: (name: string) => number): number {
  const values = listVoters(members).map(findValue)
  values.sort((a, b) => b - a)
  return values[countMajority(members) - 1] ?? -Infinity
}

/** Counts the members that two groups do not have in common, in name and kind. */
export function countChangedMembers(a: MemberMap, b: MemberMap): number {
  const names = new Set([...Object.keys(a), ...Object.keys(b)])
  return [...names].filter((name) => a[name]?.kind !== b[name]?.kind).length
}
