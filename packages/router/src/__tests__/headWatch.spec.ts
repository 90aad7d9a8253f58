import { createManualTimerService, createMemoryBudget } from '@spoolgate/core'
import { expect } from 'chai'
import type { Socket } from 'node:net'
import { startHeadWatch } from '../direct/headWatch.js'

const MAX_HEAD_BYTES = 32_768
const CONNECTIONS = 40

/** Creates what the watch uses of a socket. */
function createSocket(bytesRead: number, writableEnded: boolean): Socket {
  return { bytesRead, writableEnded, once: () => {} } as unknown as Socket
}

describe('memory of incomplete heads', () => {
  const closeBeside = (writableEnded: boolean): Socket[] => {
    const timers = createManualTimerService()
    const memory = createMemoryBudget({ limitBytes: 4 * MAX_HEAD_BYTES, timers })
    const closed: Socket[] = []
    const heads = startHeadWatch({
      memory,
      connections: { destroy: (socket) => void closed.push(socket) },
      maxHeadBytes: MAX_HEAD_BYTES,
      timers,
      logger: { warn: () => {} },
    })
    for (let count = 0; count < CONNECTIONS; count += 1)
      heads.addConnection(createSocket(10, false))
    heads.addConnection(createSocket(10_000_000, writableEnded))
    timers.advance(100)
    heads.close()
    return closed
  }

  it('does not contain what is discarded on a connection that ends', () => {
    expect(closeBeside(true)).to.deep.equal([])
  })

  it('contains the bytes of a connection that is open', () => {
    expect(closeBeside(false)).to.have.length(1)
  })
})
