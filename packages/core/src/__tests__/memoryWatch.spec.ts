import { expect } from 'chai'
import { createMemoryBudget } from '../memoryBudget.js'
import { startMemoryWatch } from '../memoryWatch.js'
import { createManualTimerService } from '../timers.js'

describe('the memory of a process', () => {
  // A process that ended by its heap left no line on what had filled it.
  it('is logged once when a bound of it comes near', () => {
    const timers = createManualTimerService()
    const memory = createMemoryBudget({ limitBytes: 1_000, timers })
    memory.open().resize(400)
    const logged: unknown[] = []
    let use = { heapBytes: 50, heapLimitBytes: 100, residentBytes: 100 }
    const watch = startMemoryWatch({
      memory,
      limitBytes: 200,
      timers,
      logger: { warn: (event, fields) => void logged.push([event, fields?.heldBytes]) },
      readUse: () => use,
    })
    const look = (next: Partial<typeof use>) => {
      use = { ...use, ...next }
      timers.advance(1_000)
      return logged.length
    }
    expect([look({}), look({ heapBytes: 90 }), look({})]).to.deep.equal([0, 1, 1])
    expect([look({ heapBytes: 50 }), look({ residentBytes: 190 })]).to.deep.equal([1, 2])
    expect(logged[0]).to.deep.equal(['memory.nearLimit', 400])
    watch.close()
  })
})
