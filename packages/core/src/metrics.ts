/**
 * Metrics by OpenTelemetry, served in the Prometheus text format on `/metrics`. Each daemon owns
 * one registry, so that several can live in one process.
 */
import type { Counter, Histogram, Meter } from '@opentelemetry/api'
import { PrometheusExporter, PrometheusSerializer } from '@opentelemetry/exporter-prometheus'
import { MeterProvider } from '@opentelemetry/sdk-metrics'

export type { Counter, Histogram }

/** Metrics of one daemon. */
export interface Metrics {
  /** Meter for instruments that this registry exports. */
  readonly meter: Meter
  /** Finds or creates a counter. */
  counter(name: string, description: string): Counter
  /** Finds or creates a histogram; the unit is in the name, as Prometheus wants it. */
  histogram(name: string, description: string): Histogram
  /** Creates a gauge whose value is read whenever the metrics are rendered, or replaces how it is read. */
  gauge(name: string, description: string, read: () => number): void
  /** Releases what all gauges read; each is 0 until it is created again. */
  removeGauges(): void
  /** Renders every metric in the Prometheus text format. */
  render(): Promise<string>
  /** Stops the registry. */
  close(): Promise<void>
}

/** Creates the metrics of one daemon. */
export function createMetrics(daemon: string): Metrics {
  const exporter = new PrometheusExporter({ preventServerStart: true })
  const provider = new MeterProvider({ readers: [exporter] })
  const meter = provider.getMeter(`spoolgate.${daemon}`)
  const serializer = new PrometheusSerializer('spoolgate')
  const counters = new Map<string, Counter>()
  const histograms = new Map<string, Histogram>()
  const gauges = new Map<string, (() => number) | undefined>()
  return {
    meter,
    counter: (name, description) => {
      const found = counters.get(name) ?? meter.createCounter(name, { description })
      counters.set(name, found)
      return found
    },
    histogram: (name, description) => {
      const found = histograms.get(name) ?? meter.createHistogram(name, { description })
      histograms.set(name, found)
      return found
    },
    gauge: (name, description, read) => {
      const isCreated = gauges.has(name)
      gauges.set(name, read)
      if (isCreated) return
      meter.createObservableGauge(name, { description }).addCallback((result) => {
        result.observe(gauges.get(name)?.() ?? 0)
      })
    },
    removeGauges: () => {
      for (const name of gauges.keys()) gauges.set(name, undefined)
    },
    render: async () => serializer.serialize((await exporter.collect()).resourceMetrics),
    close: () => provider.shutdown(),
  }
}
