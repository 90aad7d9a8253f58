/**
 * Control instance that survives a failure of its disk: it closes its member of the control group, runs as a relay at the
 * same address, and starts a new member from the disk once the disk can be written, as after a restart. If the disk cannot
 * be written at the start, the instance begins as a relay.
 */
import { createMetrics, SpoolgateError, waitFor } from '@spoolgate/core'
import { findDiskError } from '../log/controlDisk.js'
import { createControlRelay, type ControlRelay } from './controlRelay.js'
import {
  createRegistryControl,
  DISK_REMEDY,
  openRegistryDisk,
  type RegistryControlOptions,
} from './registryControl.js'

/** Options of {@link createControlFailover}. */
export interface ControlFailoverOptions extends Omit<
  RegistryControlOptions,
  'disk' | 'metrics' | 'onFailure'
> {
  /** Called when neither a relay nor a member could be started after a disk failure; the daemon must then exit. */
  readonly onFailure: (cause: unknown) => void
}

/** Time before the first attempt to use a disk that failed, in ms; it limits how often a disk can fail. */
const REOPEN_DELAY_MS = 1_000
/** Time for which a relay answers what is in flight when its disk is back, in ms. */
const RELAY_DRAIN_MS = 100

/** Creates a control instance; resolves once it is listening. */
export async function createControlFailover(
  options: ControlFailoverOptions,
): Promise<ControlRelay> {
  const { logger, timers } = options
  // One registry for all members and relays, so that counters never fall.
  const metrics = createMetrics('control')
  const failures = metrics.counter('disk_failures', 'Failures of the disk of this instance')
  const recoveries = metrics.counter(
    'disk_recoveries',
    'Disks that were taken back after a failure',
  )
  const stopping = new AbortController()
  const { signal } = stopping
  /** Undefined while a member and a relay take turns. */
  let current: ControlRelay | undefined

  const startMember = async (change: Partial<RegistryControlOptions>) => {
    current = await createRegistryControl({
      ...options,
      ...change,
      metrics,
      onFailure: handleFailure,
    })
    return current.url
  }
  const closeCurrent = async (drainMs: number) => {
    const closing = current
    current = undefined
    await closing?.close(drainMs)
    metrics.removeGauges()
  }
  const findCurrent = (): ControlRelay => {
    if (current) return current
    throw new SpoolgateError('controlUnavailable', 'this instance is starting; try again', {
      notRun: true,
      retryAfterSeconds: 1,
    })
  }
  const findPort = () => Number(new URL(findCurrent().url).port)
  const startRelay = async (port: number) => {
    failures.add(1)
    current = await createControlRelay({ ...options, port, metrics })
    return current.url
  }
  /** Starts a member in place of the relay once the disk can be written. */
  const recoverDisk = async (isFirstStart: boolean) => {
    const failedAt = timers.now()
    const { url } = findCurrent()
    const port = findPort()
    await waitFor(timers, REOPEN_DELAY_MS, signal)
    const disk = await openRegistryDisk({
      ...options,
      url,
      isFirstStart,
      isAfterFailure: true,
      signal,
      onFailure: handleFailure,
    })
    await closeCurrent(RELAY_DRAIN_MS)
    await startMember({ port, startedAt: timers.now(), disk })
    recoveries.add(1)
    logger.info('disk.recovered', { url, ms: Math.round(timers.now() - failedAt) })
  }
  const replaceMember = async () => {
    const port = findPort()
    await closeCurrent(0)
    await startRelay(port)
    await recoverDisk(false)
  }
  const startSwitch = (previous: Promise<unknown>, run: () => Promise<void>) => {
    switching = previous.then(async () => {
      try {
        if (!signal.aborted) await run()
      } catch (cause) {
        if (!signal.aborted) options.onFailure(cause)
      }
    })
  }
  const handleFailure = () => startSwitch(switching, replaceMember)
  const start = async () => {
    const cause = await findDiskError(options.dataFolder)
    if (cause === undefined) return startMember({})
    logger.error('disk.failed', { reason: String(cause), remedy: DISK_REMEDY })
    const relayUrl = await startRelay(options.port)
    startSwitch(Promise.resolve(), () => recoverDisk(options.isFirstStart))
    return relayUrl
  }
  const starting = start()
  let switching: Promise<unknown> = starting
  // The disk may fail again at once, so that the first member is already gone here.
  const url = await starting
  return {
    url,
    operations: { run: async (name, input) => findCurrent().operations.run(name, input) },
    table: {
      put: async (table) => findCurrent().table.put(table),
      read: async () => findCurrent().table.read(),
    },
    metrics,
    renderMetrics: metrics.render,
    recordConnection: () => current?.recordConnection(),
    close: async (drainMs) => {
      stopping.abort()
      await switching
      const report = await current?.close(drainMs)
      await metrics.close()
      return report ?? { abandoned: 0 }
    },
  }
}
