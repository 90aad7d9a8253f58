import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import {
  formatProblems,
  loadSettings,
  parseText,
  resolveFleetConfig,
  resolveSettings,
} from '../index.js'
import { toTeamId } from '@spoolgate/core'

describe('settings', () => {
  const router = {
    role: 'router',
    instance: 'r1',
    hall: 'a',
    region: 'r',
    processKeyFile: 'process.key',
    control: ['http://127.0.0.1:7000'],
  }

  it('are resolved whole, with paths made absolute, and frozen', () => {
    const settings = resolveSettings(router, '/etc/spoolgate')._unsafeUnwrap()
    expect(settings).to.include({ processKeyFile: '/etc/spoolgate/process.key', drainMs: 60_000 })
    expect(settings.listen).to.deep.equal({ host: '127.0.0.1', port: 0 })
    expect(() => Object.assign(settings, { hall: 'b' })).to.throw()
  })

  it('report every problem at its place, with the remedy', () => {
    const text = '{\n  // a comment\n  "role": "router",\n  "hall": 7,\n  "colour": "red",\n}'
    const parsed = parseText('r.jsonc', text)._unsafeUnwrap()
    const problems = resolveSettings(parsed.value, '/')._unsafeUnwrapErr().map(parsed.place)
    const lines = formatProblems(problems).split('\n')
    expect(lines.some((line) => /^r\.jsonc:4:11: "hall": .*see docs/.test(line))).to.equal(true)
    expect(lines.some((line) => /^r\.jsonc:5:\d+: unknown setting "colour"/.test(line))).to.equal(
      true,
    )
    expect(lines.length).to.be.greaterThan(4)
  })

  it('report where the JSON itself is broken', () => {
    const problems = parseText('r.jsonc', '{\n "role" "router"\n}')._unsafeUnwrapErr()
    expect(problems[0]).to.include({ line: 2, column: 9 })
  })
})

describe('the fleet configuration', () => {
  it('resolves a team from its templates, the nearest first', () => {
    const fleet = resolveFleetConfig(
      {
        templates: [
          { id: 'base', parameters: { share: 2, tailWeight: 0.9 } },
          { id: 'large', extends: 'base', parameters: { share: 5 } },
        ],
        teams: [{ id: 't', template: 'large', parameters: { priority: 1 } }],
      },
      7,
    )._unsafeUnwrap()
    const parameters = fleet.teams.get(toTeamId('t'))?.parameters
    expect(parameters).to.include({ share: 5, tailWeight: 0.9, priority: 1, cacheScope: 'team' })
  })

  it('is refused whole for any problem, and names all of them', () => {
    const problems = resolveFleetConfig(
      {
        backendServers: [
          { id: 'e', kind: 'engine', sidecarUrl: 'http://a', hall: 'h', region: 'r', serves: 'm' },
        ],
        templates: [
          { id: 'a', extends: 'b' },
          { id: 'b', extends: 'a' },
        ],
        teams: [{ id: 't', template: 'none', parameters: { region: 'far' } }, { id: 't' }],
      },
      0,
    )._unsafeUnwrapErr()
    const text = problems.map(({ message }) => message).join('\n')
    for (const part of [
      'model "m"',
      'circle',
      'template "none"',
      'region "far"',
      '"t" stands twice',
    ]) {
      expect(text).to.include(part)
    }
  })
})

describe('the examples in playground', () => {
  const folder = new URL('../../../../playground/separateProcesses/', import.meta.url)
  const findPath = (name: string) => fileURLToPath(new URL(name, folder))

  it('are settings and a configuration without problems', () => {
    for (const role of ['control', 'sidecar', 'router']) {
      const settings = loadSettings(findPath(`${role}.jsonc`))
      expect(settings.isOk(), role).to.equal(true)
    }
    const text = readFileSync(findPath('fleet.jsonc'), 'utf8')
    const fleet = parseText('fleet.jsonc', text).andThen(({ value }) =>
      resolveFleetConfig(value, 1),
    )
    expect(fleet._unsafeUnwrap().teams.size).to.equal(1)
  })
})
