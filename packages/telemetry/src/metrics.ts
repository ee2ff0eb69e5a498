import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

/** Ten minutes; longer latencies are recorded as this value. */
const MAX_LATENCY_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 2
const PERCENTILES = [50, 95, 99, 100] as const

/** Metrics of one process: Prometheus counters and gauges, and HDR histograms of latencies. */
export interface Metrics {
  /** Increments a counter; `labels` must have bounded cardinality. */
  count (name: string, labels?: Record<string, string>, increment?: number): void
  /** Sets a gauge. */
  gauge (name: string, value: number, labels?: Record<string, string>): void
  /** Records a latency in milliseconds. */
  record (name: string, milliseconds: number): void
  /** Returns the histogram with this name, for reports; values are in microseconds. */
  histogram (name: string): Histogram
  /** Renders all metrics in the Prometheus text format. */
  text (): Promise<string>
}

/** Creates an empty metrics registry; all names get the prefix `quinceshunt_`. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  const counters = new Map<string, Counter>()
  const gauges = new Map<string, Gauge>()
  const histograms = new Map<string, Histogram>()

  function getCounter (name: string, labels: Record<string, string>): Counter {
    const existing = counters.get(name)
    if (existing !== undefined) return existing
    const created = new Counter({ name: `quinceshunt_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry] })
    counters.set(name, created)
    return created
  }

  function getGauge (name: string, labels: Record<string, string>): Gauge {
    const existing = gauges.get(name)
    if (existing !== undefined) return existing
    const created = new Gauge({ name: `quinceshunt_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry] })
    gauges.set(name, created)
    return created
  }

  function histogram (name: string): Histogram {
    const existing = histograms.get(name)
    if (existing !== undefined) return existing
    const created = build({ highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, useWebAssembly: false })
    histograms.set(name, created)
    return created
  }

  function exportHistograms (): void {
    for (const [name, values] of histograms) {
      for (const percentile of PERCENTILES) {
        getGauge(`${name}_milliseconds`, { quantile: '' }).set({ quantile: String(percentile / 100) }, values.getValueAtPercentile(percentile) / 1000)
      }
      getGauge(`${name}_count`, {}).set(values.totalCount)
    }
  }

  return {
    count: (name, labels = {}, increment = 1) => getCounter(name, labels).inc(labels, increment),
    gauge: (name, value, labels = {}) => getGauge(name, labels).set(labels, value),
    record: (name, milliseconds) => histogram(name).recordValue(Math.min(MAX_LATENCY_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000)))),
    histogram,
    text: async () => {
      exportHistograms()
      return await registry.metrics()
    }
  }
}
