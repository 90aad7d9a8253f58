import { expect } from 'chai'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import * as fs from 'node:fs'
import { tmpdir } from 'node:os'
import { delimiter, dirname, join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))))
const BUILD = /^build = "(.*)"$/m.exec(
  fs.readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8'),
)[1]
const LOCK = {
  packages: {
    '': { version: '1.0.0' },
    'packages/routing': { version: '1.0.0' },
    'packages/routing/node_modules/lru-cache': { version: '1.0.0', integrity: 'sha512-c' },
    'node_modules/esbuild': { version: '1.0.0', integrity: 'sha512-a' },
    'node_modules/rxjs': { version: '1.0.0', integrity: 'sha512-b' },
    'node_modules/@esbuild/other-machine': { version: '1.0.0', optional: true },
  },
}
const INSTALLED = Object.fromEntries(
  Object.entries(LOCK.packages).filter(([, { optional }]) => !optional),
)

/** Stands in for esbuild, as a module and as a command: needs two packages, and writes a file of one line. */
const ESBUILD = `#!/usr/bin/env node
import * as fs from 'node:fs'
export async function build({ entryPoints: [entry], outfile }) {
  const isProgram = entry.endsWith('program.ts')
  for (const name of ['node_modules/rxjs', 'packages/routing/node_modules/lru-cache'])
    if (isProgram && !fs.existsSync(name + '/index.js')) throw new Error('no ' + name)
  fs.mkdirSync('target', { recursive: true })
  fs.writeFileSync(outfile, fs.readFileSync('revision', 'utf8'))
}
if (process.argv[2]?.startsWith('platform/')) {
  const outfile = process.argv.find((word) => word.startsWith('--outfile=')).slice(10)
  await build({ entryPoints: [process.argv[2]], outfile })
}
`
/** Stands in for npm: runs scripts, and installs from a folder unless the registry is out of reach. */
const NPM = `#!/usr/bin/env node
const fs = require('node:fs')
const { spawnSync } = require('node:child_process')
const { FIXTURE, PATH } = process.env
const args = process.argv.slice(2)
if (args[0] === 'run') {
  const script = JSON.parse(fs.readFileSync('package.json', 'utf8')).scripts[args.at(-1)]
  const env = { ...process.env, PATH: process.cwd() + '/node_modules/.bin:' + PATH }
  process.exit(spawnSync('sh', ['-c', script], { stdio: 'inherit', env }).status ?? 1)
}
const folders = ['node_modules', 'packages/routing/node_modules']
for (const folder of folders) fs.rmSync(folder, { recursive: true, force: true })
fs.mkdirSync('node_modules')
fs.appendFileSync(FIXTURE + '/installs', args.join(' ') + '\\n')
while (fs.existsSync(FIXTURE + '/held')) Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 5)
if (fs.existsSync(FIXTURE + '/offline')) process.exit(1)
if (fs.existsSync(FIXTURE + '/cacheLost') && !args.includes('--cache')) process.exit(1)
if (!fs.existsSync('packages/routing/package.json')) process.exit(1)
fs.cpSync(FIXTURE + '/sound', '.', { recursive: true, verbatimSymlinks: true })
`

/** Writes what a whole install consists of. */
function writeSoundPackages(folder) {
  for (const name of Object.keys(INSTALLED).filter((path) => path.includes('node_modules'))) {
    const { version } = LOCK.packages[name]
    const manifest = { version, type: 'module', exports: './bin/esbuild.js' }
    fs.mkdirSync(join(folder, name, 'bin'), { recursive: true })
    fs.writeFileSync(join(folder, name, 'package.json'), JSON.stringify(manifest))
    fs.writeFileSync(join(folder, name, 'index.js'), '')
  }
  const packages = join(folder, 'node_modules')
  fs.writeFileSync(join(packages, 'esbuild', 'bin', 'esbuild.js'), ESBUILD, { mode: 0o755 })
  fs.mkdirSync(join(packages, '.bin'))
  fs.symlinkSync('../esbuild/bin/esbuild.js', join(packages, '.bin', 'esbuild'))
  const lock = JSON.stringify({ packages: INSTALLED })
  fs.writeFileSync(join(packages, '.package-lock.json'), lock)
}

