/** File operations of a data folder. Written data is durable only after a sync. */
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'

/** Append-only file. */
export interface AppendFile {
  append(data: Buffer): Promise<void>
  /** Resolves once all appended data is on disk. */
  sync(): Promise<void>
  close(): Promise<void>
}

/** Data folder; tests replace it by one that simulates crashes. */
export interface DataFolder {
  /** Reads a whole file; undefined if it does not exist. */
  read(name: string): Promise<Buffer | undefined>
  list(): Promise<string[]>
  /** Replaces the content of a file and syncs it; a new name is durable only after {@link DataFolder.sync}. */
  write(name: string, data: Buffer): Promise<void>
  rename(from: string, to: string): Promise<void>
  remove(name: string): Promise<void>
  /** Syncs the directory itself, which makes created, renamed and removed names durable. */
  sync(): Promise<void>
  /** Truncates a file to `length` bytes, creating it if missing, and opens it for appending. */
  openAppend(name: string, length: number): Promise<AppendFile>
}

function isMissing(cause: unknown): boolean {
  return (cause as NodeJS.ErrnoException).code === 'ENOENT'
}

function createAppendFile(handle: FileHandle): AppendFile {
  return {
    append: async (data) => {
      await handle.appendFile(data)
    },
    sync: () => handle.datasync(),
    close: () => handle.close(),
  }
}

/** Opens a folder on disk, creating it if missing. */
export async function openDataFolder(path: string): Promise<DataFolder> {
  await mkdir(path, { recursive: true })
  const syncFolder = async () => {
    const handle = await open(path, 'r')
    try {
      await handle.sync()
    } finally {
      await handle.close()
    }
  }
  return {
    read: async (name) => {
      try {
        return await readFile(join(path, name))
      } catch (cause) {
        if (isMissing(cause)) return undefined
        throw cause
      }
    },
    list: () => readdir(path),
    write: async (name, data) => {
      const handle = await open(join(path, name), 'w')
      try {
        await handle.writeFile(data)
        await handle.sync()
      } finally {
        await handle.close()
      }
    },
    rename: (from, to) => rename(join(path, from), join(path, to)),
    remove: (name) => rm(join(path, name), { force: true }),
    sync: syncFolder,
    openAppend: async (name, length) => {
      const handle = await open(join(path, name), 'a')
      try {
        await handle.truncate(length)
        await handle.sync()
        await syncFolder()
      } catch (cause) {
        await handle.close()
        throw cause
      }
      return createAppendFile(handle)
    },
  }
}
