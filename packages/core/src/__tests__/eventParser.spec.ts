import { expect } from 'chai'
import fc from 'fast-check'
import { createEventParser } from '../eventParser.js'

function parsePieces(pieces: readonly string[]): string[] {
  const found: string[] = []
  const parser = createEventParser({ onEvent: ({ id, data }) => void found.push(`${id}=${data}`) })
  for (const piece of pieces) parser.feed(piece)
  return found
}

describe('the parser of event streams', () => {
  it('finds the same events whatever ends a line, and however the text is cut', () => {
    const lineEnd = fc.constantFrom('\n', '\r', '\r\n')
    const events = fc.array(fc.tuple(fc.nat(), lineEnd, lineEnd), { minLength: 1 })
    fc.assert(
      fc.property(events, fc.array(fc.nat({ max: 9 })), (list, sizes) => {
        const text = list
          .map(([id, first, end]) => `id: ${id}${first}data: a${first}data: b${end}${end}`)
          .join('')
        const pieces = sizes.map((size, index) => {
          const start = sizes.slice(0, index).reduce((sum, other) => sum + other, 0)
          return text.slice(start, start + size)
        })
        const rest = text.slice(pieces.join('').length)
        expect(parsePieces([...pieces, rest])).to.deep.equal(list.map(([id]) => `${id}=a\nb`))
      }),
      { seed: 99 },
    )
  })

  // Each of the lines searched the rest of the text for the other line end.
  it('reads many lines before a line end of another kind once', () => {
    const lines = '\n'.repeat(8 * 1024 * 1024)
    expect(parsePieces([`${lines}id: 1\rdata: piece\r\r`])).to.deep.equal(['1=piece'])
  })
})
