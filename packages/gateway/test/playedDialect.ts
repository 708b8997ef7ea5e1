import type { Dialect, RawHeaders, RequestFields } from '../src/index.js'

/** A header by its plain name. */
export function headerOf(headers: RawHeaders, name: string): string | undefined {
  const at = headers.findIndex((text, index) => index % 2 === 0 && text === name)
  return at === -1 ? undefined : headers[at + 1]
}

const numberOf = (headers: RawHeaders, name: string) => {
  const text = headerOf(headers, name)
  return text === undefined ? undefined : Number(text)
}

/** The wire of a played world: names are plain, and every answer is whole and signed. */
export function createPlayedDialect(
  readFields: (
    get: (name: string) => string | undefined,
  ) => Omit<RequestFields, 'id' | 'promptParts' | 'promptTokens'>,
): Dialect {
  return {
    readRequest: headers => ({
      id: headerOf(headers, 'id')!,
      promptTokens: 700,
      promptParts: [],
      ...readFields(name => headerOf(headers, name)),
    }),
    writeRequest: headers => [...headers],
    readAnswer(headers) {
      const limit = numberOf(headers, 'limit')
      const retryAfter = numberOf(headers, 'retry-after')
      return {
        isSigned: true,
        isNotRun: headerOf(headers, 'not-run') !== undefined,
        isFramed: true,
        isEncoded: false,
        ...(limit !== undefined && { limit }),
        ...(retryAfter !== undefined && { retryAfter }),
        ...(headerOf(headers, 'leaving') !== undefined && { isLeaving: true }),
      }
    },
    writeAnswer: () => [],
    writeRefusal: (_id, retryAfter) =>
      retryAfter === undefined ? [] : ['retry-after', String(retryAfter / 1_000)],
  }
}
