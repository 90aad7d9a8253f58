/** Files of one data folder. What was written counts as kept only once it is synced. */
import { mkdir, open, readdir, readFile, rename, rm, type FileHandle } from 'node:fs/promises'
import { join } from 'node:path'

/** A file that grows at its end. */
export interface AppendFile {
  append(data: Buffer): Promise<void>
  /** Waits until everything appended is on the disk. */
  sync(): Promise<void>
  close(): Promise<void>
}

/** The files under one folder; tests put a faulty one in its place. */
export interface DataFolder {
  /** Reads a file whole; undefined when there is none. */
  read(name: string): Promise<Buffer | undefined>
  list(): Promise<string[]>
  /** Writes a file anew and syncs it; its name is kept only after {@link DataFolder.sync}. */
  write(name: string, data: Buffer): Promise<void>
  rename(from: string, to: string): Promise<void>
  remove(name: string): Promise<void>
  /** Syncs the names in the folder. */
  sync(): Promise<void>
  /** Opens a file at its end after cutting it to `length` bytes. */
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

/** Opens a folder on the disk, creating it where needed. */
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
      await handle.truncate(length)
      await handle.sync()
      await syncFolder()
      return createAppendFile(handle)
    },
  }
}
