/**
 * The disk of a control instance at its start. A disk that refuses writes is waited for. A log that is damaged in the
 * middle is set aside and the instance starts like one whose disk was lost: it gets a new name, may not vote, and
 * copies the log from the group. Starting with the damaged log could lose what it acknowledged, and ending would
 * repeat at each start.
 */
import { waitForStartup, type Logger, type TimerService } from '@spoolgate/core'
import { openIdentity, type IdentityOptions, type MemberIdentity } from '../group/identity.js'
import { openDataFolder, type DataFolder } from './dataFolder.js'
import { openLogStore, removeUnfinished, type LogStore } from './logStore.js'
import { DamagedDataError } from './records.js'

/** Options of {@link openControlDisk}. */
export interface ControlDiskOptions extends Omit<IdentityOptions, 'folder'> {
  /** Path of the data folder, or a folder implementation supplied by a test. */
  readonly dataFolder: string | DataFolder
  readonly logger: Logger
  readonly timers: TimerService
  /** Called when a write or sync failed later on: nothing that waits for the disk may be answered as done. */
  readonly onFailure: (cause: unknown) => void
  /**
   * Whether an earlier write or sync failed in this process.
   * @default false
   */
  readonly isAfterFailure?: boolean
  /**
   * Ends the wait for the disk.
   * @default never
   */
  readonly signal?: AbortSignal
}

/** What the disk holds. */
export interface ControlDisk {
  readonly identity: MemberIdentity
  readonly store: LogStore
}

/** Name of a file that shows whether the disk takes writes, and its size in bytes. */
const PROBE_FILE = 'probe'
const PROBE_BYTES = 4_096
/** Room that a disk needs to be used again after a failure, in bytes: some changes, so that it does not fail again at once. */
const ROOM_BYTES = 1024 * 1024
const ASIDE_PREFIX = 'damaged-'

/** Checks that the disk takes writes: a full one can be read and truncated, and would end the process later. */
async function checkWritable(folder: DataFolder, bytes = PROBE_BYTES): Promise<void> {
  try {
    await folder.write(PROBE_FILE, Buffer.alloc(bytes))
  } finally {
    await folder.remove(PROBE_FILE)
  }
}

/** Sets all files aside in place of those that were set aside before, so that these never fill the disk. */
async function removeDamaged(folder: DataFolder): Promise<readonly string[]> {
  const names: string[] = []
  for (const name of await folder.list()) {
    if (name.startsWith(ASIDE_PREFIX)) await folder.remove(name)
    else names.push(name)
  }
  for (const name of names) await folder.rename(name, `${ASIDE_PREFIX}${name}`)
  await folder.sync()
  return names
}

async function loadDisk(folder: DataFolder, options: ControlDiskOptions): Promise<ControlDisk> {
  const { logger, onFailure, isAfterFailure } = options
  const identity = await openIdentity({ ...options, folder })
  return { identity, store: await openLogStore({ folder, logger, onFailure, isAfterFailure }) }
}

function openFolder(dataFolder: string | DataFolder): Promise<DataFolder> | DataFolder {
  return typeof dataFolder === 'string' ? openDataFolder(dataFolder) : dataFolder
}

/** Finds the error of a disk that does not take writes; undefined if it does. Files of a member stay as they are. */
export async function findDiskError(dataFolder: string | DataFolder): Promise<Error | undefined> {
  try {
    await checkWritable(await openFolder(dataFolder))
    return undefined
  } catch (cause) {
    return cause as Error
  }
}

async function openOnce(options: ControlDiskOptions): Promise<ControlDisk> {
  const { dataFolder, logger } = options
  const folder = await openFolder(dataFolder)
  await removeUnfinished(folder)
  await checkWritable(folder, options.isAfterFailure ? ROOM_BYTES : PROBE_BYTES)
  try {
    return await loadDisk(folder, options)
  } catch (cause) {
    if (!(cause instanceof DamagedDataError)) throw cause
    const files = await removeDamaged(folder)
    logger.error('disk.damaged', {
      reason: cause.message,
      setAside: files.map((name) => `${ASIDE_PREFIX}${name}`),
      remedy: 'check the disk; this instance copies the log from the group as after a lost disk',
    })
    return loadDisk(folder, { ...options, isFirstStart: false })
  }
}

/** Opens the disk, once it can be written. */
export function openControlDisk(options: ControlDiskOptions): Promise<ControlDisk> {
  const { logger, timers, signal } = options
  return waitForStartup({
    what: 'data folder',
    attempt: () => openOnce(options),
    findProblem: (cause) => {
      const { code, message } = cause as NodeJS.ErrnoException
      const remedy =
        'free space on the disk, mount it, or correct the path and rights of the folder'
      return code === undefined ? undefined : { reason: message, remedy }
    },
    logger,
    timers,
    signal,
  })
}
