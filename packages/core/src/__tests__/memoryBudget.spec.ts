import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import { expect } from 'chai'
import {
  addMemoryGauges,
  addResponseMemory,
  admitResponseText,
  createMemoryBudget,
  openResponseHold,
} from '../memoryBudget.js'
import { createMetrics } from '../metrics.js'
import { createManualTimerService } from '../timers.js'

const LIMIT_BYTES = 1_000_000

describe('a memory budget', () => {
  const prepare = () => {
    const timers = createManualTimerService()
    return { timers, budget: createMemoryBudget({ limitBytes: LIMIT_BYTES, timers }) }
  }

  it('keeps room for small holds while large ones use up their part', () => {
    const { budget } = prepare()
    const large = Array.from({ length: 10 }, () => budget.open())
    expect(large.filter((hold) => hold.resize(200_000))).to.have.length(3)
    const small = Array.from({ length: 10 }, () => budget.open())
    expect(small.filter((hold) => hold.resize(50_000))).to.have.length(8)
    expect(budget.usedBytes()).to.equal(LIMIT_BYTES)
    for (const hold of [...large, ...small]) hold.close()
    expect(budget.usedBytes()).to.equal(0)
    expect(budget.peakBytes()).to.equal(LIMIT_BYTES)
  })

  it('gives a hold that waits the room of one that is closed', async () => {
    const { budget } = prepare()
    const first = budget.open()
    first.resize(700_000)
    const second = budget.open()
    const waiting = second.waitForRoom(300_000)
    first.close()
    expect(await waiting).to.equal(true)
    expect(budget.counts().refused).to.equal(0)
  })

  it('refuses a hold that waited for room in vain, or that was closed meanwhile', async () => {
    const { budget, timers } = prepare()
    const first = budget.open()
    first.resize(700_000)
    const waiting = [budget.open(), budget.open()].map((hold) => {
      return { hold, result: hold.waitForRoom(300_000) }
    })
    waiting[1].hold.close()
    timers.advance(250)
    expect(await Promise.all(waiting.map(({ result }) => result))).to.deep.equal([false, false])
    expect(budget.usedBytes()).to.equal(700_000)
  })

  // Each caller that left before its body was read left a hold behind.
  it('closes the hold of a response at once when its caller has left already', () => {
    const { budget } = prepare()
    const open = (destroyed: boolean) => {
      const response = Object.assign(new EventEmitter(), { destroyed })
      return { response, hold: openResponseHold(budget, response as unknown as ServerResponse) }
    }
    expect(open(true).hold.resize(1)).to.equal(false)
    const { response, hold } = open(false)
    expect(hold.resize(1)).to.equal(true)
    response.emit('close')
    expect(budget.usedBytes()).to.equal(0)
    expect(hold.resize(1)).to.equal(false)
  })

  // A caller that stops sending held its part until the time for a body was over.
  it('evicts the owner that stands still when another needs room, and none that is at work', () => {
    const { budget, timers } = prepare()
    const evicted: string[] = []
    const open = (name: string, bytes: number) => {
      const hold = budget.open()
      hold.resize(bytes)
      hold.setEviction(() => {
        evicted.push(name)
        hold.close()
      })
      return hold
    }
    open('stands still', 400_000)
    const busy = open('is at work', 300_000)
    timers.advance(900)
    busy.resize(310_000)
    expect(budget.open().resize(200_000)).to.equal(false)
    timers.advance(100)
    expect(budget.open().resize(200_000)).to.equal(true)
    expect(evicted).to.deep.equal(['stands still'])
  })

  it('shows how near the heap is to its bound, which ends the process without a last line', async () => {
    const metrics = createMetrics('test')
    addMemoryGauges(metrics, prepare().budget)
    const text = await metrics.render()
    const read = (name: string) => Number(new RegExp(`${name}\\S* (\\d+)`).exec(text)?.[1])
    expect(read('heap_used_bytes')).to.be.above(0).and.below(read('heap_limit_bytes'))
    await metrics.close()
  })
})

describe('the text of a response', () => {
  it('takes no more of the heap than there is while its callers do not read it', () => {
    const timers = createManualTimerService()
    const budget = createMemoryBudget({ limitBytes: LIMIT_BYTES, heapLimitBytes: 1_000, timers })
    const open = Array.from({ length: 3 }, () => {
      const response = Object.assign(new EventEmitter(), { destroyed: false, destroy: () => {} })
      addResponseMemory(budget, response as unknown as ServerResponse)
      return response as unknown as ServerResponse
    })
    expect(open.map((response) => admitResponseText(response, 400))).to.deep.equal([
      true,
      true,
      false,
    ])
    open[0].emit('close')
    expect(admitResponseText(open[2], 400)).to.equal(true)
    expect(budget.heap.usedBytes()).to.equal(800)
  })
})
