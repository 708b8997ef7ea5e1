import {
  formatVersion,
  type ModelVersion,
  type Refusal,
  type RequestProfile,
} from '@yewkeel/decisions'
import type { RequestContext, SendPlan } from '../types/context.js'
import type { UpstreamRequest } from '../types/ports.js'
import type { RequestBill } from './requestBill.js'
import { refuseStaleTable } from './filters.js'
import type { Completion } from './parseCompletion.js'
import { checkVersion, type SessionVersions } from './resolveSession.js'
import type { SendOptions } from './sendToUpstream.js'

/** Priorities of the engines' interface: lower numbers are scheduled first. */
const PRIORITY_NUMBERS = { high: 0, normal: 5, low: 10 }

/** State of a completion while its stages run. */
export interface CompletionTask {
  context: RequestContext
  completion: Completion
  versions: SessionVersions
  bill: RequestBill
  /** Hashes of the prompt's prefix blocks, for look-ups in the prefix cache index. */
  blocks: number[]
  /** Ids of upstreams that failed this request. */
  excluded: Set<string>
  /** Probability of a good answer that the cascade's plan expects. Set once the plan is made. */
  predictedQuality?: number
}

/** Options for sending a completion to an engine. `extra` overrides fields of the caller's body. */
export function sendOptionsFor(
  task: CompletionTask,
  version: ModelVersion,
  extra: Record<string, unknown>,
): SendOptions {
  const { context, completion, blocks, excluded, bill } = task
  const { services, limit } = context
  const served = formatVersion(version)
  const cached = services.upstreams.prefixes.match(blocks)
  const plan: SendPlan = {
    served,
    isRetryable: true,
    admission: {
      organisation: context.organisation,
      priority: limit.priority,
      isCall: false,
      deadline: context.receivedAt + services.settings.limits.firstTokenMilliseconds,
    },
  }
  const outlook: RequestProfile = {
    dataCentre: services.settings.dataCentre,
    promptTokens: completion.promptTokens,
    cachedTokensOf: upstream => cached.get(upstream) ?? 0,
  }
  return {
    plan,
    outlook,
    affine: [...cached.keys()].flatMap(id => services.upstreams.views.get(id) ?? []),
    excluded,
    buildRequest: (_view, streamId) => buildRequest(task, served, streamId, extra),
    checkBeforeSend: () => checkBeforeSend(context, version),
    onChosen(view, streamId) {
      bill.open(view.id, streamId)
      services.upstreams.prefixes.record(blocks, view.id)
    },
  }
}

/** Checks the current table before each attempt, as the box may have been paused meanwhile. */
function checkBeforeSend(context: RequestContext, version: ModelVersion): Refusal | undefined {
  const stale = refuseStaleTable(context)
  if (stale) return stale
  const rights = context.services.table.rights()
  return checkVersion({ rights, organisation: context.organisation }, version)
}

function buildRequest(
  { context, completion }: CompletionTask,
  served: string,
  streamId: string,
  extra: Record<string, unknown>,
): UpstreamRequest {
  const { body, kind, maxAnswerTokens } = completion
  return {
    method: 'POST',
    path: '/v1/chat/completions',
    headers: { 'content-type': 'application/json', 'x-request-id': streamId },
    body: JSON.stringify({
      ...body,
      model: served,
      max_tokens: maxAnswerTokens,
      priority: PRIORITY_NUMBERS[context.limit.priority],
      metadata: { ...body.metadata, kind },
      ...(body.stream && { stream_options: { include_usage: true } }),
      ...extra,
    }),
  }
}
