import { expect } from 'chai'
import { createSeededRandom, createSystemClock, type TableService } from '@yewkeel/decisions'
import { createTableHandler, MemoryTable, serveHandler } from '@yewkeel/stand-ins'
import { createHttpTable, HttpUpstreamClient } from '@yewkeel/box'

interface Opened {
  service: TableService
  table: MemoryTable
  close(): Promise<void>
}

const clock = createSystemClock()

function createMemory(): MemoryTable {
  return new MemoryTable({
    clock,
    random: createSeededRandom(1),
    latency: 0,
    writesPerSecond: 1e6,
    readsPerSecond: 1e6,
  })
}

/** Every implementation of the table service keeps the same contract. */
const IMPLEMENTATIONS: Record<string, () => Promise<Opened>> = {
  async 'in memory'() {
    const table = createMemory()
    return { table, service: table.connect(), close: () => Promise.resolve() }
  },
  async 'over http'() {
    const table = createMemory()
    const served = await serveHandler(createTableHandler(table))
    const client = new HttpUpstreamClient()
    const close = async () => {
      await client.close()
      await served.close()
    }
    return { table, service: createHttpTable(client, served.address), close }
  },
}

for (const [name, open] of Object.entries(IMPLEMENTATIONS)) {
  describe(`the table service ${name}`, () => {
    let opened: Opened
    beforeEach(async () => {
      opened = await open()
    })
    afterEach(() => opened.close())

    const write = (key: string, value: string, version = 0) =>
      opened.service.commit({ conditions: [{ key, version }], writes: [{ key, value }] })

    it('creates a row once', async () => {
      expect(await write('a', '1')).to.equal('committed')
      expect(await write('a', '2')).to.equal('conflict')
      const answer = await opened.service.read(['a', 'absent'])
      expect(answer.outcome === 'read' && answer.rows.map(row => row.value)).to.deep.equal(['1'])
    })

    it('applies all of a transaction or none of it', async () => {
      await write('a', '1')
      const outcome = await opened.service.commit({
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
      expect(await opened.service.read(['b'])).to.deep.equal({ outcome: 'read', rows: [] })
    })

    it('changes a row only at the version that was read', async () => {
      await write('a', '1')
      const answer = await opened.service.read(['a'])
      const version = answer.outcome === 'read' ? answer.rows[0]!.version : 0
      expect(await write('a', '2', version)).to.equal('committed')
      expect(await write('a', '3', version)).to.equal('conflict')
    })

    it('lists a prefix in order, from a key on, up to a limit', async () => {
      for (const key of ['p/3', 'p/1', 'q/1', 'p/2']) await write(key, key)
      const answer = await opened.service.list('p/', { after: 'p/1', limit: 2 })
      expect(answer.outcome === 'read' && answer.rows.map(row => row.key)).to.deep.equal([
        'p/2',
        'p/3',
      ])
    })

    it('removes a row', async () => {
      await write('a', '1')
      await opened.service.commit({ conditions: [], writes: [{ key: 'a' }] })
      expect(await opened.service.read(['a'])).to.deep.equal({ outcome: 'read', rows: [] })
    })

    it('says unknown when an answer is lost after the write took effect', async () => {
      opened.table.faults.loseAnswers = 1
      expect(await write('a', '1')).to.equal('unknown')
      opened.table.faults.loseAnswers = 0
      const answer = await opened.service.read(['a'])
      expect(answer.outcome === 'read' && answer.rows).to.have.length(1)
    })

    it('says that it does not answer, and never that a write did not happen which did', async () => {
      opened.table.faults.down = true
      expect(await write('a', '1')).to.be.oneOf(['unavailable', 'unknown'])
      expect(await opened.service.read(['a'])).to.deep.equal({ outcome: 'unavailable' })
      opened.table.faults.down = false
      expect(await opened.service.read(['a'])).to.deep.equal({ outcome: 'read', rows: [] })
    })
  })
}
