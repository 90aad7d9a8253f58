/** Commands that run one daemon until it is stopped. */
import { createControlServer } from '@spoolgate/control'
import { createRouter } from '@spoolgate/router'
import { createSidecar } from '@spoolgate/sidecar'
import { command, flag, positional, string } from 'cmd-ts'
import { runDaemon } from './daemonProcess.js'
import { readKeyFile } from './settings.js'

const file = positional({ type: string, displayName: 'FILE', description: 'settings file' })

/** `spoolgate router FILE` */
export const routerCommand = command({
  name: 'router',
  description: 'runs a router, which callers talk to; example: spoolgate router router.jsonc',
  args: { file },
  handler: (args) =>
    runDaemon(args.file, 'router', ({ settings, parts }) => {
      return createRouter({
        instance: settings.instance,
        hall: settings.hall,
        region: settings.region,
        ...parts,
        sources: settings.control,
        control: settings.control,
        bodyLimits: { maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs },
        headersTimeoutMs: settings.headersTimeoutMs,
        maxHeaderBytes: settings.maxHeaderBytes,
      })
    }),
})

/** `spoolgate sidecar FILE` */
export const sidecarCommand = command({
  name: 'sidecar',
  description: 'runs the process beside a backend server; example: spoolgate sidecar sidecar.jsonc',
  args: { file },
  handler: (args) =>
    runDaemon(args.file, 'sidecar', ({ settings, parts }) => {
      const { backendServer } = settings
      return createSidecar({
        server: backendServer.id,
        adapter: backendServer.adapter,
        backendUrl: backendServer.url.replace(/\/$/, ''),
        ...parts,
        sources: settings.control,
        slots: backendServer.slots,
        queueLimit: backendServer.queueLimit,
        resumeWindowMs: settings.resumeWindowMs,
      })
    }),
})

/** `spoolgate control FILE` */
export const controlCommand = command({
  name: 'control',
  description:
    'runs a control instance; example: spoolgate control control.jsonc --found (the first time only)',
  args: {
    file,
    isFounding: flag({
      long: 'found',
      description: 'found the group with the members of the settings; only with an empty folder',
    }),
  },
  handler: (args) =>
    runDaemon(args.file, 'control', ({ settings, parts }, lifecycle) => {
      return createControlServer({
        member: settings.member,
        founders: settings.members,
        isFounding: args.isFounding,
        ...parts,
        dataFolder: settings.dataFolder,
        operatorKey: readKeyFile(settings.operatorKeyFile),
        electionMs: settings.electionMs,
        heartbeatMs: settings.heartbeatMs,
        snapshotEvery: settings.snapshotEvery,
        onFailure: (cause) => lifecycle.end('diskFailed', { reason: String(cause) }),
      })
    }),
})
