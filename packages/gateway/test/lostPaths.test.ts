import { expect } from 'chai'
import { request as httpRequest } from 'node:http'
import { startTestBoxes, type CutMode, type TestBox, type TestBoxes } from './testBoxes.js'
import { createTestRoute, startUpstream, type StandInUpstream } from './testGateway.js'

interface CallerAnswer {
  status: number | undefined
  body: string
}

let nextId = 0

/** Sends a call to a box; status undefined if the connection ends without an answer. */
function call({ entry }: TestBox, path = '/desk/', id = `call-${nextId++}`): Promise<CallerAnswer> {
  const [host, port] = entry.address.split(':')
  return new Promise(resolve => {
    const sent = httpRequest(
      { host, port, path, method: 'POST', agent: false, headers: { id, 'time-left': '1500' } },
      response => {
        let body = ''
        response.on('data', chunk => (body += String(chunk)))
        response.on('end', () => resolve({ status: response.statusCode, body }))
        response.on('error', () => resolve({ status: undefined, body }))
      },
    )
    sent.on('error', () => resolve({ status: undefined, body: '' }))
    sent.end('text')
  })
}

/** Upstreams answer no call to this path. */
const HELD_PATH = '/desk/held'

const startDesk = (id: string) =>
  startUpstream(id, (request, response) => {
    if (request.url === HELD_PATH) return
    response.setHeader('id', String(request.headers['id']))
    response.setHeader('signed', id)
    response.end(`answer of ${id}`)
  })

const CONTACT_TIME = 3_000
const CALL_INTERVAL = 50

describe('boxes before the same upstreams, one of which loses its paths', () => {
  let upstreams: StandInUpstream[]
  let world: TestBoxes

  beforeEach(async () => {
    upstreams = await Promise.all(['i-1', 'i-2', 'i-3', 'i-4'].map(startDesk))
    world = await startTestBoxes(3, upstreams, {
      routes: [
        createTestRoute({}),
        createTestRoute({ name: 'once', prefix: '/once/', kind: 'unsafe', maxAttempts: 1 }),
      ],
    })
  })

  afterEach(() => world.close())

  /** Calls boxes in turn for a while; returns the answers of each. */
  async function callInTurn(boxes: readonly TestBox[], duration: number, path?: string) {
    const answers = boxes.map((): Promise<CallerAnswer>[] => [])
    for (let passed = 0; passed < duration; passed += CALL_INTERVAL) {
      boxes.forEach((box, index) => answers[index]!.push(call(box, path)))
      await world.advance(CALL_INTERVAL)
    }
    const all = Promise.all(answers.map(list => Promise.all(list)))
    await world.advance(2_000)
    return all
  }

  const servedShare = (answers: readonly CallerAnswer[]) =>
    answers.filter(({ status }) => status === 200).length / answers.length

  it('serve the callers of that box as well as the others from 3 s after a cut that is silent or refuses', async () => {
    const [lost, ...others] = world.boxes
    for (const mode of ['silent', 'refused', 'reset'] satisfies CutMode[]) {
      lost!.setCut(undefined)
      await callInTurn(world.boxes, CONTACT_TIME)
      lost!.setCut(mode)
      await callInTurn(world.boxes, CONTACT_TIME)
      const [atLost, ...atOthers] = await callInTurn(world.boxes, 2_000)
      expect(servedShare(atOthers.flat()), mode).to.equal(1)
      expect(servedShare(atLost!), mode).to.equal(1)
      expect(others[0]!.gateway.addresses('ebene', 'caller'), mode).not.to.include(
        lost!.identity.entryAddress,
      )
    }
  })

  it('list that box for callers again within 2 s after the paths are back', async () => {
    const [lost, other] = world.boxes
    lost!.setCut('refused')
    await callInTurn(world.boxes, CONTACT_TIME)
    expect(world.events.map(({ name }) => name)).to.include('path-lost')
    lost!.setCut(undefined)
    await callInTurn(world.boxes, 2_000)
    expect(other!.gateway.addresses('ebene', 'caller')).to.include(lost!.identity.entryAddress)
    const [atLost] = await callInTurn(world.boxes, 1_000)
    expect(servedShare(atLost!)).to.equal(1)
    expect(world.requestLog.at(-3)!.outcome).to.equal('delivered')
  })

  it('go on to list all boxes when the upstreams are down for all of them', async () => {
    for (const upstream of upstreams) upstream.close()
    for (const box of world.boxes) box.setCut('refused')
    const answers = await callInTurn(world.boxes, CONTACT_TIME)
    expect(servedShare(answers.flat())).to.equal(0)
    for (const { gateway } of world.boxes)
      expect(gateway.addresses('ebene', 'caller')).to.have.length(world.boxes.length)
  })

  it('serve all callers by way of the one box that has a path', async () => {
    const [first, second] = world.boxes
    await callInTurn(world.boxes, 1_000)
    first!.setCut('reset')
    second!.setCut('silent')
    await callInTurn(world.boxes, CONTACT_TIME)
    const answers = await callInTurn(world.boxes, 1_000)
    expect(servedShare(answers.flat())).to.equal(1)
  })

  it('run a call that may not be repeated once, whatever box its caller asks', async () => {
    const [lost] = world.boxes
    await callInTurn(world.boxes, 1_000, '/once/')
    lost!.setCut('refused')
    await callInTurn(world.boxes, CONTACT_TIME, '/once/')
    const ids = Array.from({ length: 20 }, (_, index) => `once-${index}`)
    const answers = ids.map(id => call(lost!, '/once/', id))
    await world.advance(1_000)
    expect(servedShare(await Promise.all(answers))).to.equal(1)
    const runs = upstreams.flatMap(({ requests }) => requests.map(({ headers }) => headers['id']))
    for (const id of ids)
      expect(
        runs.filter(run => run === id),
        id,
      ).to.have.length(1)
  })

  it('pass a request on once at most', async () => {
    const [first, second, third] = world.boxes
    await callInTurn(world.boxes, 1_000)
    for (const box of [first!, second!]) box.setCut('refused')
    await callInTurn(world.boxes, CONTACT_TIME)
    third!.setCut('refused')
    const before = world.requestLog.length
    const answer = call(first!)
    await world.advance(2_000)
    expect((await answer).status).to.equal(503)
    expect(world.requestLog.length - before).to.be.at.most(2)
  })

  it('hold no crash against the requests that were at upstreams when that box lost its paths', async () => {
    const [lost] = world.boxes
    await callInTurn(world.boxes, 1_000)
    const answers = Array.from({ length: 8 }, () => call(lost!, HELD_PATH))
    await world.advance(100)
    lost!.setCut('reset')
    await world.advance(2_000)
    await Promise.all(answers)
    const events = world.events.filter(({ name }) => name === 'upstream-crashed')
    expect(events).to.eql([])
  })
})
