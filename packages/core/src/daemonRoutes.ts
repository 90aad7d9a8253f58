/** Routes that every daemon serves: health, readiness and metrics. */
import type { Route } from './httpServer.js'
import { sendJson, sendText } from './httpServer.js'
import type { Metrics } from './metrics.js'

/** Options of {@link createDaemonRoutes}. */
export interface DaemonRoutesOptions {
  readonly metrics: Metrics
  /** Says why the daemon is not ready, or undefined when it is. */
  readonly findUnreadyReason: () => string | undefined
}

/** Creates `/metrics`. */
export function createMetricsRoute(render: () => Promise<string>): Route {
  let rendering: Promise<string> | undefined
  const renderShared = async () => {
    // Requests that arrive in one turn of the event loop share a text.
    await new Promise((resolve) => setImmediate(resolve))
    rendering = undefined
    return render()
  }
  return {
    method: 'GET',
    path: '/metrics',
    handler: async ({ response }) => {
      rendering ??= renderShared()
      const text = await rendering
      sendText(response, 200, text, { 'content-type': 'text/plain; version=0.0.4' })
    },
  }
}

/** Creates `/healthz`, `/readyz` and `/metrics`. */
export function createDaemonRoutes(options: DaemonRoutesOptions): Route[] {
  return [
    {
      method: 'GET',
      path: '/healthz',
      handler: ({ response }) => sendJson(response, 200, { status: 'ok' }),
    },
    {
      method: 'GET',
      path: '/readyz',
      handler: ({ response }) => {
        const reason = options.findUnreadyReason()
        if (reason === undefined) sendJson(response, 200, { status: 'ready' })
        else sendJson(response, 503, { status: 'not ready', reason })
      },
    },
    createMetricsRoute(options.metrics.render),
  ]
}
