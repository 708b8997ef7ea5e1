import { expect } from 'chai'
import fc from 'fast-check'
import { formatIssue } from '@yewkeel/decisions'
import {
  formatSettingsReference,
  lastEventId,
  modelOf,
  parseCompletion,
  parseSettings,
  splitEnd,
  wholeEvents,
} from '@yewkeel/box'

const SETTINGS = `
box: box-1
dataCentre: dc-1
entry: { listen: "127.0.0.1:8080" }
operators: { listen: "127.0.0.1:8081" }
peers: { listen: "127.0.0.1:8082", secret: "a secret of some length" }
platform: { table: "127.0.0.1:2379" }
sessionKeys: [{ id: first, secret: "a secret of some length" }]
`

describe('settings', () => {
  it('are read with their defaults', () => {
    const settings = parseSettings(SETTINGS)
    expect(settings.isOk && settings.value.limits.bodyBytes).to.equal(2_000_000)
  })

  it('name the place and the nearest name of an unknown key', () => {
    const settings = parseSettings(`${SETTINGS}limits: { bodyBites: 3 }\n`)
    expect(settings.isErr && settings.error.map(formatIssue)).to.deep.equal([
      'limits.bodyBites: unknown name "bodyBites"; did you mean "bodyBytes"?',
    ])
  })

  it('name the line of a fault in the yaml', () => {
    const settings = parseSettings('box: [\n')
    expect(settings.isErr && settings.error[0]!.place).to.match(/^line \d/)
  })

  it('that are any text give settings or issues', () => {
    fc.assert(
      fc.property(fc.string(), text => parseSettings(text).isErr),
      { seed: 5, numRuns: 300 },
    )
  })

  it('all stand in the printed reference', () => {
    expect(formatSettingsReference()).to.contain('`limits.firstTokenMilliseconds`')
  })
})

describe('completion bodies', () => {
  it('with a fault name the field and the mend', () => {
    const parsed = parseCompletion('{"model":"m","messages":[{"content":"x"}]}', {})
    expect(parsed.isErr && parsed.error.message).to.equal(
      'messages[0]: give an object with a role and a content',
    )
  })

  it('that are any json give a completion or a refusal that says not-run', () => {
    const anything = fc.oneof(
      fc.json(),
      fc.string(),
      fc
        .record(
          { model: fc.anything(), messages: fc.anything(), stream: fc.anything() },
          { requiredKeys: [] },
        )
        .map(body => JSON.stringify(body)),
    )
    fc.assert(
      fc.property(anything, text => {
        const parsed = parseCompletion(text, {})
        return parsed.isOk || parsed.error.verdict === 'not-run'
      }),
      { seed: 6, numRuns: 1_000 },
    )
  })
})

async function collect(chunks: Buffer[]): Promise<Buffer[]> {
  const pieces: Buffer[] = []
  for await (const piece of wholeEvents(asIterable(chunks))) pieces.push(piece)
  return pieces
}

async function* asIterable(chunks: Buffer[]): AsyncIterable<Buffer> {
  yield* chunks
}

describe('event streams', () => {
  const stream = Buffer.from(
    [1, 2, 3]
      .map(
        id => `id: ${id}\ndata: {"model":"m@1","choices":[{"delta":{"content":"\\nid: 9"}}]}\n\n`,
      )
      .join(''),
  )

  it('come out whole, however they are cut', async () => {
    const cuts = fc.array(fc.nat(stream.length), { maxLength: 12 })
    await fc.assert(
      fc.asyncProperty(cuts, async places => {
        const sorted = [0, ...places.sort((left, right) => left - right), stream.length]
        const chunks = sorted.slice(1).map((end, index) => stream.subarray(sorted[index], end))
        const pieces = await collect(chunks)
        expect(Buffer.concat(pieces).equals(stream)).to.equal(true)
        for (const piece of pieces) expect(piece.toString().endsWith('\n\n')).to.equal(true)
        expect(lastEventId(pieces.at(-1)!)).to.equal(3)
      }),
      { seed: 7, numRuns: 300 },
    )
  })

  it('lose an event that never came whole', async () => {
    const pieces = await collect([stream.subarray(0, stream.length - 3)])
    expect(lastEventId(Buffer.concat(pieces))).to.equal(2)
  })

  it('say which model they come from', () => {
    expect(modelOf(stream)).to.equal('m@1')
    expect(modelOf('no model here')).to.equal(undefined)
  })

  it('show the end and the usage, and keep an unasked usage event back', () => {
    const usage = 'data: {"choices":[],"usage":{"prompt_tokens":4,"completion_tokens":3}}\n\n'
    const piece = Buffer.from(`${stream.toString()}${usage}data: [DONE]\n\n`)
    const end = splitEnd(piece, false)!
    expect(end.usage).to.deep.equal({ promptTokens: 4, completionTokens: 3 })
    expect(end.before.equals(stream)).to.equal(true)
    expect(splitEnd(piece, true)!.before.toString()).to.contain('usage')
    expect(end.end.toString()).to.equal('data: [DONE]\n\n')
  })
})
