import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { CounterName, GatewayMetrics, GaugeName } from '../types/ports.js'

/** Upper bounds in seconds, from a short call to the longest stream. */
const LATENCY_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6, 12, 25]

const COUNTER_HELP: Record<CounterName, string> = {
  requests: 'requests by outcome',
  arrivals:
    'requests sent to upstreams: the first of each, repeats, and those that another process turned away',
  connections: 'connections to upstreams: opened, used, and ended while they carried no request',
  crashes:
    'requests that were at an upstream when its process ended, and what was held against them',
  exchanges: 'tries at upstreams by outcome',
  relayed:
    'requests passed on to another box, since the path to their upstreams is lost, by service',
  retries: 'requests sent once more, and those that the retry budget did not allow',
  ejections: 'upstreams taken out of use, by service',
  statements: 'what upstreams said of themselves, by kind',
  storeCalls: 'calls to the store by outcome',
  unread: 'callers whose connection was ended since they did not read or send, by why',
  roomRejections: 'requests rejected since room is short, by why',
  taskFailures: 'calls of periodic tasks that failed, by task',
}

const GAUGE_HELP: Record<GaugeName, string> = {
  epoch: 'restores of the store from a copy, as the store counts them',
  headroom: 'level of what this box can bear beyond its load, and the part of its processor in use',
  slow: 'upstreams that tell that work takes longer there than usual, by service',
  waiting: 'requests that wait at this box for room, by service',
  held: 'upstreams that get fewer requests than they could work on, by why',
  kept: 'bytes kept in memory for callers and upstreams, by kind',
  lostPaths: 'services to whose upstreams this box has no path, and whether it has one to none',
  room: 'places believed to be free at upstreams, by service',
}

export interface MetricsRegistry extends GatewayMetrics {
  /** All metrics in the Prometheus text format. */
  text(): Promise<string>
}

/** Creates the Prometheus counters, gauges and latency histogram. */
export function createGatewayMetrics(): MetricsRegistry {
  const registry = new Registry()
  const counters = {} as Record<CounterName, Counter<'kind'>>
  for (const name of Object.keys(COUNTER_HELP) as CounterName[]) {
    counters[name] = new Counter({
      name: `yewkeel_${name.toLowerCase()}_total`,
      help: COUNTER_HELP[name],
      labelNames: ['kind'],
      registers: [registry],
    })
  }
  const latency = new Histogram({
    name: 'yewkeel_request_seconds',
    help: 'time from arrival to the end of the answer, by route and outcome',
    labelNames: ['route', 'outcome'],
    buckets: LATENCY_BUCKETS,
    registers: [registry],
  })
  return {
    count: (name, label) => counters[name].inc({ kind: label }),
    observe(route, outcome, duration) {
      counters.requests.inc({ kind: outcome })
      latency.observe({ route, outcome }, duration / 1_000)
    },
    watch(name, read) {
      const gauge: Gauge<'kind'> = new Gauge({
        name: `yewkeel_${name}`,
        help: GAUGE_HELP[name],
        labelNames: ['kind'],
        registers: [registry],
        collect() {
          gauge.reset()
          for (const [kind, level] of Object.entries(read())) gauge.set({ kind }, level ?? 0)
        },
      })
    },
    text: () => registry.metrics(),
  }
}
