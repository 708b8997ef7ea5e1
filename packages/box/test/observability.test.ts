import { expect } from 'chai'
import { InMemorySpanExporter, SimpleSpanProcessor } from '@opentelemetry/sdk-trace-base'
import { createTracerWith } from '@yewkeel/box'

describe('traces', () => {
  it('go on from a span that came in, with a span for each hop', () => {
    const exporter = new InMemorySpanExporter()
    const tracer = createTracerWith(new SimpleSpanProcessor(exporter), 1)
    const traceId = '0af7651916cd43dd8448eb211c80319c'
    const outer = tracer.start('request', `00-${traceId}-b7ad6b7169203331-01`)
    const inner = tracer.start('upstream', outer)
    inner.end()
    outer.end('a fault')
    const [hop, request] = exporter.getFinishedSpans()
    expect(request!.spanContext().traceId).to.equal(traceId)
    expect(hop!.parentSpanContext?.spanId).to.equal(request!.spanContext().spanId)
    expect(inner.traceparent).to.contain(traceId)
  })
})
