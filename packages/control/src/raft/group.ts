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

/** Whether the named members hold a majority of the voters. */
export function isMajority(members: MemberMap, names: ReadonlySet<string>): boolean {
  const found = listVoters(members).filter((name) => names.has(name)).length
  return found >= countMajority(members)
}

/** Finds the highest value that a majority of the voters has reached. */
export function findMajorityValue(members: MemberMap, findValue: (name: string) => number): number {
  const values = listVoters(members).map(findValue)
  values.sort((a, b) => b - a)
  return values[countMajority(members) - 1] ?? -Infinity
}

/** Counts the members that two groups do not have in common, in name and kind. */
export function countDifferences(a: MemberMap, b: MemberMap): number {
  const names = new Set([...Object.keys(a), ...Object.keys(b)])
  return [...names].filter((name) => a[name]?.kind !== b[name]?.kind).length
}
