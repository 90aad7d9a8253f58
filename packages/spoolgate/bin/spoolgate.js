#!/usr/bin/env node
import { installSignals } from '@spoolgate/core/signals'

/** Commands that run until they are stopped; their signals are listened to before the rest is loaded. */
const DAEMONS = new Set(['router', 'sidecar', 'control', 'dev'])

const args = process.argv.slice(2)
if (DAEMONS.has(args[0])) installSignals()
const { runCli } = await import('../dist/node/cli/cli.js')
await runCli(args)
