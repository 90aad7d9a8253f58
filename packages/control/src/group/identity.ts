/**
 * Name of a member of the control group. A name stands for one disk: a process that comes back to
 * the same address with an empty disk gets a new name, since it may have forgotten a vote that it
 * gave under the old one.
 */
import { createUniqueId } from '@spoolgate/core'
import type { DataFolder } from '../log/dataFolder.js'
import { encodeRecord, parseRecords } from '../log/records.js'
import type { MemberMap } from '../raft/messages.js'

/** Who a member is, as its disk keeps it. */
export interface MemberIdentity {
  readonly name: string
  /** Group as this member founded it; empty for one that joins. */
  readonly founders: MemberMap
}

/** Options of {@link openIdentity}. */
export interface IdentityOptions {
  readonly folder: DataFolder
  /** URL at which the other members reach this one. */
  readonly url: string
  /** URLs of the founders, as all instances were given them. */
  readonly seeds: readonly string[]
  /** Whether the whole fleet starts for the first time. */
  readonly isFirstStart: boolean
}

const IDENTITY_FILE = 'identity'

function createIdentity(options: IdentityOptions): MemberIdentity {
  const { url, seeds, isFirstStart } = options
  if (!isFirstStart || !seeds.includes(url)) {
    return { name: `${url}#${createUniqueId('disk')}`, founders: {} }
  }
  const founders = seeds.map((seed) => [seed, { url: seed, kind: 'voter' as const }])
  return { name: url, founders: Object.fromEntries(founders) as MemberMap }
}

/** Reads the identity of a disk, or gives an empty disk a new one and syncs it. */
export async function openIdentity(options: IdentityOptions): Promise<MemberIdentity> {
  const { folder } = options
  const data = await folder.read(IDENTITY_FILE)
  const [known] = data ? parseRecords(data, IDENTITY_FILE).payloads : []
  if (known) return known as MemberIdentity
  const identity = createIdentity(options)
  await folder.write(IDENTITY_FILE, encodeRecord(identity))
  await folder.sync()
  return identity
}
