import { expect } from 'chai'
import { createLogger } from '../index.js'

describe('log lines', () => {
  const format = (value: unknown) => {
    const lines: string[] = []
    createLogger({ write: (line) => void lines.push(line) }).info('test', { value })
    expect(lines).to.have.length(1)
    return lines[0].slice(lines[0].indexOf(' value=') + ' value='.length)
  }

  // A server could write to the terminal of an operator, or lines of its own.
  it('hold no control character of a value, and give it back when they are read', () => {
    const values = [
      '\x1b[2J',
      'a\r\nlevel=error',
      '\0',
      '\x7f\x9b',
      'a\u2028b',
      '\u202etxt',
      '\ud800',
    ]
    for (const value of values) {
      const text = format(value)
      expect(text).to.match(/^"[ -~]*"$/)
      expect(JSON.parse(text)).to.equal(value)
    }
  })

  it('leave other values as they are', () => {
    expect(format('Żywność')).to.equal('Żywność')
    expect(format('i-1')).to.equal('i-1')
    expect(format(1.5)).to.equal('1.500')
  })
})
