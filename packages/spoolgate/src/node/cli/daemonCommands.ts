/** Commands that run one daemon until it is stopped. */
import { createControlServer } from '@spoolgate/control'
import { createRouter } from '@spoolgate/router'
import { createSidecar } from '@spoolgate/sidecar'
import { command, flag, positional, string } from 'cmd-ts'
import { CliError, EXIT_CODES, waitForStop } from './exit.js'
import { createDaemonParts, loadRole, readKeyFile } from './settings.js'

const file = positional({ type: string, displayName: 'FILE', description: 'settings file' })

/** What a planned stop reports. */
interface Stoppable {
  close(drainMs: number): Promise<{ readonly abandoned: number }>
}

async function runUntilStopped(daemon: Stoppable, drainMs: number): Promise<void> {
  await waitForStop()
  const { abandoned } = await daemon.close(drainMs)
  if (abandoned > 0) throw new CliError(`gave up on ${abandoned} in progress`, EXIT_CODES.failedRun)
}

/** `spoolgate router FILE` */
export const routerCommand = command({
  name: 'router',
  description: 'runs a router, which callers talk to; example: spoolgate router router.jsonc',
  args: { file },
  handler: async (args) => {
    const settings = loadRole(args.file, 'router')
    const router = await createRouter({
      instance: settings.instance,
      hall: settings.hall,
      region: settings.region,
      ...createDaemonParts(settings),
      sources: settings.control,
      control: settings.control,
      bodyLimits: { maxBytes: settings.maxBodyBytes, timeoutMs: settings.bodyTimeoutMs },
      headersTimeoutMs: settings.headersTimeoutMs,
      maxHeaderBytes: settings.maxHeaderBytes,
    })
    await runUntilStopped(router, settings.drainMs)
  },
})

/** `spoolgate sidecar FILE` */
export const sidecarCommand = command({
  name: 'sidecar',
  description: 'runs the process beside a backend server; example: spoolgate sidecar sidecar.jsonc',
  args: { file },
  handler: async (args) => {
    const settings = loadRole(args.file, 'sidecar')
    const { backendServer } = settings
    const sidecar = await createSidecar({
      server: backendServer.id,
      adapter: backendServer.adapter,
      backendUrl: backendServer.url.replace(/\/$/, ''),
      ...createDaemonParts(settings),
      sources: settings.control,
      slots: backendServer.slots,
      queueLimit: backendServer.queueLimit,
      resumeWindowMs: settings.resumeWindowMs,
    })
    await runUntilStopped(sidecar, settings.drainMs)
  },
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
  handler: async (args) => {
    const settings = loadRole(args.file, 'control')
    const control = await createControlServer({
      member: settings.member,
      founders: settings.members,
      isFounding: args.isFounding,
      ...createDaemonParts(settings),
      dataFolder: settings.dataFolder,
      operatorKey: readKeyFile(settings.operatorKeyFile),
      electionMs: settings.electionMs,
      heartbeatMs: settings.heartbeatMs,
      snapshotEvery: settings.snapshotEvery,
      onFailure: () => process.exit(EXIT_CODES.failedRun),
    })
    await runUntilStopped(control, settings.drainMs)
  },
})
