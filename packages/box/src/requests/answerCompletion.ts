import { costOf, prefixBlocks, refuseNotRun, type Refusal } from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { RequestContext } from '../types/context.js'
import { answerRefusal } from './answerRefusal.js'
import { RequestBill } from './requestBill.js'
import type { CompletionTask } from './completionTask.js'
import { answerScored, scoreStage, type ScoredAnswer } from './scoreStage.js'
import { parseCompletion, type Completion } from './parseCompletion.js'
import { relayCompletion } from './relayCompletion.js'
import { resolveSession } from './resolveSession.js'
import { withRequestVerdict } from './sendToUpstream.js'

/** Model name that selects the cascade configured for the request's kind. */
const AUTO_MODEL = 'auto'
const TYPICAL_ANSWER_TOKENS = 256
const TYPICAL_MILLISECONDS_PER_TOKEN = 30

/** Answers a chat completion, buffered or streamed, with one model or a cascade of models. */
export async function answerCompletion(context: RequestContext): Promise<void> {
  const { services, responder, request, id, organisation, limit } = context
  const refuse = (refusal: Refusal) => answerRefusal(responder, refusal, id)
  const parsed = parseCompletion(request.body, request.headers)
  if (parsed.isErr) return refuse(parsed.error)
  const session = resolveSession(context)
  if (session.isErr) return refuse(session.error)
  const completion = parsed.value
  const stages = resolveStages(context, completion)
  if (stages.isErr) return refuse(stages.error)

  const reserved = reservationFor(context, completion, stages.value)
  const reservation = await services.allowances.reserve(organisation, limit, reserved)
  if (reservation !== 'reserved') return refuse(refuseSpend(reservation))
  const task: CompletionTask = {
    context,
    completion,
    versions: session.value,
    bill: new RequestBill(context),
    blocks: prefixBlocks(organisation, completion.prompt),
    excluded: new Set(),
  }
  const refusal = await runStages(task, stages.value)
  services.allowances.settle(organisation, limit, reserved, task.bill.cost)
  if (!refusal) return
  await task.bill.abandon()
  refuse(withRequestVerdict(context, refusal))
}

/**
 * Runs the stages of a cascade until one has answered the caller. Returns a refusal if nothing was
 * sent to the caller.
 */
async function runStages(
  task: CompletionTask,
  models: readonly string[],
): Promise<Refusal | undefined> {
  const { context, completion } = task
  const choice = context.services.quality.choose(
    context.limit,
    context.organisation,
    completion.kind,
    models.map(model => stageCosts(task, model)),
    mayBufferAnswer(context, completion),
  )
  task.predictedQuality = choice.predictedQuality
  let fallback: ScoredAnswer | undefined
  for (let stage = choice.start; stage < models.length; stage++) {
    const version = task.versions.versionOf(models[stage]!)
    const isLast = stage === models.length - 1
    if (version.isOk && !isLast && choice.isJudged(stage)) {
      const scored = await scoreStage(task, version.value)
      if (scored && choice.accepts(stage, scored.confidence)) return answerScored(task, scored)
      fallback = scored ?? fallback
      continue
    }
    const refusal = version.isOk ? await relayCompletion(task, version.value) : version.error
    // A low-confidence answer is better than a refusal when a later stage is unavailable.
    return refusal && fallback ? answerScored(task, fallback) : refusal
  }
  return refuseNotRun('not-allowed', 'the cascade has no stage')
}

/** Models that may answer, cheapest first. */
function resolveStages(
  context: RequestContext,
  { body, kind }: Completion,
): Result<readonly string[], Refusal> {
  const [rights] = context.rights
  if (body.model !== AUTO_MODEL) return Result.ok([body.model])
  const stages = rights?.stagesOf(context.organisation, kind)
  if (stages) return Result.ok(stages)
  return Result.err(
    refuseNotRun(
      'bad-request',
      `there is no cascade for kind "${kind}"; name a model, or add a cascade row`,
    ),
  )
}

/** Streams of organisations that weigh latency most are not buffered for scoring. */
function mayBufferAnswer({ limit }: RequestContext, { body }: Completion): boolean {
  return !(body.stream && limit.weighs === 'latency')
}

function stageCosts(task: CompletionTask, model: string) {
  const { context, completion } = task
  const rows = context.rights[0]?.versionsOf(context.organisation, model) ?? []
  const version = { model, version: rows[0]?.version ?? '*' }
  const completionTokens = Math.min(TYPICAL_ANSWER_TOKENS, completion.maxAnswerTokens)
  const usage = { promptTokens: completion.promptTokens, completionTokens }
  return {
    model,
    cost: costOf(context.rights[0]!.priceOf(version), usage),
    wholeAnswerMilliseconds: completionTokens * TYPICAL_MILLISECONDS_PER_TOKEN,
  }
}

/** Maximum cost of a request: every stage runs and every answer has its maximum length. */
function reservationFor(
  context: RequestContext,
  { promptTokens, maxAnswerTokens }: Completion,
  models: readonly string[],
): number {
  const usage = { promptTokens, completionTokens: maxAnswerTokens }
  const [rights] = context.rights
  return models.reduce((sum, model) => {
    const rows = rights!.versionsOf(context.organisation, model)
    const costs = rows.map(row => costOf(rights!.priceOf(row), usage))
    return sum + Math.max(0, ...costs)
  }, 0)
}

function refuseSpend(reservation: 'exhausted' | 'store-out'): Refusal {
  if (reservation === 'store-out') {
    return refuseNotRun(
      'store-out',
      'this box has used up what it had drawn of the spend limit, and the store does not answer',
      2_000,
    )
  }
  return refuseNotRun('spend-exhausted', 'the organisation has spent its limit for today')
}
