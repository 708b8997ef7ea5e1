import { context, trace, type Context, type Span as OtelSpan } from '@opentelemetry/api'
import { W3CTraceContextPropagator } from '@opentelemetry/core'
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http'
import {
  BasicTracerProvider,
  BatchSpanProcessor,
  ParentBasedSampler,
  TraceIdRatioBasedSampler,
  type SpanProcessor,
} from '@opentelemetry/sdk-trace-base'
import bunyan from 'bunyan'
import { StatsD } from 'hot-shots'
import type { Log, Metrics, Span, Tracer } from '../types/ports.js'
import type { Settings } from '../types/settings.js'

/** Creates a logger that writes JSON lines to standard output. */
export function createLog(settings: Pick<Settings, 'box' | 'dataCentre' | 'logLevel'>): Log {
  const { box, dataCentre, logLevel } = settings
  return bunyan.createLogger({ name: 'yewkeel', box, dataCentre, level: logLevel })
}

/** Creates a StatsD client. Without `settings.metrics` it discards all metrics. */
export function createMetrics(
  settings: Pick<Settings, 'metrics' | 'box'>,
): Metrics & { close(): void } {
  if (!settings.metrics) return { count() {}, gauge() {}, timing() {}, close() {} }
  const client = new StatsD({
    ...settings.metrics,
    prefix: 'yewkeel.',
    globalTags: { box: settings.box },
    errorHandler: () => {},
  })
  return {
    count: (name, value = 1, tags = {}) => client.increment(name, value, tags),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tags),
    timing: (name, value, tags = {}) => client.timing(name, value, tags),
    close: () => client.close(() => {}),
  }
}

/** Creates a tracer that exports to OTLP. Without `settings.traces` it creates no spans. */
export function createTracer(
  settings: Pick<Settings, 'traces' | 'box'>,
): Tracer & { close(): Promise<void> } {
  if (!settings.traces) return { start: () => NOOP_SPAN, close: () => Promise.resolve() }
  const exporter = new OTLPTraceExporter({ url: settings.traces.url })
  return createTracerWith(new BatchSpanProcessor(exporter), settings.traces.sampled)
}

const NOOP_SPAN: Span = { traceparent: undefined, set: () => {}, end: () => {} }

/** Creates a tracer that samples a fraction of the root spans; child spans follow their parent. */
export function createTracerWith(
  processor: SpanProcessor,
  sampledFraction: number,
): Tracer & { close(): Promise<void> } {
  const provider = new BasicTracerProvider({
    spanProcessors: [processor],
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(sampledFraction) }),
  })
  const tracer = provider.getTracer('yewkeel')
  const propagator = new W3CTraceContextPropagator()
  const otelSpans = new WeakMap<Span, OtelSpan>()

  const parentContext = (parent: Span | string | undefined): Context => {
    if (typeof parent === 'string') return extract(propagator, parent)
    const span = parent && otelSpans.get(parent)
    return span ? trace.setSpan(context.active(), span) : context.active()
  }
  return {
    start(name, parent) {
      const span = tracer.startSpan(name, {}, parentContext(parent))
      const wrapped = wrapSpan(span, propagator)
      otelSpans.set(wrapped, span)
      return wrapped
    },
    close: () => provider.shutdown(),
  }
}

function wrapSpan(span: OtelSpan, propagator: W3CTraceContextPropagator): Span {
  return {
    traceparent: inject(propagator, span),
    set: attributes => void span.setAttributes(attributes),
    end(error) {
      if (error !== undefined) span.setStatus({ code: 2, message: error })
      span.end()
    },
  }
}

function extract(propagator: W3CTraceContextPropagator, traceparent: string): Context {
  const getter = {
    keys: () => ['traceparent'],
    get: (_carrier: unknown, key: string) => (key === 'traceparent' ? traceparent : undefined),
  }
  return propagator.extract(context.active(), {}, getter)
}

function inject(propagator: W3CTraceContextPropagator, span: OtelSpan): string | undefined {
  const carrier: Record<string, string> = {}
  propagator.inject(trace.setSpan(context.active(), span), carrier, {
    set: (target: Record<string, string>, key, value) => (target[key] = value),
  })
  return carrier.traceparent
}
