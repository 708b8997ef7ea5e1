import { readFileSync } from 'node:fs'
import { Result } from 'true-myth'
import { Agent, request, type Dispatcher } from 'undici'

/** Connection to the operator API of the boxes. */
export interface ClientOptions {
  /** Comma-separated `host:port` list, tried in order until one answers. */
  boxes: string
  /** The operator's bearer token. */
  key: string
  /** PEM file of the certificate authority of the boxes. Plain HTTP without it. */
  authority?: string | undefined
}

export interface OperatorAnswer {
  status: number
  body: Record<string, unknown>
}

/** Returns the answer of the first box that answers, or the failure of each box that was tried. */
export async function requestFromBoxes(
  options: ClientOptions,
  method: Dispatcher.HttpMethod,
  path: string,
  body?: object,
): Promise<Result<OperatorAnswer, string>> {
  const failures: string[] = []
  for (const address of options.boxes.split(',')) {
    try {
      return Result.ok(await requestFromBox(options, address, method, path, body))
    } catch (error) {
      failures.push(`${address}: ${(error as Error).message}`)
      // The box may have applied the change and failed to answer: don't send it to another box.
      if (method !== 'GET' && (error as { code?: string }).code !== 'ECONNREFUSED') break
    }
  }
  return Result.err(`no box answered: ${failures.join('; ')}`)
}

async function requestFromBox(
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