describe('the build of the deploy file', () => {
  let fixture
  let root
  const fixtureFile = (name) => join(fixture, name)
  const packageFile = (...names) => join(root, 'node_modules', ...names)
  const setLockTime = (seconds) => {
    const time = Date.now() / 1_000 + seconds
    fs.utimesSync(join(root, 'package-lock.json'), time, time)
  }

  beforeEach(() => {
    fixture = fs.mkdtempSync(join(tmpdir(), 'spoolgate build-'))
    root = fixtureFile('check out')
    fs.cpSync(join(ROOT, 'deploy'), join(root, 'deploy'), { recursive: true })
    fs.copyFileSync(join(ROOT, 'package.json'), join(root, 'package.json'))
    fs.writeFileSync(join(root, 'package-lock.json'), JSON.stringify(LOCK))
    setLockTime(-3_600)
    fs.writeFileSync(join(root, 'revision'), 'first')
    fs.mkdirSync(join(root, 'packages/routing'), { recursive: true })
    fs.writeFileSync(join(root, 'packages/routing/package.json'), '{}')
    writeSoundPackages(fixtureFile('sound'))
    fs.mkdirSync(fixtureFile('bin'))
    fs.writeFileSync(fixtureFile('bin/npm'), NPM, { mode: 0o755 })
  })
  afterEach(() => fs.rmSync(fixture, { recursive: true, force: true }))

  const installPackages = () =>
    fs.cpSync(fixtureFile('sound'), root, { recursive: true, verbatimSymlinks: true })
  const startBuild = () => {
    const PATH = `${fixtureFile('bin')}${delimiter}${process.env.PATH}`
    const child = spawn('sh', ['-c', BUILD], {
      cwd: root,
      env: { PATH, FIXTURE: fixture },
      stdio: 'ignore',
    })
    return once(child, 'exit').then(([status]) => status)
  }
  const countInstalls = () =>
    fs.existsSync(fixtureFile('installs'))
      ? fs.readFileSync(fixtureFile('installs'), 'utf8').trimEnd().split('\n').length
      : 0
  const listRevisions = () =>
    ['spoolgate.js', 'program.mjs']
      .map((name) => join(root, 'target', name))
      .map((file) => (fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : undefined))

  const damages = {
    'was broken off': () => fs.mkdirSync(packageFile('esbuild'), { recursive: true }),
    'was broken off before its last step': () => {
      installPackages()
      fs.rmSync(packageFile('.package-lock.json'))
      fs.rmSync(packageFile('esbuild', 'bin'), { recursive: true })
    },
    'is of another kind of machine': () => {
      installPackages()
      fs.writeFileSync(packageFile('esbuild', 'bin', 'esbuild.js'), '\u007fELF')
    },
    'lost the files of a package': () => {
      installPackages()
      fs.rmSync(packageFile('rxjs', 'index.js'))
    },
    'lost the packages of a member of the workspace': () => {
      installPackages()
      fs.rmSync(join(root, 'packages/routing/node_modules'), { recursive: true })
    },
    'is of an older lock file': () => {
      installPackages()
      const older = JSON.stringify({ packages: { ...INSTALLED, 'node_modules/rxjs': {} } })
      fs.writeFileSync(packageFile('.package-lock.json'), older)
      fs.rmSync(packageFile('rxjs', 'index.js'))
    },
  }
  for (const [what, damage] of Object.entries(damages))
    it(`installs again when an install ${what}`, async () => {
      damage()
      expect(await startBuild()).to.equal(0)
      expect(listRevisions()).to.deep.equal(['first', 'first'])
      expect(countInstalls()).to.equal(1)
    })

  it('needs no registry for sound packages that are older than the lock file', async () => {
    installPackages()
    setLockTime(3_600)
    fs.writeFileSync(fixtureFile('offline'), '')
    expect(await startBuild()).to.equal(0)
    expect(await startBuild()).to.equal(0)
    expect(countInstalls()).to.equal(0)
  })

  it('keeps the last program and the packages when packages cannot be installed', async () => {
    installPackages()
    expect(await startBuild()).to.equal(0)
    fs.writeFileSync(join(root, 'revision'), 'second')
    fs.rmSync(packageFile('rxjs', 'index.js'))
    fs.writeFileSync(fixtureFile('offline'), '')
    expect(await startBuild()).to.not.equal(0)
    expect(listRevisions()).to.deep.equal(['first', 'first'])
    fs.writeFileSync(packageFile('rxjs', 'index.js'), '')
    expect(await startBuild()).to.equal(0)
    expect(listRevisions()).to.deep.equal(['second', 'second'])
  })

  it('keeps the packages when the new ones cannot be moved to their place', async () => {
    installPackages()
    fs.rmSync(packageFile('rxjs', 'index.js'))
    const lock = { packages: { ...LOCK.packages, 'packages/absent': { version: '1.0.0' } } }
    fs.writeFileSync(join(root, 'package-lock.json'), JSON.stringify(lock))
    fs.mkdirSync(fixtureFile('sound/packages/absent/node_modules'), { recursive: true })
    expect(await startBuild()).to.not.equal(0)
    expect(countInstalls()).to.be.at.least(1)
    fs.writeFileSync(packageFile('rxjs', 'index.js'), '')
    fs.writeFileSync(fixtureFile('offline'), '')
    expect(await startBuild()).to.equal(0)
    expect(listRevisions()).to.deep.equal(['first', 'first'])
  })

  it('uses a cache of its own when the one of the user cannot be used', async () => {
    fs.writeFileSync(fixtureFile('cacheLost'), '')
    expect(await startBuild()).to.equal(0)
  })

  it('succeeds beside another build of the same checkout', async () => {
    fs.writeFileSync(fixtureFile('held'), '')
    const first = startBuild()
    while (countInstalls() < 1) await wait(1)
    let isSecondOver = false
    const second = startBuild().finally(() => (isSecondOver = true))
    while (countInstalls() < 2 && !isSecondOver) await wait(1)
    fs.rmSync(fixtureFile('held'))
    expect(await Promise.all([first, second])).to.deep.equal([0, 0])
    expect(listRevisions()).to.deep.equal(['first', 'first'])
  })

  it('leaves nothing but the program in its folder', async () => {
    expect(await startBuild()).to.equal(0)
    const files = fs.readdirSync(join(root, 'target'))
    expect(files).to.have.members(['package.json', 'program.mjs', 'spoolgate.js'])
  })
})
