import { createHash, randomUUID } from 'node:crypto'
import { readFileSync, writeFileSync } from 'node:fs'
import { formatIssue, parseTable, type InputIssue, type TableRow } from '@yewkeel/decisions'
import { defineCommand, runMain } from 'citty'
import { EXIT_CODES } from '../utils/exitCodes.js'
import { formatRecords } from '../utils/formatRecords.js'
import { tableFormatOf, writeTable } from '../utils/writeTable.js'
import { requestFromBoxes, type OperatorAnswer } from './operatorClient.js'

const CONNECTION = {
  boxes: {
    type: 'string',
    description: "operators' addresses of boxes, host:port with commas between (or YEWKEEL_BOXES)",
  },
  key: { type: 'string', description: "the operator's key (or YEWKEEL_KEY)" },
  authority: { type: 'string', description: 'file of the authority that checks the boxes (TLS)' },
  json: { type: 'boolean', description: 'print JSON for programs', default: false },
} as const

interface ConnectionArguments {
  boxes?: string | undefined
  key?: string | undefined
  authority?: string | undefined
  json: boolean
}

const EXIT_CODE_BY_OUTCOME: Record<string, number> = {
  accepted: EXIT_CODES.ok,
  'dry-run': EXIT_CODES.ok,
  conflict: EXIT_CODES.conflict,
  pending: EXIT_CODES.pending,
  refused: EXIT_CODES.refused,
}

function exitWith(code: number, message?: string): never {
  if (message) console.error(message)
  process.exit(code)
}

