import { readFileSync } from 'node:fs'
import { Result } from 'true-myth'
import { Agent, request, type Dispatcher } from 'undici'

/** How to reach the operators' entrance of a box. */
export interface ClientOptions {
  /** `host:port`, or several with commas; the first that answers is used. */
  boxes: string
  key: string
  /** File of the authority that the boxes' certificates are checked by. Plain HTTP without it. */
  authority?: string | undefined
}

export interface OperatorAnswer {
  status: number
  body: Record<string, unknown>
}

/** Asks the first box that answers. An error says why none did. */
export async function askBoxes(
  options: ClientOptions,
  method: Dispatcher.HttpMethod,
  path: string,
  body?: object,
): Promise<Result<OperatorAnswer, string>> {
  const faults: string[] = []
  for (const address of options.boxes.split(',')) {
    try {
      return Result.ok(await askBox(options, address, method, path, body))
    } catch (error) {
      faults.push(`${address}: ${(error as Error).message}`)
      // A change may have been taken although its answer was lost: it is not sent to another box by itself.
      if (method !== 'GET' && (error as { code?: string }).code !== 'ECONNREFUSED') break
    }
  }
  return Result.err(`no box answered: ${faults.join('; ')}`)
}

async function askBox(
  { key, authority }: ClientOptions,
  address: string,
  method: Dispatcher.HttpMethod,
  path: string,
  body: object | undefined,
): Promise<OperatorAnswer> {
  const dispatcher = authority && new Agent({ connect: { ca: readFileSync(authority, 'utf8') } })
  const answer = await request(`${authority ? 'https' : 'http'}://${address}${path}`, {
    method,
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
    body: body ? JSON.stringify(body) : null,
    ...(dispatcher && { dispatcher }),
  })
  return {
    status: answer.statusCode,
    body: (await answer.body.json()) as Record<string, unknown>,
  }
}
