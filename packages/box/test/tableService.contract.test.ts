import { expect } from 'chai'
import { createSeededRandom, createSystemClock, type TableService } from '@yewkeel/decisions'
import { createTableHandler, MemoryTable, serveHandler } from '@yewkeel/stand-ins'
import { createHttpTable, HttpUpstreamClient } from '@yewkeel/box'

interface Fixture {
  service: TableService
  table: MemoryTable
  close(): Promise<void>
}

const clock = createSystemClock()

function createMemoryTable(): MemoryTable {
  return new MemoryTable({
    clock,
    random: createSeededRandom(1),
    latency: 0,
    writesPerSecond: 1e6,
    readsPerSecond: 1e6,
  })
}

/** Every implementation of the table service passes the same tests. */
const IMPLEMENTATIONS: Record<string, () => Promise<Fixture>> = {
  async 'in memory'() {
    const table = createMemoryTable()
    return { table, service: table.connect(), close: () => Promise.resolve() }
  },
  async 'over http'() {
    const table = createMemoryTable()
    const server = await serveHandler(createTableHandler(table))
    const client = new HttpUpstreamClient()
    const close = async () => {
      await client.close()
      await server.close()
    }
    return { table, service: createHttpTable(client, server.address), close }
  },
}

for (const [name, open] of Object.entries(IMPLEMENTATIONS)) {
  describe(`the table service ${name}`, () => {
    let fixture: Fixture
    beforeEach(async () => {
      fixture = await open()
    })
    afterEach(() => fixture.close())

    const write = (key: string, value: string, version = 0) =>
      fixture.service.commit({ conditions: [{ key, version }], writes: [{ key, value }] })

    it('creates a row at version 0 and answers conflict if it exists', async () => {
      expect(await write('a', '1')).to.equal('committed')
      expect(await write('a', '2')).to.equal('conflict')
      const answer = await fixture.service.read(['a', 'absent'])
      expect(answer.outcome === 'read' && answer.rows.map(row => row.value)).to.deep.equal(['1'])
    })

    it('applies no write of a transaction when one condition fails', async () => {
      await write('a', '1')
      const outcome = await fixture.service.commit({
        conditions: [
          { key: 'a', version: 0 },
          { key: 'b', version: 0 },
        ],
        writes: [
          { key: 'a', value: '2' },
          { key: 'b', value: '2' },
        ],
      })
      expect(outcome).to.equal('conflict')
      expect(await fixture.service.read(['b'])).to.deep.equal({ outcome: 'read', rows: [] })
    })

    it('updates a row at its current version and answers conflict at a stale one', async () => {
      await write('a', '1')
      const answer = await fixture.service.read(['a'])
      const version = answer.outcome === 'read' ? answer.rows[0]!.version : 0
      expect(await write('a', '2', version)).to.equal('committed')
      expect(await write('a', '3', version)).to.equal('conflict')
    })

    it('lists the rows of a prefix in key order, after a given key, up to a limit', async () => {
      for (const key of ['p/3', 'p/1', 'q/1', 'p/2']) await write(key, key)
      const answer = await fixture.service.list('p/', { after: 'p/1', limit: 2 })
      expect(answer.outcome === 'read' && answer.rows.map(row => row.key)).to.deep.equal([
        'p/2',
        'p/3',
      ])
    })

    it('deletes a row on a write without a value', async () => {
      await write('a', '1')
      await fixture.service.commit({ conditions: [], writes: [{ key: 'a' }] })
      expect(await fixture.service.read(['a'])).to.deep.equal({ outcome: 'read', rows: [] })
    })

    it('answers unknown when a write is applied but its answer is lost', async () => {
      fixture.table.faults.loseAnswers = 1
      expect(await write('a', '1')).to.equal('unknown')
      fixture.table.faults.loseAnswers = 0
      const answer = await fixture.service.read(['a'])
      expect(answer.outcome === 'read' && answer.rows).to.have.length(1)
    })

    it('answers unavailable to reads and applies no write while the store is down', async () => {
      fixture.table.faults.down = true
      expect(await write('a', '1')).to.be.oneOf(['unavailable', 'unknown'])
      expect(await fixture.service.read(['a'])).to.deep.equal({ outcome: 'unavailable' })
      fixture.table.faults.down = false
      expect(await fixture.service.read(['a'])).to.deep.equal({ outcome: 'read', rows: [] })
    })
  })
}
