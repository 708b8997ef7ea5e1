import type { Milliseconds } from '@yewkeel/decisions'
import type { Upstream } from '../types/upstream.js'
import { MISDIRECTED, type AnswerHead, type ExchangeFault } from './exchangeWithUpstream.js'
import type { ForwardedRequest } from './forwardedRequest.js'

/** A try at a call came to no whole answer. */
interface CallFault {
  type: 'fault'
  fault: ExchangeFault
  /** The upstream may have run it. */
  wasSent: boolean
  detail: string
}

/** How one try at a call ended. `over`: the request ended meanwhile, for another reason. */
type CallOutcome = { type: 'answer'; head: AnswerHead; body: Buffer } | CallFault | { type: 'over' }

/** A whole answer and what it is worth. */
interface WholeAnswer {
  kind: AnswerKind
  head: AnswerHead
  body: Buffer
}

/** Forwards a call whose answer is passed on whole, trying again where the route allows it. */
export async function forwardCall(run: ForwardedRequest): Promise<void> {
  let last: WholeAnswer | undefined
  while ((await run.mayRun()) && run.takeTry()) {
    const upstream = await run.findUpstream()
    if (run.isOver) return
    if (!upstream) break
    const { clock } = run.services
    const sentAt = clock.now()
    const outcome = await tryCall(run, upstream)
    const took = clock.now() - sentAt
    if (outcome.type === 'over') return
    last =
      outcome.type === 'fault'
        ? noteFault(run, upstream, outcome, took)
        : noteAnswer(run, upstream, outcome, took)
    if (last?.kind === 'answer') return run.deliver(last.head, last.body)
    if (run.mayHaveRun && run.route.kind !== 'safe') break
  }
  await run.lookedAt()
  if (run.isOver) return
  if (last?.kind === 'failure' && !PROMISES_NOT_RUN.has(last.head.status))
    return run.deliver(last.head, last.body)
  run.giveUp(run.mayHaveRun ? 'no whole answer came' : 'no upstream took the request')
}

function noteFault(
  run: ForwardedRequest,
  upstream: Upstream,
  outcome: CallFault,
  took: Milliseconds,
): undefined {
  const seen = outcome.fault === 'unreachable' ? 'unreachable' : 'lost'
  run.noteTry(upstream, seen, `${outcome.fault}: ${outcome.detail}`)
  if (!outcome.wasSent) run.noteUnsent()
  else if (outcome.fault === 'reset') run.noteBroken(upstream)
  else if (outcome.fault === 'silent') run.noteUnfinished(upstream, undefined, 'start', took)
  else if (outcome.fault !== 'unreachable') run.noteAnswer(upstream, false)
}

function noteAnswer(
  run: ForwardedRequest,
  upstream: Upstream,
  { head, body }: { head: AnswerHead; body: Buffer },
  took: Milliseconds,
): WholeAnswer {
  const kind = judge(head)
  if (run.isMisdirected(head, upstream)) {
    run.noteMisdirected(upstream)
    return { kind, head, body }
  }
  run.noteTry(upstream, OUTCOME_OF[kind], `${kind} ${head.status}`)
  if (kind === 'not-run') {
    run.noteRefusal()
  } else {
    run.noteAnswer(upstream, kind === 'answer')
    if (kind !== 'spoiled') run.noteWhole(head)
    if (kind === 'answer') run.noteTime(upstream, undefined, 'start', took)
  }
  return { kind, head, body }
}

/** Statuses by which a caller is told that its request has not run. */
const PROMISES_NOT_RUN = new Set([408, MISDIRECTED, 429, 503])

type AnswerKind = 'answer' | 'failure' | 'not-run' | 'spoiled'

const OUTCOME_OF = {
  answer: 'good',
  failure: 'failed',
  'not-run': 'shed',
  spoiled: 'failed',
} as const

const FIRST_SERVER_ERROR = 500

function judge({ status, fields }: AnswerHead): AnswerKind {
  if (fields.isNotRun) return 'not-run'
  if (!fields.isSigned || fields.isEncoded) return 'spoiled'
  if (status >= FIRST_SERVER_ERROR || PROMISES_NOT_RUN.has(status)) return 'failure'
  return 'answer'
}

/** A safe call that has not begun to answer by this share of its objective is sent elsewhere. */
const PATIENCE_SHARE = 0.6

function tryCall(run: ForwardedRequest, upstream: Upstream): Promise<CallOutcome> {
  return new Promise(resolve => {
    const chunks: Buffer[] = []
    let head: AnswerHead | undefined
    const { clock, upstreams } = run.services
    const exchange = run.send(
      upstream,
      {},
      {
        onHead(answer) {
          head = answer
          if (answer.fields.load !== undefined) upstreams.noteLoad(upstream, answer.fields.load)
          return true
        },
        onChunk: chunk => void chunks.push(chunk),
        onEnd: () => resolve({ type: 'answer', head: head!, body: Buffer.concat(chunks) }),
        onFault: (fault, wasSent, detail) => resolve({ type: 'fault', fault, wasSent, detail }),
      },
    )
    run.onOver(() => resolve({ type: 'over' }))
    if (run.route.kind !== 'safe') return
    clock.after(PATIENCE_SHARE * run.route.latencyObjective, () => {
      if (head || !run.hasTry()) return
      exchange.cancel()
      resolve({ type: 'fault', fault: 'silent', wasSent: true, detail: 'no head in time' })
    })
  })
}
