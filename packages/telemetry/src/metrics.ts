import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

/** Largest value that a histogram holds: ten minutes in microseconds. */
const HIGHEST_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 2
const QUANTILES = [50, 95, 99, 100] as const

/** Metrics of one process: counters and gauges by Prometheus names, latency by high dynamic range histograms. */
export interface Metrics {
  /** Adds to a counter; `labels` must be of bounded cardinality. */
  count (name: string, labels?: Record<string, string>, by?: number): void
  /** Sets a gauge. */
  gauge (name: string, value: number, labels?: Record<string, string>): void
  /** Records a latency in milliseconds. */
  record (name: string, milliseconds: number): void
  /** Histogram by name, for reports. Values are microseconds. */
  histogram (name: string): Histogram
  /** Prometheus text exposition. */
  text (): Promise<string>
}

/** Creates an empty metrics registry; all names get the prefix `quinceshunt_`. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  const counters = new Map<string, Counter>()
  const gauges = new Map<string, Gauge>()
  const histograms = new Map<string, Histogram>()

  function counter (name: string, labels: Record<string, string>): Counter {
    const found = counters.get(name)
    if (found !== undefined) return found
    const created = new Counter({ name: `quinceshunt_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry] })
    counters.set(name, created)
    return created
  }

  function namedGauge (name: string, labels: Record<string, string>): Gauge {
    const found = gauges.get(name)
    if (found !== undefined) return found
    const created = new Gauge({ name: `quinceshunt_${name}`, help: name.replaceAll('_', ' '), labelNames: Object.keys(labels), registers: [registry] })
    gauges.set(name, created)
    return created
  }

  function histogram (name: string): Histogram {
    const found = histograms.get(name)
    if (found !== undefined) return found
    const created = build({ highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS, useWebAssembly: false })
    histograms.set(name, created)
    return created
  }

  function publishHistograms (): void {
    for (const [name, values] of histograms) {
      for (const quantile of QUANTILES) {
        namedGauge(`${name}_milliseconds`, { quantile: '' }).set({ quantile: String(quantile / 100) }, values.getValueAtPercentile(quantile) / 1000)
      }
      namedGauge(`${name}_count`, {}).set(values.totalCount)
    }
  }

  return {
    count: (name, labels = {}, by = 1) => counter(name, labels).inc(labels, by),
    gauge: (name, value, labels = {}) => namedGauge(name, labels).set(labels, value),
    record: (name, milliseconds) => histogram(name).recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(milliseconds * 1000)))),
    histogram,
    text: async () => {
      publishHistograms()
      return await registry.metrics()
    }
  }
}
