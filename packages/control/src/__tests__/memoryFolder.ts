/** A data folder in memory that can crash at any operation and loses what was not synced. */
import type { RandomSource } from '@spoolgate/core'
import type { AppendFile, DataFolder } from '../log/dataFolder.js'

/** Thrown by every operation from the crash on. */
export class CrashError extends Error {}

interface FileState {
  /** Content as the process sees it. */
  data: Buffer
  /** Content that is on the disk for certain. */
  synced: Buffer
}

/** A folder with a disk behind it that outlives the process. */
export interface MemoryFolder extends DataFolder {
  /** Number of operations so far. */
  operations(): number
  /** Crashes at the operation with this number; undefined never. */
  crashAt(operation: number | undefined): void
  /** The folder as the next process finds it: unsynced bytes may be there in part. */
  restart(random: RandomSource): MemoryFolder
}

type Names = Map<string, FileState>

/** Creates a folder from what a disk holds. */
export function createMemoryFolder(disk: Names = new Map()): MemoryFolder {
  /** Names as the process sees them, and as they are on the disk. */
  const names: Names = new Map(disk)
  let syncedNames: Names = new Map(disk)
  let operations = 0
  let crashing: number | undefined
  let hasCrashed = false

  const step = () => {
    operations += 1
    if (hasCrashed || operations === crashing) {
      hasCrashed = true
      throw new CrashError('crashed')
    }
  }
  const run = async <T>(work: () => T): Promise<T> => {
    await Promise.resolve()
    // A crash may come before or after the operation took effect.
    if (operations % 2 === 0) step()
    const result = work()
    if (operations % 2 !== 0) step()
    return result
  }
  const createAppend = (file: FileState): AppendFile => ({
    append: (added) =>
      run(() => {
        file.data = Buffer.concat([file.data, added])
      }),
    sync: () =>
      run(() => {
        file.synced = file.data
      }),
    close: async () => {},
  })
  const readSurvivor = (file: FileState, random: RandomSource): Buffer => {
    const unsynced = file.data.length - file.synced.length
    if (unsynced <= 0) return file.synced
    return file.data.subarray(0, file.synced.length + random.nextInt(unsynced + 1))
  }
  return {
    operations: () => operations,
    crashAt: (operation) => {
      crashing = operation
    },
    restart: (random) => {
      const found: Names = new Map()
      // Each name change that was not synced may or may not have reached the disk.
      const survivors = random.next() < 0.5 ? syncedNames : names
      for (const [name, file] of survivors) {
        const data = Buffer.from(readSurvivor(file, random))
        found.set(name, { data, synced: data })
      }
      return createMemoryFolder(found)
    },
    read: (name) => run(() => names.get(name)?.data),
    list: () => run(() => [...names.keys()]),
    write: (name, data) =>
      run(() => {
        names.set(name, { data, synced: data })
      }),
    rename: (from, to) =>
      run(() => {
        const file = names.get(from)
        if (!file) throw new Error(`no file ${from}`)
        names.set(to, file)
        names.delete(from)
      }),
    remove: (name) =>
      run(() => {
        names.delete(name)
      }),
    sync: () =>
      run(() => {
        syncedNames = new Map(names)
      }),
    openAppend: (name, length) =>
      run(() => {
        const file = names.get(name) ?? { data: Buffer.alloc(0), synced: Buffer.alloc(0) }
        file.data = file.data.subarray(0, length)
        file.synced = file.data
        names.set(name, file)
        syncedNames.set(name, file)
        return createAppend(file)
      }),
  }
}
