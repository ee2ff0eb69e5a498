import { init, use } from 'echarts/core'
import { BarChart } from 'echarts/charts'
import { GridComponent, TitleComponent } from 'echarts/components'
import { SVGRenderer } from 'echarts/renderers'
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { ExperimentResult } from './experiment.js'
import { formatNumber, formatResultTable } from './formatResultTable.js'
import type { MeasureSummary } from './statistics.js'

use([BarChart, GridComponent, TitleComponent, SVGRenderer])

const CHART_WIDTH = 480
const CHART_HEIGHT = 260

/** Paths of the written result files. */
export interface ReportFiles {
  readonly json: string
  readonly html: string
}

/** Writes a result as JSON and as an HTML page with one chart per measure. */
export function writeReport (result: ExperimentResult, directory: string): ReportFiles {
  mkdirSync(directory, { recursive: true })
  const baseName = `${result.name}-${new Date(result.startedAt).toISOString().replace(/[:.]/g, '-')}`
  const files = { json: join(directory, `${baseName}.json`), html: join(directory, `${baseName}.html`) }
  writeFileSync(files.json, `${JSON.stringify(result, null, 2)}\n`)
  writeFileSync(files.html, renderPage(result))
  return files
}

function renderPage (result: ExperimentResult): string {
  const charts = result.measures.map((measure) => `<figure>${renderChart(measure)}</figure>`).join('\n')
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>${escapeHtml(result.name)}</title>
<style>body{font-family:sans-serif;margin:2em}figure{display:inline-block;margin:0.5em}pre{overflow-x:auto}</style></head>
<body>
<h1>${escapeHtml(result.name)}</h1>
<p>${escapeHtml(result.description)}</p>
<p>${result.repetitions} repetitions, seed ${result.seed}, started ${new Date(result.startedAt).toISOString()}. Bars show medians, with the lowest and highest repetition in parentheses; the baseline is ${escapeHtml(result.policies[0] ?? '')}.</p>
<pre>${escapeHtml(formatResultTable(result))}</pre>
${charts}
</body>
</html>
`
}

function renderChart (summary: MeasureSummary): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: CHART_WIDTH, height: CHART_HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: summary.measure, textStyle: { fontSize: 13 } },
    grid: { left: 70, right: 20, bottom: 30, top: 40 },
    xAxis: { type: 'category', data: summary.policies.map((policy) => policy.policy) },
    yAxis: { type: 'value' },
    series: [{
      type: 'bar',
      barMaxWidth: 60,
      data: summary.policies.map(({ median }) => Number.isFinite(median) ? median : 0),
      label: { show: true, position: 'top', formatter: ({ dataIndex }: { dataIndex: number }) => formatSpread(summary, dataIndex) }
    }]
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function formatSpread (summary: MeasureSummary, index: number): string {
  const { median, lowest, highest } = summary.policies[index]!
  return lowest === highest ? formatNumber(median) : `${formatNumber(median)} (${formatNumber(lowest)} to ${formatNumber(highest)})`
}

function escapeHtml (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;')
}
