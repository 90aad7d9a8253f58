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
})
