import { expect } from 'chai'
import { createBodyBuffer, decodeBodyText, joinBody } from '../bodyBuffer.js'

const SIZE = 300_000

describe('the bytes of a body', () => {
  const build = (pieceBytes: number, declaredBytes?: number) => {
    const content = Buffer.from('añ€'.repeat(SIZE).slice(0, SIZE))
    const buffer = createBodyBuffer(declaredBytes)
    for (let at = 0; at < content.length; at += pieceBytes)
      buffer.append(Buffer.from(content.subarray(at, at + pieceBytes)))
    return { content, buffer }
  }

  // Each byte was kept as an object of its own, and one upload ended the process.
  for (const pieceBytes of [1, 10, 1_000, 5_000, 65_536])
    it(`take little more than their number in pieces of ${pieceBytes}`, () => {
      const { content, buffer } = build(pieceBytes)
      expect(buffer.size()).to.equal(content.length)
      expect(buffer.heldBytes()).to.be.at.most(content.length * 1.25)
      const body = buffer.take()
      expect(body.length).to.equal(content.length)
      expect(joinBody(body).equals(content)).to.equal(true)
      expect(decodeBodyText(body)).to.equal(content.toString())
      expect([buffer.size(), buffer.heldBytes()]).to.deep.equal([0, 0])
    })

  it('take no more than was declared, and nothing ahead of them', () => {
    expect(createBodyBuffer(SIZE).heldBytes()).to.equal(0)
    const buffer = createBodyBuffer(10)
    for (const byte of Buffer.from('ten bytes!')) buffer.append(Buffer.of(byte))
    expect(buffer.take().blocks.map(({ buffer: bytes }) => bytes.byteLength)).to.deep.equal([10])
  })
})
