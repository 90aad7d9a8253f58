import { expect } from 'chai'
import { findResponseProblem } from '../responseStatus.js'

describe('the head of a response', () => {
  // Node's parser takes the line ": x" on some machines; writing such a field throws.
  for (const name of ['', 'a b', 'a:', '\u00e9'])
    it(`is not relayed with a field named ${JSON.stringify(name)}`, () => {
      const rawHeaders = ['Content-Length', '0', name, 'x']
      expect(findResponseProblem({ statusCode: 200, headers: {}, rawHeaders })).to.include(
        'is not the name of a header field',
      )
    })

  it('is relayed with every character that the name of a field may have', () => {
    const rawHeaders = ["!#$%&'*+-.^_`|~09AZaz", 'x']
    expect(findResponseProblem({ statusCode: 200, headers: {}, rawHeaders })).to.equal(undefined)
  })

  // Node drops the fields of a head beyond 1,000 without an error.
  it('is not relayed when some of its fields may have been dropped', () => {
    const list = (count: number) => Array.from({ length: count }, () => ['x', 'y']).flat()
    const findProblem = (count: number) =>
      findResponseProblem({ statusCode: 200, headers: {}, rawHeaders: list(count) })
    expect(findProblem(1_000)).to.include('header fields')
    expect(findProblem(999)).to.equal(undefined)
  })
})
