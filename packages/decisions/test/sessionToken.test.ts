import { expect } from 'chai'
import fc from 'fast-check'
import { signSession, verifySession, type Session } from '@yewkeel/decisions'

const KEY = { id: 'first', secret: 'a secret of some length' }
const NEXT_KEY = { id: 'next', secret: 'another secret of some length' }
const SESSION: Session = { id: 's', organisation: 'a', versions: { small: '1' }, revision: 3 }

describe('session tokens', () => {
  it('yield the signed session when verified', () => {
    expect(verifySession(signSession(SESSION, [KEY]), 'a', [KEY])).to.deep.include({
      value: SESSION,
    })
  })

  it('verify while their key is in the ring, and fail once it is removed', () => {
    const token = signSession(SESSION, [KEY])
    expect(verifySession(token, 'a', [NEXT_KEY, KEY]).isOk).to.equal(true)
    expect(verifySession(token, 'a', [NEXT_KEY]).isOk).to.equal(false)
  })

  it('of another organisation are rejected as foreign', () => {
    expect(verifySession(signSession(SESSION, [KEY]), 'b', [KEY])).to.deep.include({
      error: 'foreign',
    })
  })

  it('are rejected after a change of any character', () => {
    const token = signSession(SESSION, [KEY])
    fc.assert(
      fc.property(
        fc.nat(token.length - 2),
        fc.constantFrom('A', 'z', '0', '.'),
        (at, character) => {
          fc.pre(token[at] !== character)
          const changed = token.slice(0, at) + character + token.slice(at + 1)
          expect(verifySession(changed, 'a', [KEY]).isOk).to.equal(false)
        },
      ),
      { seed: 2, numRuns: 500 },
    )
  })

  it('with arbitrary content are rejected without an exception', () => {
    fc.assert(
      fc.property(fc.string(), text => verifySession(text, 'a', [KEY]).isErr),
      { seed: 3, numRuns: 500 },
    )
  })
})
