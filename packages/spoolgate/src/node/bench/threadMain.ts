/** Entry of a benchmark thread: runs one part and answers questions about its load. */
import { performance } from 'node:perf_hooks'
import { getHeapStatistics } from 'node:v8'
import { parentPort, workerData } from 'node:worker_threads'
import { startThreadPart, type ThreadTask } from './threadRoles.js'

const port = parentPort
if (!port) throw new Error('threadMain runs in a worker thread only')
const part = await startThreadPart(workerData as ThreadTask)
let last = performance.eventLoopUtilization()
port.postMessage({ url: part.url })
port.on('message', (message: 'sample' | 'close') => {
  if (message === 'close') {
    void part.close().then(() => port.close())
    return
  }
  const now = performance.eventLoopUtilization()
  const { active } = performance.eventLoopUtilization(now, last)
  last = now
  const heap = getHeapStatistics()
  const heapBytes = heap.used_heap_size + heap.external_memory
  port.postMessage({ activeMs: active, heapBytes })
})
