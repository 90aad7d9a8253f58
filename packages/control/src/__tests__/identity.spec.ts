import { createRandomSource } from '@spoolgate/core'
import { expect } from 'chai'
import { openIdentity } from '../group/identity.js'
import { createMemoryFolder } from './memoryFolder.js'

const SEEDS = ['http://a', 'http://b', 'http://c']

describe('the identity of a group member', () => {
  it('is a founder identity for a seed at the first start of the fleet, and survives a crash', async () => {
    const folder = createMemoryFolder()
    const options = { url: 'http://b', seeds: SEEDS, isFirstStart: true }
    const identity = await openIdentity({ folder, ...options })
    expect(identity.name).to.equal('http://b')
    expect(Object.keys(identity.founders)).to.deep.equal(SEEDS)
    const later = { url: 'http://b', seeds: ['http://x'], isFirstStart: false }
    const restarted = folder.restart(createRandomSource(1))
    expect(await openIdentity({ folder: restarted, ...later })).to.deep.equal(identity)
  })

  it('has no founders when the instance is not a seed', async () => {
    const folder = createMemoryFolder()
    const identity = await openIdentity({
      folder,
      url: 'http://d',
      seeds: SEEDS,
      isFirstStart: true,
    })
    expect(identity.founders).to.deep.equal({})
    expect(identity.name).to.match(/^http:\/\/d#/)
  })

  it('is new for each empty disk, because the previous identity may have voted', async () => {
    const open = () =>
      openIdentity({
        folder: createMemoryFolder(),
        url: 'http://b',
        seeds: SEEDS,
        isFirstStart: false,
      })
    const [first, second] = [await open(), await open()]
    expect(first.name).to.not.equal(second.name)
    expect(first.name).to.not.equal('http://b')
    expect(first.founders).to.deep.equal({})
  })
})
