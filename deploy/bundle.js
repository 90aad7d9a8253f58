// Bundles the program into target/: node deploy/bundle.js
import { chmodSync, mkdirSync, mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const ROOT = dirname(dirname(fileURLToPath(import.meta.url)))
const TARGET = join(ROOT, 'target')
/** Files of the program, in the order in which they replace those of the last build: the entry imports the other. */
const FILES = ['package.json', 'program.mjs', 'spoolgate.js']
/** Who runs the program may be another user than who builds it. */
const FILE_MODE = 0o644
const FOLDER_MODE = 0o755

const COMMON = {
  absWorkingDir: ROOT,
  bundle: true,
  minify: true,
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
}
/** Packages of the workspace, from their sources. */
const SOURCES = Object.fromEntries(
  ['core', 'config', 'routing', 'control', 'router'].map((name) => [
    `@spoolgate/${name}`,
    `./packages/${name}/src/index.ts`,
  ]),
)

/** Leaves the program out of the entry, under the name of its bundle. */
const EXTERNAL_PROGRAM = {
  name: 'external-program',
  setup: ({ onResolve }) =>
    onResolve({ filter: /^\.\/program\.js$/ }, () => ({ path: './program.mjs', external: true })),
}

/** Bundles the entry and the program that it loads into a folder. */
async function writeBundles(folder) {
  // Node runs a CommonJS module sooner, and a signal before that ends the process.
  await build({
    ...COMMON,
    format: 'cjs',
    entryPoints: ['platform/src/main.ts'],
    alias: { '@spoolgate/core/signals': './packages/core/src/processSignals.ts' },
    plugins: [EXTERNAL_PROGRAM],
    outfile: join(folder, 'spoolgate.js'),
  })
  await build({
    ...COMMON,
    format: 'esm',
    entryPoints: ['platform/src/program.ts'],
    mainFields: ['module', 'main'],
    alias: { rxjs: './node_modules/rxjs/dist/esm/index.js', ...SOURCES },
    banner: {
      js: "import{createRequire}from'node:module';const require=createRequire(import.meta.url);",
    },
    outfile: join(folder, 'program.mjs'),
  })
  // The program must not depend on the package.json of the checkout.
  writeFileSync(join(folder, 'package.json'), '{"type":"commonjs"}\n')
}

mkdirSync(TARGET, { recursive: true })
chmodSync(TARGET, FOLDER_MODE)
const folder = mkdtempSync(join(TARGET, '.bundle-'))
try {
  await writeBundles(folder)
  for (const file of FILES) {
    chmodSync(join(folder, file), FILE_MODE)
    renameSync(join(folder, file), join(TARGET, file))
  }
} catch (cause) {
  // The reports of the bundler are printed already.
  if (!cause?.errors) console.error(String(cause?.stack ?? cause))
  process.exitCode = 1
} finally {
  rmSync(folder, { recursive: true, force: true })
}
