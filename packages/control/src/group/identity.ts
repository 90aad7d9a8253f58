/**
 * Identity of a control group member. A name identifies one disk: a process that restarts at the same address with an
 * empty disk gets a new name, because votes granted under the old name may be lost with the disk.
 */
import { createUniqueId } from '@spoolgate/core'
import type { DataFolder } from '../log/dataFolder.js'
import { encodeRecord, parseRecords } from '../log/records.js'
import type { MemberMap } from '../raft/messages.js'

/** Member identity as stored on its disk. */
export interface MemberIdentity {
  readonly name: string
  /** Founding members of the group; empty for a member that joins an existing group. */
  readonly founders: MemberMap
}

/** Options of {@link openIdentity}. */
export interface IdentityOptions {
  readonly folder: DataFolder
  /** URL at which other members reach this member. */
  readonly url: string
  /** Founder URLs; configured identically on all instances. */
  readonly seeds: readonly string[]
  /** Whether this is the first start of the entire fleet. */
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

/** Reads the identity from the disk; on an empty disk, creates a new identity and syncs it. */
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
