/** The grammar of the lines of an HTTP/1.1 answer, by the state of the parser that reads them. */

/** The parser states in which a line is read. */
export type LineState =
  'RESPONSE_LINE' | 'HEADER' | 'BODY_CHUNKHEAD' | 'BODY_CHUNKEMPTYLINE' | 'BODY_CHUNKTRAILERS';

/** The patterns of a complete line and of a partially received one, both tested against untrusted input. */
interface LinePattern {
  readonly complete: RegExp;
  readonly begun: RegExp;
  readonly message: string;
}

const HEADER_LINE: LinePattern = {
  complete: /^(?:[!#$%&'*+\-.^_`|~\dA-Za-z]+:[\t\x20-\x7e\x80-\xff]*)?$/,
  begun: /^(?:[!#$%&'*+\-.^_`|~\dA-Za-z]+(?::[\t\x20-\x7e\x80-\xff]*)?)?\r?$/,
  message: 'malformed header line',
};

const PATTERNS: Readonly<Record<LineState, LinePattern>> = {
  // HTTP has no status outside 100 to 599 (RFC 9110, 15); the proxy never requests an upgrade, so 101 is invalid too.
  RESPONSE_LINE: {
    complete: /^HTTP\/1\.[01] (?!101)[1-5]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/,
    begun: /^(?:|H|HT|HTT|HTTP|HTTP\/|HTTP\/1|HTTP\/1\.[\t\x20-\x7e\x80-\xff]*\r?)$/,
    message: 'malformed status line',
  },
  HEADER: HEADER_LINE,
  BODY_CHUNKHEAD: {
    complete: /^[\da-f]{1,8}[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/i,
    begun: /^(?:[\da-f]{1,8}[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?)?\r?$/i,
    message: 'malformed chunk size',
  },
  BODY_CHUNKEMPTYLINE: {
    complete: /^$/,
    begun: /^\r?$/,
    message: 'chunk data is longer than the chunk size',
  },
  BODY_CHUNKTRAILERS: HEADER_LINE,
};

/** Returns the fault of a complete line, given without its line end, or undefined. */
export function findLineFault(state: LineState, line: string): string | undefined {
  const { complete, message } = PATTERNS[state];
  return complete.test(line) ? undefined : message;
}

/** Returns the fault of a partially received line, or undefined. */
export function findStartFault(state: LineState, start: string): string | undefined {
  const { begun, message } = PATTERNS[state];
  return begun.test(start) ? undefined : message;
}

/** Returns whether a header has a name and a value that HTTP allows. */
export function isHeader(name: string, value: string): boolean {
  return !name.includes(':') && HEADER_LINE.complete.test(`${name}:${value}`);
}