/** Sends a request to the boxes, or prints why it can't and exits. */
async function requestOrExit(
  args: ConnectionArguments,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<OperatorAnswer> {
  const boxes = args.boxes ?? process.env.YEWKEEL_BOXES
  const key = args.key ?? process.env.YEWKEEL_KEY
  if (!boxes) exitWith(EXIT_CODES.badInput, 'name a box: --boxes host:port, or set YEWKEEL_BOXES')
  if (!key) exitWith(EXIT_CODES.badInput, 'give a key: --key KEY, or set YEWKEEL_KEY')
  const answer = await requestFromBoxes(
    { boxes, key, authority: args.authority },
    method,
    path,
    body,
  )
  if (answer.isErr) exitWith(EXIT_CODES.unreachable, answer.error)
  return answer.value
}

/** Prints an answer, as JSON or by `print`, and sets the exit code by its outcome. */
function printAnswer(args: ConnectionArguments, answer: OperatorAnswer, print: () => void): void {
  if (args.json) console.log(JSON.stringify(answer.body))
  else if (answer.status < 400) print()
  else printError(answer.body)
  const outcome = answer.body.outcome
  const hasExitCode = typeof outcome === 'string' && outcome in EXIT_CODE_BY_OUTCOME
  process.exitCode = hasExitCode
    ? EXIT_CODE_BY_OUTCOME[outcome]!
    : answer.status < 400
      ? EXIT_CODES.ok
      : EXIT_CODES.refused
}

function printError(body: Record<string, unknown>): void {
  const { issues, message, outcome, overlap, revision, error } = body
  const summary = message ?? (error as { message?: string } | undefined)?.message ?? outcome
  console.error(String(summary))
  for (const issue of (issues ?? []) as InputIssue[]) console.error(formatIssue(issue))
  if (outcome === 'conflict') {
    const rows = (overlap as string[]).join(', ') || 'the table'
    console.error(
      `revision ${String(revision)} stands and has changed ${rows} since; get it again and repeat`,
    )
  }
}

function readTableFile(file: string): TableRow[] {
  let text: string
  try {
    text = readFileSync(file, 'utf8')
  } catch (error) {
    return exitWith(EXIT_CODES.badInput, `${file}: ${(error as Error).message}`)
  }
  const rows = parseTable(text, tableFormatOf(file))
  if (rows.isOk) return rows.value
  return exitWith(
    EXIT_CODES.badInput,
    rows.error.map(issue => `${file}, ${formatIssue(issue)}`).join('\n'),
  )
}

const fileArgument = {
  type: 'positional',
  description: 'table file, .yaml or .csv',
  required: true,
} as const

const get = defineCommand({
  meta: { name: 'get', description: 'print the table, or write it to a file' },
  args: { ...CONNECTION, out: { type: 'string', description: 'file to write, .yaml or .csv' } },
  async run({ args }) {
    const answer = await requestOrExit(args, 'GET', '/table')
    const { revision, rows } = answer.body as { revision: number; rows: TableRow[] }
    printAnswer(args, answer, () => {
      if (args.out) writeFileSync(args.out, writeTable(rows, tableFormatOf(args.out)))
      else console.log(formatRecords(rows))
      console.log(`revision ${revision}`)
    })
  },
})

const check = defineCommand({
  meta: { name: 'check', description: 'check a table file without sending it' },
  args: { file: fileArgument },
  run({ args }) {
    const rows = readTableFile(args.file)
    console.log(`${args.file}: ${rows.length} rows, all good`)
  },
})

/** Submits a file as the whole new table. */
async function submit(
  args: ConnectionArguments & { file: string; base?: string | undefined; id?: string | undefined },
  dryRun: boolean,
) {
  const rows = readTableFile(args.file)
  const current = await requestOrExit(args, 'GET', '/table')
  const baseRevision =
    args.base === undefined ? (current.body.revision as number) : Number(args.base)
  const changeId = args.id ?? randomUUID()
  if (!dryRun) console.error(`change ${changeId}, made against revision ${baseRevision}`)
  const answer = await requestOrExit(args, 'POST', '/table/changes', {
    changeId,
    baseRevision,
    rows,
    dryRun,
  })
  const {
    upserts = [],
    removals = [],
    outcome,
    revision,
  } = answer.body as {
    upserts?: TableRow[]
    removals?: string[]
    outcome: string
    revision: number
  }
  printAnswer(args, answer, () => {
    console.log(`rows to write:\n${formatRecords(upserts)}`)
    console.log(`rows to remove: ${removals.join(', ') || '(none)'}`)
    console.log(`${outcome}, revision ${revision}`)
  })
}

const submitArguments = {
  ...CONNECTION,
  file: fileArgument,
  base: {
    type: 'string',
    description: 'revision that the file was made against; the present one if not given',
  },
  id: { type: 'string', description: 'id of the change, to ask again after a lost answer' },
} as const

const diff = defineCommand({
  meta: { name: 'diff', description: 'show what applying a file would change' },
  args: submitArguments,
  run: ({ args }) => submit(args, true),
})

const apply = defineCommand({
  meta: { name: 'apply', description: 'make a file the whole table' },
  args: {
    ...submitArguments,
    'dry-run': { type: 'boolean', description: 'only show the change', default: false },
  },
  run: ({ args }) => submit(args, args['dry-run']),
})

const change = defineCommand({
  meta: { name: 'change', description: 'say what became of a change' },
  args: {
    ...CONNECTION,
    id: { type: 'positional', description: 'id of the change', required: true },
  },
  async run({ args }) {
    const answer = await requestOrExit(
      args,
      'GET',
      `/table/changes?changeId=${encodeURIComponent(args.id)}`,
    )
    printAnswer(args, answer, () => console.log(formatRecords([answer.body])))
  },
})

/** Defines a command that sends a GET and prints each of `tableFields` as a separate table. */
function queryCommand(
  name: string,
  description: string,
  path: string,
  tableFields: readonly string[],
) {
  return defineCommand({
    meta: { name, description },
    args: CONNECTION,
    async run({ args }) {
      const answer = await requestOrExit(args, 'GET', path)
      printAnswer(args, answer, () => printFields(answer.body, tableFields))
    },
  })
}

function printFields(body: Record<string, unknown>, tableFields: readonly string[]): void {
  const rest = Object.fromEntries(
    Object.entries(body).filter(([field]) => !tableFields.includes(field)),
  )
  if (Object.keys(rest).length > 0) console.log(formatRecords([rest]))
  for (const field of tableFields) {
    const value = body[field]
    const records = Array.isArray(value)
      ? (value as object[])
      : Object.entries((value ?? {}) as Record<string, object>).map(([key, fields]) => ({
          name: key,
          ...fields,
        }))
    console.log(`${field}\n${formatRecords(records)}`)
  }
}

const explain = defineCommand({
  meta: { name: 'explain', description: 'say where a request would go and why' },
  args: {
    ...CONNECTION,
    organisation: { type: 'string', description: 'the organisation that asks', required: true },
    kind: { type: 'string', description: 'kind of request', default: 'other' },
    model: {
      type: 'string',
      description: 'model, or auto for the cascade of the kind',
      default: 'auto',
    },
  },
  async run({ args }) {
    const { organisation, kind, model } = args
    const answer = await requestOrExit(args, 'POST', '/explain', { organisation, kind, model })
    printAnswer(args, answer, () => {
      const { stages, ...rest } = answer.body as { stages: { model: string; versions: object[] }[] }
      console.log(formatRecords([rest]))
      for (const stage of stages)
        console.log(`stage ${stage.model}\n${formatRecords(stage.versions)}`)
    })
  },
})

/** Defines a command that sets or lifts the halt of a version. */
function haltCommand(name: string, description: string, path: string) {
  return defineCommand({
    meta: { name, description },
    args: {
      ...CONNECTION,
      version: { type: 'positional', description: 'model@version', required: true },
    },
    async run({ args }) {
      const answer = await requestOrExit(args, 'POST', path, { version: args.version })
      printAnswer(args, answer, () => console.log(formatRecords([answer.body])))
    },
  })
}

function placementCommand(name: string, description: string, paused: boolean) {
  return defineCommand({
    meta: { name, description },
    args: CONNECTION,
    async run({ args }) {
      const answer = await requestOrExit(args, 'POST', '/placement', { paused })
      printAnswer(args, answer, () =>
        console.log(paused ? 'placement is paused' : 'placement goes on'),
      )
    },
  })
}

const hashKeyCommand = defineCommand({
  meta: { name: 'hash-key', description: 'print the hash of a key, for the settings' },
  args: { value: { type: 'positional', description: 'the key', required: true } },
  run({ args }) {
    console.log(createHash('sha256').update(args.value).digest('hex'))
  },
})

const main = defineCommand({
  meta: { name: 'yewkeelctl', description: "the operators' command line of yewkeel" },
  subCommands: {
    get,
    check,
    diff,
    apply,
    change,
    history: queryCommand('history', 'show the last changes', '/table/history', ['changes']),
    status: queryCommand('status', 'show the box, its peers and the upstreams', '/status', [
      'boxes',
      'upstreams',
    ]),
    rollouts: queryCommand('rollouts', 'show versions, evidence, halts and loads', '/rollouts', [
      'versions',
      'halts',
      'nextSteps',
    ]),
    spend: queryCommand('spend', 'show what organisations spent', '/spend', [
      'organisations',
      'billed',
    ]),
    explain,
    halt: haltCommand('halt', 'stop new sessions on a version', '/halts'),
    lift: haltCommand('lift', 'lift the halt of a version', '/halts/lift'),
    pause: placementCommand('pause', 'pause loading and unloading of versions', true),
    resume: placementCommand('resume', 'go on with loading and unloading', false),
    'hash-key': hashKeyCommand,
  },
})

/** Runs the `yewkeelctl` command. */
export function runYewkeelctl(): void {
  void runMain(main)
}
