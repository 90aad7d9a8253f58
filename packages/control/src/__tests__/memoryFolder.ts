/** In-memory data folder that can crash at any operation and may lose unsynced data. */
import type { RandomSource } from '@spoolgate/core'
import type { AppendFile, DataFolder } from '../log/dataFolder.js'

/** Thrown by the operation that crashes and all later ones. */
export class CrashError extends Error {}

interface FileState {
  /** Content that the process reads. */
  data: Buffer
  /** Content that survives a crash. */
  synced: Buffer
  /** Whether a sync failed: the pages count as written after that, so that later syncs write nothing. */
  hasFailed?: boolean
}

/** Folder whose content survives a crash of the process. */
export interface MemoryFolder extends DataFolder {
  /** Number of operations so far. */
  operations(): number
  /** Crashes at the operation with this number; undefined disables the crash. */
  crashAt(operation: number | undefined): void
  /** Lets syncs of opened files fail from now on, or succeed again. */
  failSyncs(areFailing: boolean): void
  /** Returns the folder as the next process finds it; unsynced data may have survived in part. */
  restart(random: RandomSource): MemoryFolder
}

type FileMap = Map<string, FileState>

/** Creates a folder from the files on a disk. */
export function createMemoryFolder(disk: FileMap = new Map()): MemoryFolder {
  /** Files by name as the process sees them; {@link syncedFiles} has the durable names. */
  const files: FileMap = new Map(disk)
  let syncedFiles: FileMap = new Map(disk)
  let operations = 0
  let crashOperation: number | undefined
  let hasCrashed = false
  let areSyncsFailing = false

  const countOperation = () => {
    operations += 1
    if (hasCrashed || operations === crashOperation) {
      hasCrashed = true
      throw new CrashError('crashed')
    }
  }
  const runOperation = async <T>(work: () => T): Promise<T> => {
    await Promise.resolve()
    // Crashes alternate between before and after the operation takes effect.
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
        if (areSyncsFailing) {
          file.hasFailed = true
          throw new Error('sync failed')
        }
        if (!file.hasFailed) file.synced = file.data
      }),
    close: async () => {},
  })
  const drawSurvivingData = (file: FileState, random: RandomSource): Buffer => {
    const unsynced = file.data.length - file.synced.length
    if (unsynced <= 0 || file.hasFailed) return file.synced
    return file.data.subarray(0, file.synced.length + random.nextInt(unsynced + 1))
  }
  return {
    operations: () => operations,
    crashAt: (operation) => {
      crashOperation = operation
    },
    failSyncs: (areFailing) => {
      areSyncsFailing = areFailing
    },
    restart: (random) => {
      const restored: FileMap = new Map()
      // Unsynced name changes either all survive or are all lost.
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
        file.synced = file.hasFailed ? file.synced.subarray(0, length) : file.data
        files.set(name, file)
        syncedFiles.set(name, file)
        return createAppend(file)
      }),
  }
}
