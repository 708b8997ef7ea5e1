import { expect } from 'chai'
import { shareByRelay, shareDirectly } from '../src/tasks/sharingPlan.js'
import type { KnownBox } from '../src/tasks/knownBoxes.js'

const entryOf = (box: string, dataCentre: string) => ({
  box,
  dataCentre,
  entryAddress: `${box}:1`,
  peerAddress: `${box}:2`,
})

const serving = (box: string, dataCentre: string): KnownBox => ({
  entry: entryOf(box, dataCentre),
  run: 1,
  state: 'serving',
  sequence: 1,
  isStoreLost: false,
  headroom: 5,
  paths: undefined,
  ends: undefined,
  answers: [],
  lastReportAt: 0,
})

const namesOf = (boxes: readonly { box: string }[]) => boxes.map(({ box }) => box)

/** Three boxes in each of two data centres. */
const FLEET = ['a-1', 'a-2', 'a-3', 'b-1', 'b-2', 'b-3'].map(box => serving(box, box[0]!))

/** The plan of one of them. */
function planOf(box: string, isServing = true) {
  const others = FLEET.filter(({ entry }) => entry.box !== box)
  return shareByRelay(entryOf(box, box[0]!), isServing, others)
}

describe('the plan of who receives load reports', () => {
  it('has one relay in each data centre, which the other boxes there report to', () => {
    for (const dataCentre of ['a', 'b']) {
      const names = [1, 2, 3].map(number => `${dataCentre}-${number}`)
      const [relay, ...others] = names.filter(box => planOf(box).role === 'relay')
      expect(others).to.deep.equal([])
      const { recipients, members, memberCount } = planOf(relay!)
      expect(namesOf(recipients)).to.have.members(names.filter(box => box !== relay))
      expect(namesOf(members)).to.have.members(names.filter(box => box !== relay))
      expect(memberCount).to.equal(2)
      for (const box of names.filter(each => each !== relay))
        expect(namesOf(planOf(box).recipients)).to.deep.equal([relay])
    }
  })

  it('names relays the relays of the other data centres, and members none', () => {
    const plans = FLEET.map(({ entry }) => ({ ...planOf(entry.box), box: entry.box }))
    const relays = plans.filter(({ role }) => role === 'relay')
    for (const { box, otherRelays, otherDataCentreCount } of relays) {
      expect(otherDataCentreCount).to.equal(1)
      expect(namesOf(otherRelays)).to.deep.equal(namesOf(relays).filter(other => other !== box))
    }
    for (const { role, otherRelays } of plans)
      if (role === 'member') expect(otherRelays).to.deep.equal([])
  })

  it('makes no relay of a box that does not serve', () => {
    for (const { entry } of FLEET) expect(planOf(entry.box, false).role).to.equal('member')
  })

  it('needs no relay in a full mesh', () => {
    const { role, recipients, members } = shareDirectly([entryOf('a-2', 'a')])
    expect(role).to.equal('direct')
    expect(namesOf(recipients)).to.deep.equal(['a-2'])
    expect(members).to.deep.equal([])
  })
})
