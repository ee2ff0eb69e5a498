import { context, propagation, SpanKind, SpanStatusCode, trace, type Context, type Span } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { resourceFromAttributes } from '@opentelemetry/resources'
import { BatchSpanProcessor, NodeTracerProvider, ParentBasedSampler, TraceIdRatioBasedSampler, type SpanProcessor } from '@opentelemetry/sdk-trace-node'

export { SpanKind }
export type { Span, Context as TraceContext }

const TRACER_NAME = 'quinceshunt'

/** Tracing options of a process. */
export interface TracingOptions {
  /** Name of the process, for example `router`. */
  readonly serviceName: string
  /** Instance ID from the settings. */
  readonly instanceId: string
  /** OTLP endpoint; empty disables the export. */
  readonly endpoint: string
  /** Ratio of requests sampled when the caller has made no sampling decision, 0 to 1. */
  readonly sampleRatio: number
  /** Additional span processors, for tests. */
  readonly processors?: readonly SpanProcessor[]
}

/** Registers the global tracer provider; returns a function that flushes and shuts it down. */
export async function startTracing (options: TracingOptions): Promise<() => Promise<void>> {
  const processors = [...options.processors ?? []]
  if (options.endpoint !== '') {
    // Imported lazily, because it accounts for a fifth of a router's start-up time.
    const { OTLPTraceExporter } = await import('@opentelemetry/exporter-trace-otlp-http')
    processors.push(new BatchSpanProcessor(new OTLPTraceExporter({ url: options.endpoint })))
  }
  const provider = new NodeTracerProvider({
    resource: resourceFromAttributes({ 'service.name': options.serviceName, 'service.instance.id': options.instanceId }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.sampleRatio) }),
    spanProcessors: processors
  })
  provider.register({ propagator: new W3CTraceContextPropagator() })
  return () => provider.shutdown()
}

/** Extracts the trace context from HTTP headers. */
export function extractTraceContext (headers: Record<string, string | string[] | undefined>): Context {
  return propagation.extract(context.active(), headers)
}

/** Returns the headers that propagate a span's trace context to the next hop. */
export function traceHeaders (span: Span, parent: Context): Record<string, string> {
  const headers: Record<string, string> = {}
  propagation.inject(trace.setSpan(parent, span), headers)
  return headers
}

/** Starts a span for one hop; the caller ends it. */
export function startSpan (name: string, kind: SpanKind, parent: Context, attributes: Record<string, string | number> = {}): Span {
  return trace.getTracer(TRACER_NAME).startSpan(name, { kind, attributes }, parent)
}

/** Returns a trace context with the given span as the active one. */
export function contextWithSpan (parent: Context, span: Span): Context {
  return trace.setSpan(parent, span)
}

/** Marks a span as failed. */
export function failSpan (span: Span, message: string): void {
  span.setStatus({ code: SpanStatusCode.ERROR, message })
}
