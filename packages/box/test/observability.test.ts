import { expect } from 'chai'
import { InMemorySpanExporter, SimpleSpanProcessor } from '@opentelemetry/sdk-trace-base'
import { createTracerWith } from '@yewkeel/box'

describe('tracer', () => {
  it('continues the trace of an incoming traceparent and nests child spans', () => {
    const exporter = new InMemorySpanExporter()
    const tracer = createTracerWith(new SimpleSpanProcessor(exporter), 1)
    const traceId = '0af7651916cd43dd8448eb211c80319c'
    const requestSpan = tracer.start('request', `00-${traceId}-b7ad6b7169203331-01`)
    const upstreamSpan = tracer.start('upstream', requestSpan)
    upstreamSpan.end()
    requestSpan.end('a fault')
    const [exportedUpstream, exportedRequest] = exporter.getFinishedSpans()
    expect(exportedRequest!.spanContext().traceId).to.equal(traceId)
    expect(exportedUpstream!.parentSpanContext?.spanId).to.equal(
      exportedRequest!.spanContext().spanId,
    )
    expect(upstreamSpan.traceparent).to.contain(traceId)
  })
})
