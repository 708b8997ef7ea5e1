import { expect } from 'chai'
import { createClaimModel, type ClaimMutation } from '../src/models/claimModel.js'
import { createDrainModel, type DrainMutation } from '../src/models/drainModel.js'
import { explore } from '../src/models/explore.js'

describe('explore', () => {
  const counting = (limit: number) => ({
    name: 'counting',
    scope: 'a test',
    initial: () => ({ count: 0, seen: new Set<number>() }),
    actions: (state: { count: number }) =>
      state.count < 5 ? [{ type: 'one' }, { type: 'two' }] : [],
    apply(state: { count: number; seen: Set<number> }, action: { type: string }) {
      state.count += action.type === 'one' ? 1 : 2
    },
    invariants: { 'stays small': (state: { count: number }) => state.count < limit },
  })

  it('returns the shortest trace to a violated invariant', () => {
    expect(explore(counting(4)).violation).to.deep.equal({
      invariant: 'stays small',
      trace: ['two', 'two'],
    })
  })

  it('counts each reachable state once', () => {
    expect(explore(counting(100))).to.deep.equal({ states: 7, depth: 3 })
  })
})

describe('the protocol models', () => {
  it('satisfy every invariant of the claim and drain protocols', () => {
    expect(explore(createClaimModel()).violation).to.equal(undefined)
    expect(explore(createDrainModel()).violation).to.equal(undefined)
  })

  const claimMutations: ClaimMutation[] = [
    'send before the claim is known',
    'overwrite a claim that stands',
    'say not-run after sending',
    'take over a claim that may have run',
    'say not-run without knowing the claim',
  ]
  for (const mutation of claimMutations) {
    it(`violate an invariant of the claim protocol with the mutation "${mutation}"`, () => {
      expect(explore(createClaimModel(mutation)).violation).not.to.equal(undefined)
    })
  }

  const drainMutations: DrainMutation[] = [
    'refuse at once',
    'stop with requests in flight',
    'stop with unwritten bills',
  ]
  for (const mutation of drainMutations) {
    it(`violate an invariant of the drain protocol with the mutation "${mutation}"`, () => {
      expect(explore(createDrainModel(mutation)).violation).not.to.equal(undefined)
    })
  }
})
