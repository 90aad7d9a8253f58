#!/usr/bin/env node
import { runCli } from '../dist/node/cli/cli.js'

await runCli(process.argv.slice(2))
