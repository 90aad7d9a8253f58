// `build` of system.toml: installs what package-lock.json names, unless it is installed, and bundles the program. It may
// be interrupted, repeated and run beside itself: installed packages are replaced by whole ones or not at all.
import { spawnSync } from 'node:child_process'
import * as fs from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const TARGET = join(ROOT, 'target')
const LOCK = 'package-lock.json'
const PACKAGES = 'node_modules'
/** Written by npm at the end of an install. */
const INSTALLED_LOCK = join(PACKAGES, '.package-lock.json')
const MIN_NODE_MAJOR = 20
/** Two attempts to install and to bundle fit into 15 minutes. */
const INSTALL_TIMEOUT_MS = 6 * 60_000
const BUNDLE_TIMEOUT_MS = 60_000
/** Time after which packages are not installed a second time, in ms. */
const RETRY_UNTIL_MS = 60_000
/** Age of the folder of another build after which that build has ended, in ms. */
const MAX_BUILD_MS = 20 * 60_000
const INSTALL = ['ci', '--silent', '--prefer-offline', '--fetch-timeout=60000']

function run(command, args, timeout, cwd = ROOT) {
  const { status, signal, error } = spawnSync(command, args, { cwd, timeout, stdio: 'inherit' })
  if (status === 0) return true
  console.error(`build: ${command} ${args.join(' ')} failed: ${error ?? signal ?? status}`)
  return false
}

/** Reads a JSON file of the checkout; undefined if it is missing or damaged. */
function readJson(file) {
  try {
    return JSON.parse(fs.readFileSync(join(ROOT, file), 'utf8'))
  } catch {
    return undefined
  }
}

/** Lists the folders of the workspace's own packages, the root first. */
function listMembers() {
  return Object.keys(readJson(LOCK)?.packages ?? {}).filter((name) => !name.includes(PACKAGES))
}

/** Checks that the packages of the lock file are installed; optional ones depend on the kind of machine. */
function isInstalled() {
  const installed = readJson(INSTALLED_LOCK)?.packages
  const wanted = Object.entries(readJson(LOCK)?.packages ?? {})
  if (!installed || wanted.length === 0) return false
  return wanted
    .filter(([name, { optional }]) => name.includes(PACKAGES) && (installed[name] || !optional))
    .every(([name, { version, integrity, link }]) => {
      const manifest = readJson(join(name, 'package.json'))
      if (!manifest || installed[name]?.version !== version) return false
      return link || (manifest.version === version && installed[name].integrity === integrity)
    })
}

/** Returns what tells one install from the next. */
function findInstallId() {
  const stat = fs.statSync(join(ROOT, INSTALLED_LOCK), { throwIfNoEntry: false })
  return stat && `${stat.ino} ${stat.mtimeMs}`
}

/** Copies what npm needs to install the packages of the workspace. */
function writeManifests(folder) {
  const files = ['.npmrc', LOCK, ...listMembers().map((member) => join(member, 'package.json'))]
  for (const file of files.filter((name) => fs.existsSync(join(ROOT, name)))) {
    fs.mkdirSync(dirname(join(folder, file)), { recursive: true })
    fs.copyFileSync(join(ROOT, file), join(folder, file))
  }
}

/** Installs into a folder beside the checkout's packages. */
function installInto(folder) {
  writeManifests(folder)
  if (run('npm', INSTALL, INSTALL_TIMEOUT_MS, folder)) return true
  // npm's cache may be damaged, or may not be written by this user.
  return run('npm', [...INSTALL, '--cache', join(folder, 'cache')], INSTALL_TIMEOUT_MS, folder)
}

/** Moves replaced packages back, unless others are in their place by now. */
function applyPrevious(moved) {
  for (const { place, previous } of moved.filter(({ place }) => !fs.existsSync(place))) {
    try {
      fs.renameSync(previous, place)
    } catch (cause) {
      console.error(`build: ${place} was not restored: ${cause}`)
    }
  }
}

/** Puts the installed packages of a folder in place of those of the checkout, which stay if that fails. */
function applyInstall(folder) {
  // The root's packages hold npm's lock: they go first and come last, so that no mixture counts as installed.
  const folders = listMembers().map((member) => join(member, PACKAGES))
  const moved = []
  try {
    for (const [index, name] of folders.entries()) {
      const place = join(ROOT, name)
      const previous = join(folder, `previous-${index}`)
      if (!fs.existsSync(place)) continue
      fs.renameSync(place, previous)
      moved.unshift({ place, previous })
    }
    for (const name of folders.reverse())
      if (fs.existsSync(join(folder, name))) fs.renameSync(join(folder, name), join(ROOT, name))
  } catch (cause) {
    applyPrevious(moved)
    throw cause
  }
}

function removeAbandonedFolders() {
  for (const name of fs.readdirSync(TARGET).filter((entry) => /^\.(install|bundle)-/.test(entry))) {
    const folder = join(TARGET, name)
    const stat = fs.statSync(folder, { throwIfNoEntry: false })
    if (stat && Date.now() - stat.mtimeMs > MAX_BUILD_MS)
      fs.rmSync(folder, { recursive: true, force: true })
  }
}

function installPackages() {
  fs.mkdirSync(TARGET, { recursive: true })
  removeAbandonedFolders()
  const folder = fs.mkdtempSync(join(TARGET, '.install-'))
  const replaced = findInstallId()
  try {
    if (!installInto(folder)) return false
    const isReplaced = findInstallId() !== replaced && isInstalled()
    if (!isReplaced) applyInstall(folder)
    return true
  } catch (cause) {
    // Another build may be replacing them at the same moment.
    console.error(`build: the installed packages were not replaced: ${cause}`)
    return true
  } finally {
    fs.rmSync(folder, { recursive: true, force: true })
  }
}

function writeBundle() {
  return run(process.execPath, [join(ROOT, 'deploy', 'bundle.js')], BUNDLE_TIMEOUT_MS)
}

function buildProgram() {
  const { node } = process.versions
  if (Number(node.split('.')[0]) < MIN_NODE_MAJOR) {
    console.error(`build: Node ${node} is too old; install ${MIN_NODE_MAJOR} or later`)
    return false
  }
  if (isInstalled()) {
    if (writeBundle()) return true
    console.error('build: the installed packages may be damaged or of another kind of machine')
  }
  if (!installPackages()) return false
  if (isInstalled() && writeBundle()) return true
  return performance.now() < RETRY_UNTIL_MS && installPackages() && writeBundle()
}

if (!buildProgram()) process.exitCode = 1
