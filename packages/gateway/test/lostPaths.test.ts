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

const startDesk = (id: string) =>
  startUpstream(id, (request, response) => {
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
    for (const mode of ['silent', 'refused'] satisfies CutMode[]) {
      lost!.cut = undefined
      await callInTurn(world.boxes, CONTACT_TIME)
      lost!.cut = mode
      await callInTurn(world.boxes, CONTACT_TIME)
      const [atLost, ...atOthers] = await callInTurn(world.boxes, 2_000)
      expect(servedShare(atOthers.flat()), mode).to.equal(1)
      expect(servedShare(atLost!), mode).to.equal(1)
      expect(others[0]!.gateway.addresses('ebene', 'caller'), mode).not.to.include(
        lost!.identity.entryAddress,
      )
    }
  })
})
