import { EVERY_ORGANISATION, refuseNotRun, resolveAddresses } from '@yewkeel/decisions'
import type { BoxServices, RequestContext } from '../types/context.js'
import type { CallerRequest, Responder } from '../types/ports.js'
import { answerCompletion } from './answerCompletion.js'
import { answerRefusal } from './answerRefusal.js'
import { callService, SERVICE_PATH, withVerdictBeforeClaim } from './callService.js'
import { runFilters } from './filters.js'
import { resumeStream, STREAM_PATH } from './resumeStream.js'

type RouteHandler = (context: RequestContext) => Promise<void> | void

interface Route {
  matches(method: string, path: string): boolean
  handle: RouteHandler
}

const COMPLETIONS_PATH = '/v1/chat/completions'

/** Routes behind the request filters. */
const ROUTES: readonly Route[] = [
  {
    matches: (method, path) => method === 'POST' && path === COMPLETIONS_PATH,
    handle: answerCompletion,
  },
  { matches: (_method, path) => path.startsWith(SERVICE_PATH), handle: callService },
  {
    matches: (method, path) => method === 'GET' && path.startsWith(STREAM_PATH),
    handle: resumeStream,
  },
  { matches: (method, path) => method === 'GET' && path === '/v1/models', handle: answerModels },
]

/** Routes that need no key, by path. */
const UNAUTHENTICATED_ROUTES: Record<
  string,
  (services: BoxServices, request: CallerRequest, responder: Responder) => void
> = {
  '/v1/where': answerWhere,
  '/health': answerHealth,
  '/ready': answerReady,
}

/** Creates the handler of callers' requests. `nextId` returns a unique id for each request. */
export function createRequestHandler(services: BoxServices, nextId: () => string) {
  return async (request: CallerRequest, responder: Responder): Promise<void> => {
    const path = request.path.split('?')[0] ?? ''
    const handle = UNAUTHENTICATED_ROUTES[path]
    if (handle) return handle(services, request, responder)
    const context = createContext(services, request, responder, nextId())
    const route = ROUTES.find(route => route.matches(request.method, path))
    if (!route) {
      const message = `there is no ${request.method} ${path}; see the README for the interface`
      return answerRefusal(responder, refuseNotRun('not-found', message), context.id)
    }
    const refusal = runFilters(context)
    if (refusal) {
      services.metrics.count('requests.refused', 1, { reason: refusal.reason })
      answerRefusal(responder, withVerdictBeforeClaim(context, refusal), context.id)
    } else await route.handle(context)
    context.span.set({ organisation: context.organisation, 'request.id': context.id })
    context.span.end()
    services.metrics.timing('request', services.clock.now() - context.receivedAt)
  }
}

function createContext(
  services: BoxServices,
  request: CallerRequest,
  responder: Responder,
  id: string,
): RequestContext {
  return {
    services,
    request,
    responder,
    id,
    billId: id,
    mayHaveRun: false,
    receivedAt: services.clock.now(),
    span: services.tracer.start(`${request.method} ${request.path}`, request.headers.traceparent),
    organisation: '',
    limit: services.table.rights()[0]!.limitOf(EVERY_ORGANISATION),
    rights: [],
  }
}

function answerModels({ responder, rights, organisation, id }: RequestContext): void {
  const models = rights[0]?.modelsOf(organisation) ?? []
  const data = models.map(model => ({ id: model, object: 'model', owned_by: 'yewkeel' }))
  answerJson(responder, 200, { object: 'list', data }, id)
}

/** Responds with the addresses that a caller should connect to. Spreads callers over the boxes. */
function answerWhere(services: BoxServices, request: CallerRequest, responder: Responder): void {
  const caller = request.headers['yewkeel-caller'] ?? request.headers.authorization ?? ''
  const dataCentre = request.headers['yewkeel-data-centre']
  const addresses = resolveAddresses(
    caller,
    dataCentre,
    services.membership.directory(services.load()),
    services.settings.addressLifetimeMilliseconds,
  )
  answerJson(responder, 200, addresses)
}

function answerHealth(_services: BoxServices, _request: CallerRequest, responder: Responder): void {
  answerJson(responder, 200, { status: 'alive' })
}

function answerReady(services: BoxServices, _request: CallerRequest, responder: Responder): void {
  const freshness = services.table.freshness()
  const isReady = services.acceptsNewRequests() && freshness !== 'stale'
  const { revision } = services.table.state.table
  answerJson(responder, isReady ? 200 : 503, { ready: isReady, freshness, revision })
}

function answerJson(responder: Responder, status: number, body: unknown, id?: string): void {
  responder.start(status, {
    'content-type': 'application/json',
    ...(id !== undefined && { 'x-request-id': id }),
  })
  responder.end(JSON.stringify(body))
}
