import { expect } from 'chai'
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ManualClock } from '@yewkeel/decisions'
import { createLineWriter, type LineWriter } from '../src/index.js'

describe('createLineWriter', () => {
  const folder = mkdtempSync(join(tmpdir(), 'yewkeel-lines-'))
  const file = join(folder, 'lines')
  const descriptor = openSync(file, 'w')
  const flush = (writer: LineWriter) => new Promise<void>(resolve => writer.flush(resolve))
  after(() => {
    closeSync(descriptor)
    rmSync(folder, { recursive: true })
  })

  it('writes the lines of 50 ms together, in order', async () => {
    const clock = new ManualClock()
    const writer = createLineWriter(descriptor, clock)
    writer.write('one\n')
    await clock.advance(49)
    writer.write('two\n')
    expect(readFileSync(file, 'utf8')).to.equal('')
    await clock.advance(1)
    await flush(writer)
    expect(readFileSync(file, 'utf8')).to.equal('one\ntwo\n')
  })

  it('writes all lines on a flush, including those added before it completes', async () => {
    const writer = createLineWriter(descriptor, new ManualClock())
    writer.write('three\n')
    const flushed = flush(writer)
    writer.write('four\n')
    await flushed
    expect(readFileSync(file, 'utf8')).to.equal('one\ntwo\nthree\nfour\n')
  })

  it('drops and counts lines beyond a backlog of 256 KiB', () => {
    const writer = createLineWriter(descriptor, new ManualClock())
    for (let line = 0; line < 300; line++) writer.write('x'.repeat(1_024))
    expect(writer.takeDropped()).to.equal(44)
    expect(writer.takeDropped()).to.equal(0)
  })
})
