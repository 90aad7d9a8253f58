import { expect } from 'chai'
import { ESLint } from 'eslint'
import { fileURLToPath } from 'node:url'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))

const SLOW = {
  'backtracks within a run': '/^id: ?[\\t ]*(.*?)[\\t ]*$/gm',
  'starts again at each character of a run': '/\\s*,\\s*/',
  'is searched for at the end of a value': '/[\\t ]+$/',
}

describe('the linter', () => {
  const eslint = new ESLint({ cwd: ROOT })

  for (const [what, expression] of Object.entries(SLOW))
    it(`reports an expression that ${what}`, async () => {
      const [{ messages }] = await eslint.lintText(`export const SLOW = ${expression}\n`, {
        filePath: '.ci/example.js',
      })
      const rules = messages.map(({ ruleId }) => ruleId)
      expect(rules.some((rule) => rule.startsWith('regexp/no-super-linear-'))).to.equal(true)
    })

  for (const file of ['packages/core/src/ids.ts', 'platform/src/fields.ts', 'deploy/build.js'])
    it(`checks the expressions of ${file}`, async () => {
      const { rules } = await eslint.calculateConfigForFile(file)
      for (const rule of ['backtracking', 'move'])
        expect(rules[`regexp/no-super-linear-${rule}`]).to.deep.equal([2, { report: 'potential' }])
    })
})
