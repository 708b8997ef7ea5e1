import { expect } from 'chai'
import fc from 'fast-check'
import { formatIssue, parseTable, resolveRights, createTable } from '@yewkeel/decisions'

function issuesOf(text: string, format: 'yaml' | 'csv' = 'yaml'): string[] {
  const parsed = parseTable(text, format)
  return parsed.isErr ? parsed.error.map(formatIssue) : []
}

describe('parseTable', () => {
  it('names the line and the nearest known name of a mistyped column', () => {
    const text = 'rows:\n  - row: version\n    model: small\n    version: "1"\n    wieght: 3\n'
    expect(issuesOf(text)).to.deep.equal([
      'line 2, wieght: unknown name "wieght"; did you mean "weight"?',
    ])
  })

  it('names the nearest known kind of a mistyped row', () => {
    expect(issuesOf('rows:\n  - row: verzion\n')).to.deep.equal([
      'line 2: row: unknown name "verzion"; did you mean "version"?',
    ])
  })

  it('rejects two rows with the same key and names both lines', () => {
    const row = '  - {row: service, organisation: a, service: booking}\n'
    expect(issuesOf(`rows:\n${row}${row}`)).to.deep.equal([
      'line 3: the row service/a/booking stands on line 2 already; remove one',
    ])
  })

  it('parses the same rows from CSV as from YAML', () => {
    const csv = 'row,organisation,model,version,weight,state\nversion,*,small,1,5,active\n'
    const yaml = 'rows:\n  - {row: version, model: small, version: "1", weight: 5}\n'
    expect(parseTable(csv, 'csv')).to.deep.equal(parseTable(yaml, 'yaml'))
  })

  it('names the line of an invalid number in CSV', () => {
    const csv = 'row,model,version,weight\nversion,small,1,much\n'
    expect(issuesOf(csv, 'csv')[0]).to.match(/^line 2, weight: /)
  })

  it('returns rows or issues for any text and never throws', () => {
    fc.assert(
      fc.property(fc.string(), fc.constantFrom('yaml', 'csv'), (text, format) => {
        const parsed = parseTable(text, format as 'yaml' | 'csv')
        expect(parsed.isOk || parsed.error.length > 0).to.equal(true)
      }),
      { seed: 1, numRuns: 500 },
    )
  })
})

describe('resolveRights', () => {
  const version = (organisation: string, state: 'active' | 'withdrawn') =>
    ({ row: 'version', organisation, model: 'm', version: '1', weight: 1, state }) as const

  it("lets a withdrawal for every organisation override an organisation's own row", () => {
    const rights = resolveRights(
      createTable(1, [version('*', 'withdrawn'), version('a', 'active')]),
    )
    expect(rights.rightOf('a', { model: 'm', version: '1' })).to.equal('withdrawn')
  })

  it('denies versions and services that no row allows', () => {
    const rights = resolveRights(createTable(1, [version('a', 'active')]))
    expect(rights.rightOf('b', { model: 'm', version: '1' })).to.equal('not-allowed')
    expect(rights.allowsService('a', 'booking')).to.equal(false)
  })
})
