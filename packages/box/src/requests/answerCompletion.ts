import { costOf, prefixBlocks, refuseNotRun, type Refusal } from '@yewkeel/decisions'
import { Result } from 'true-myth'
import type { RequestContext } from '../types/context.js'
import { answerRefusal } from './answerRefusal.js'
import { BillKeeper } from './billKeeper.js'
import type { CompletionTask } from './completionTask.js'
import { answerJudged, judgeStage, type JudgedAnswer } from './judgeStage.js'
import { parseCompletion, type Completion } from './parseCompletion.js'
import { relayCompletion } from './relayCompletion.js'
import { resolveSession } from './resolveSession.js'
import { withTrueVerdict } from './sendToUpstream.js'

/** The model name that leaves the choice to the cascade of the request's kind. */
const AUTO = 'auto'
const USUAL_ANSWER_TOKENS = 256
const USUAL_TOKEN_MILLISECONDS = 30

/** Answers a chat completion, plain or streaming, through one model or a cascade of them. */
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
    bill: new BillKeeper(context),
    blocks: prefixBlocks(organisation, completion.prompt),
    excluded: new Set(),
  }
  const refusal = await runStages(task, stages.value)
  services.allowances.settle(organisation, limit, reserved, task.bill.cost)
  if (!refusal) return
  await task.bill.giveUp()
  refuse(withTrueVerdict(context, refusal))
}

/** Runs stages until one has answered the caller. Gives a refusal when nothing has gone to the caller. */
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
    mayWaitForJudging(context, completion),
  )
  task.promised = choice.promised
  let kept: JudgedAnswer | undefined
  for (let stage = choice.start; stage < models.length; stage++) {
    const version = task.versions.versionOf(models[stage]!)
    const isLast = stage === models.length - 1
    if (version.isOk && !isLast && choice.isJudged(stage)) {
      const judged = await judgeStage(task, version.value)
      if (judged && choice.accepts(stage, judged.confidence)) return answerJudged(task, judged)
      kept = judged ?? kept
      continue
    }
    const refusal = version.isOk ? await relayCompletion(task, version.value) : version.error
    // A doubtful answer is better than none when the next stage cannot be had.
    return refusal && kept ? answerJudged(task, kept) : refusal
  }
  return refuseNotRun('not-allowed', 'the cascade has no stage')
}

/** The models that may answer, the cheapest first. */
function resolveStages(
  context: RequestContext,
  { body, kind }: Completion,
): Result<readonly string[], Refusal> {
  const [rights] = context.rights
  if (body.model !== AUTO) return Result.ok([body.model])
  const stages = rights?.stagesOf(context.organisation, kind)
  if (stages) return Result.ok(stages)
  return Result.err(
    refuseNotRun(
      'bad-request',
      `there is no cascade for kind "${kind}"; name a model, or add a cascade row`,
    ),
  )
}

/** Streams of organisations that weigh latency most are not held back. */
function mayWaitForJudging({ limit }: RequestContext, { body }: Completion): boolean {
  return !(body.stream && limit.weighs === 'latency')
}

function stageCosts(task: CompletionTask, model: string) {
  const { context, completion } = task
  const rows = context.rights[0]?.versionsOf(context.organisation, model) ?? []
  const version = { model, version: rows[0]?.version ?? '*' }
  const completionTokens = Math.min(USUAL_ANSWER_TOKENS, completion.largestAnswer)
  const usage = { promptTokens: completion.promptTokens, completionTokens }
  return {
    model,
    cost: costOf(context.rights[0]!.priceOf(version), usage),
    wholeAnswerMilliseconds: completionTokens * USUAL_TOKEN_MILLISECONDS,
  }
}

/** The most that a request may cost: every stage asked, every answer as long as it may be. */
function reservationFor(
  context: RequestContext,
  { promptTokens, largestAnswer }: Completion,
  models: readonly string[],
): number {
  const usage = { promptTokens, completionTokens: largestAnswer }
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
