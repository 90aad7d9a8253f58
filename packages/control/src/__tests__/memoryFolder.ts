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

type FileMap = Map<string, FileState>

/** Creates a folder from what a disk holds. */
export function createMemoryFolder(disk: FileMap = new Map()): MemoryFolder {
  /** Names as the process sees them, and as they are on the disk. */
  const files: FileMap = new Map(disk)
  let syncedFiles: FileMap = new Map(disk)
  let operations = 0
  let crashOperation: number | undefined
  let hasCrashed = false

  const countOperation = () => {
    operations += 1
    if (hasCrashed || operations === crashOperation) {
      hasCrashed = true
      throw new CrashError('crashed')
    }
  }
  const runOperation = async <T>(work: () => T): Promise<T> => {
    await Promise.resolve()
    // A crash may come before or after the operation took effect.
    if (operations % 2 === 0) countOperation()
    const result = work()
    if (operations % 2 !== 0) countOperation()
    return result
  }
  const createAppend = (file: FileState): AppendFile => ({
    append: (added) =>
      runOperation(() => {
        file.data = Buffer.concat([file.data, added])
      }),
    sync: () =>
      runOperation(() => {
        file.synced = file.data
      }),
    close: async () => {},
  })
  const drawSurvivingData = (file: FileState, random: RandomSource): Buffer => {
    const unsynced = file.data.length - file.synced.length
    if (unsynced <= 0) return file.synced
    return file.data.subarray(0, file.synced.length + random.nextInt(unsynced + 1))
  }
  return {
    operations: () => operations,
    crashAt: (operation) => {
      crashOperation = operation
    },
    restart: (random) => {
      const restored: FileMap = new Map()
      // Each name change that was not synced may or may not have reached the disk.
      const survivors = random.next() < 0.5 ? syncedFiles : files
      for (const [name, file] of survivors) {
        const data = Buffer.from(drawSurvivingData(file, random))
        restored.set(name, { data, synced: data })
      }
      return createMemoryFolder(restored)
    },
    read: (name) => runOperation(() => files.get(name)?.data),
    list: () => runOperation(() => [...files.keys()]),
    write: (name, data) =>
      runOperation(() => {
        files.set(name, { data, synced: data })
      }),
    rename: (from, to) =>
      runOperation(() => {
        const file = files.get(from)
        if (!file) throw new Error(`no file ${from}`)
        files.set(to, file)
        files.delete(from)
      }),
    remove: (name) =>
      runOperation(() => {
        files.delete(name)
      }),
    sync: () =>
      runOperation(() => {
        syncedFiles = new Map(files)
      }),
    openAppend: (name, length) =>
      runOperation(() => {
        const file = files.get(name) ?? { data: Buffer.alloc(0), synced: Buffer.alloc(0) }
        file.data = file.data.subarray(0, length)
        file.synced = file.data
        files.set(name, file)
        syncedFiles.set(name, file)
        return createAppend(file)
      }),
  }
}
