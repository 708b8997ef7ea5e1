import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { defineCommand, runMain } from 'citty'
import { parseKnownRed } from '../knownRed.js'
import { parseSeedRange } from '../parseSeedRange.js'
import type { StreamEnding } from '../checks/streamEnding.js'
import { runSeed, type SeedOptions, type SeedResult } from '../runSeed.js'

const BOX_PROGRAM = fileURLToPath(
  new URL('../../../../../platform/bundle/start.cjs', import.meta.url),
)
const REGRESSIONS_FILE = fileURLToPath(new URL('../../../regressions.json', import.meta.url))

const KNOWN_RED_FILE = fileURLToPath(new URL('../../../../../KNOWN-RED.txt', import.meta.url))

/** A seed that once failed, and why. */
interface Regression {
  seed: number
  seconds: number
  boxes: number
  cause: string
}

const command = defineCommand({
  meta: {
    name: 'soak',
    description: 'Runs real boxes under random faults and checks the promises',
  },
  args: {
    seeds: { type: 'string', default: '1-4', description: 'FROM-TO' },
    seconds: {
      type: 'string',
      default: '8',
      description: 'how long faults are injected for a seed',
    },
    boxes: { type: 'string', default: '4' },
    callers: { type: 'string', default: '12' },
    parallel: { type: 'string', default: '2', description: 'seeds at the same time' },
    regressions: {
      type: 'boolean',
      description: 'the seeds that failed once, in place of --seeds',
    },
    json: { type: 'boolean', description: 'the last line is a JSON object' },
  },
  async run({ args }) {
    const known = args.regressions ? readKnownRed() : new Map<number, string>()
    const results = await runAll(resolveRuns(args), Number(args.parallel), known)
    const summary = summarise(results)
    console.log(args.json ? JSON.stringify(summary) : summary)
    process.exit(summary.violations > 0 ? 1 : 0)
  },
})

interface SoakArguments {
  seeds: string
  seconds: string
  boxes: string
  callers: string
  regressions?: boolean | undefined
}

/** The options of each seed to run. */
function resolveRuns({
  seeds,
  seconds,
  boxes,
  callers,
  regressions,
}: SoakArguments): SeedOptions[] {
  const common = {
    seconds: Number(seconds),
    boxes: Number(boxes),
    callers: Number(callers),
    program: BOX_PROGRAM,
  }
  if (!regressions) return parseSeedRange(seeds).map(seed => ({ ...common, seed }))
  const known = JSON.parse(readFileSync(REGRESSIONS_FILE, 'utf8')) as Regression[]
  return known.map(regression => ({
    ...common,
    seed: regression.seed,
    seconds: regression.seconds,
    boxes: regression.boxes,
  }))
}

/** Runs the seeds, `parallel` at a time, and prints each result. */
async function runAll(
  runs: SeedOptions[],
  parallel: number,
  known: ReadonlyMap<number, string>,
): Promise<SeedResult[]> {
  const results: SeedResult[] = []
  const worker = async () => {
    for (let options = runs.shift(); options; options = runs.shift()) {
      const result = await runSeed(options)
      report(result)
      results.push(passOverKnown(result, known))
    }
  }
  await Promise.all(Array.from({ length: parallel }, worker))
  return results
}

/** Leaves out the violations of a seed that is known to fail, and prints the line that says so. */
function passOverKnown(result: SeedResult, known: ReadonlyMap<number, string>): SeedResult {
  const line = known.get(result.seed)
  if (line === undefined || result.violations.length === 0) return result
  console.log(`known red, passed over: ${line}`)
  return { ...result, violations: [] }
}

function readKnownRed(): Map<number, string> {
  return parseKnownRed(existsSync(KNOWN_RED_FILE) ? readFileSync(KNOWN_RED_FILE, 'utf8') : '')
}

function summarise(results: readonly SeedResult[]) {
  const sum = (of: (result: SeedResult) => number) =>
    results.reduce((total, result) => total + of(result), 0)
  const failed = results.filter(({ violations }) => violations.length > 0)
  return {
    seeds: results.length,
    requests: sum(({ requests }) => requests),
    served: sum(({ served }) => served),
    faults: sum(({ faults }) => faults),
    killed: sum(({ killed }) => killed),
    streams: streamCounts(results),
    judgedPhases: sum(({ judgedPhases }) => judgedPhases),
    violations: sum(({ violations }) => violations.length),
    failedSeeds: failed.map(({ seed }) => seed).sort((left, right) => left - right),
  }
}

/** How many streams ended in which way. */
function streamCounts(results: readonly SeedResult[]): Partial<Record<StreamEnding, number>> {
  const counts: Partial<Record<StreamEnding, number>> = {}
  for (const { ending } of results.flatMap(({ streams }) => streams))
    counts[ending] = (counts[ending] ?? 0) + 1
  return counts
}

function report({
  seed,
  requests,
  served,
  faults,
  killed,
  judgedPhases,
  violations,
  outputs,
}: SeedResult): void {
  console.log(
    `seed ${seed}: ${requests} requests, ${served} served, ${faults} faults, ${killed} killed, ${judgedPhases} phases judged`,
  )
  for (const { guarantee, detail } of violations) console.log(`  ${guarantee}: ${detail}`)
  if (violations.length === 0) return
  const file = join(tmpdir(), `yewkeel-soak-${seed}.log`)
  writeFileSync(file, Object.values(outputs).join('\n'))
  console.log(`  what the boxes wrote: ${file}`)
}

void runMain(command)
