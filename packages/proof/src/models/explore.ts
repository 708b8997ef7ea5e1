/**
 * Explicit-state model checker: explores every reachable state of a small model and checks the
 * invariants in each. `xstate/graph` does the traversal; this module records the predecessor of
 * each state, so that a violation has its shortest trace.
 */
import { createHash } from 'node:crypto'
import { getAdjacencyMap } from 'xstate/graph'

/** A transition system: an initial state, the actions enabled in each state, and the invariants. */
export interface Model<State, Action extends { type: string }> {
  name: string
  /** Which product functions the model calls, or what it abstracts. Printed with the result. */
  scope: string
  initial(): State
  /** The actions enabled in `state`, faults included. */
  actions(state: State): Action[]
  /** Applies `action` to `state` in place; the caller passes a copy. */
  apply(state: State, action: Action): void
  invariants: Record<string, (state: State) => boolean>
}

export interface Violation {
  invariant: string
  /** Actions that lead from the initial state to the violating one. */
  trace: string[]
}

export interface Exploration {
  states: number
  /** Actions from the initial state to the farthest state. */
  depth: number
  violation?: Violation
}

interface Visited<State> {
  state: State
  depth: number
  key: string
  parent?: Visited<State>
  action?: string
}

interface Step<State> {
  type: string
  next: Visited<State>
}

/** Explores the whole state space; stops at the first violation, or past `limit` states. */
export function explore<State, Action extends { type: string }>(
  model: Model<State, Action>,
  limit = Infinity,
): Exploration {
  const visited = new Map<string, Visited<State>>()
  const initialState = model.initial()
  const initial: Visited<State> = { state: initialState, depth: 0, key: canonicalKey(initialState) }
  visited.set(initial.key, initial)
  let depth = 0
  let violation = findViolation(model, initial)

  const expand = (from: Visited<State>): Step<State>[] => {
    if (violation || visited.size > limit) return []
    const steps: Step<State>[] = []
    for (const action of model.actions(from.state)) {
      const state = copyState(from.state)
      model.apply(state, action)
      const key = canonicalKey(state)
      if (visited.has(key)) continue
      const next: Visited<State> = {
        state,
        depth: from.depth + 1,
        key,
        parent: from,
        action: formatAction(action),
      }
      visited.set(key, next)
      depth = Math.max(depth, next.depth)
      steps.push({ type: `${steps.length}`, next })
      violation ??= findViolation(model, next)
      if (violation) break
    }
    // Frees the expanded state: only its place in traces is still needed.
    from.state = undefined as State
    return steps
  }
  const logic = {
    transition: (_from: Visited<State>, step: Step<State>) => step.next,
    getInitialSnapshot: () => initial,
  }
  getAdjacencyMap(logic as never, {
    events: expand as never,
    serializeState: ((state: Visited<State>) => state.key) as never,
    serializeEvent: ((step: Step<State>) => step.type) as never,
  })
  return { states: visited.size, depth, ...(violation && { violation }) }
}

function findViolation<State, Action extends { type: string }>(
  model: Model<State, Action>,
  visited: Visited<State>,
): Violation | undefined {
  for (const [invariant, holds] of Object.entries(model.invariants)) {
    if (!holds(visited.state)) return { invariant, trace: buildTrace(visited) }
  }
  return undefined
}

function buildTrace<State>(visited: Visited<State>): string[] {
  const trace: string[] = []
  for (let at: Visited<State> | undefined = visited; at?.action; at = at.parent)
    trace.unshift(at.action)
  return trace
}

function formatAction(action: { type: string }): string {
  const { type, ...details } = action
  const text = Object.values(details).map(value =>
    typeof value === 'object' ? JSON.stringify(value) : String(value),
  )
  return [type, ...text].join(' ')
}

/** A hash of the state that ignores the order of object keys, map entries and set members. */
export function canonicalKey(state: unknown): string {
  return createHash('sha1').update(canonicalText(state)).digest('base64')
}

/** Canonical texts of frozen objects, which many states share. */
const frozenTextCache = new WeakMap<object, string>()

function canonicalText(value: unknown): string {
  if (typeof value === 'string') return `"${value}"`
  if (typeof value !== 'object' || value === null) return String(value)
  if (!Object.isFrozen(value)) return objectText(value)
  const text = frozenTextCache.get(value) ?? objectText(value)
  frozenTextCache.set(value, text)
  return text
}

function objectText(value: object): string {
  if (Array.isArray(value)) return `[${value.map(canonicalText).join()}]`
  if (value instanceof Map) return `<${[...value].map(canonicalText).sort().join()}>`
  if (value instanceof Set) return `<${[...value].map(canonicalText).sort().join()}>`
  const fields = value as Record<string, unknown>
  let text = '{'
  for (const name of Object.keys(fields).sort()) {
    if (fields[name] !== undefined) text += `${name}:${canonicalText(fields[name])},`
  }
  return `${text}}`
}

/** Copies plain data, maps and sets deeply. Frozen objects and set members are shared. */
export function copyState<T>(value: T): T {
  if (typeof value !== 'object' || value === null || Object.isFrozen(value)) return value
  if (value instanceof Map)
    return new Map([...value].map(([key, item]) => [key, copyState(item)])) as T
  if (value instanceof Set) return new Set(value) as T
  if (Array.isArray(value)) return value.map(item => copyState(item)) as T
  const copy: Record<string, unknown> = {}
  for (const name of Object.keys(value))
    copy[name] = copyState((value as Record<string, unknown>)[name])
  return copy as T
}
