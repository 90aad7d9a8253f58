/** Threads of a benchmark, seen from the main one. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import type { ThreadTask } from './threadRoles.js'

/** Load of a thread since the last sample. */
export interface ThreadSample {
  /** Time in which the event loop was busy, in ms. */
  readonly activeMs: number
  /** Heap and external memory in use. */
  readonly heapBytes: number
}

/** A part that runs in a thread. */
export interface PartThread {
  readonly url: string
  sample(): Promise<ThreadSample>
  close(): Promise<void>
}

/** Starts a thread and waits until its part listens. */
export async function startThread(task: ThreadTask): Promise<PartThread> {
  const worker = new Worker(new URL('./threadMain.js', import.meta.url), { workerData: task })
  const [{ url }] = (await once(worker, 'message')) as [{ url: string }]
  return {
    url,
    sample: async () => {
      worker.postMessage('sample')
      const [sample] = (await once(worker, 'message')) as [ThreadSample]
      return sample
    },
    close: async () => {
      worker.postMessage('close')
      await once(worker, 'exit')
    },
  }
}
