/** Which lines may stand in an answer, by the state of the parser that reads them. */

/** The states in which the parser reads a line. */
export type LineState =
  'RESPONSE_LINE' | 'HEADER' | 'BODY_CHUNKHEAD' | 'BODY_CHUNKEMPTYLINE' | 'BODY_CHUNKTRAILERS';

/** How a line must look, and how the beginning of one that has not come in full. */
interface LineShape {
  readonly whole: RegExp;
  readonly begun: RegExp;
  readonly message: string;
}

const FIELD: LineShape = {
  whole: /^(?:[!#$%&'*+\-.^_`|~\dA-Za-z]+:[\t\x20-\x7e\x80-\xff]*)?$/,
  begun: /^(?:[!#$%&'*+\-.^_`|~\dA-Za-z]+(?::[\t\x20-\x7e\x80-\xff]*)?)?\r?$/,
  message: 'a line of the head is no header',
};

const SHAPES: Readonly<Record<LineState, LineShape>> = {
  // Nothing here asks for another protocol, so 101 is no answer.
  RESPONSE_LINE: {
    whole: /^HTTP\/1\.[01] (?!101)[1-9]\d\d(?: [\t\x20-\x7e\x80-\xff]*)?$/,
    begun: /^(?:|H|HT|HTT|HTTP|HTTP\/|HTTP\/1|HTTP\/1\.[\t\x20-\x7e\x80-\xff]*\r?)$/,
    message: 'the first line is no status line',
  },
  HEADER: FIELD,
  BODY_CHUNKHEAD: {
    whole: /^[\da-f]{1,8}[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?$/i,
    begun: /^(?:[\da-f]{1,8}[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?)?\r?$/i,
    message: 'the size of a chunk is no number',
  },
  BODY_CHUNKEMPTYLINE: {
    whole: /^$/,
    begun: /^\r?$/,
    message: 'a chunk is longer than its size',
  },
  BODY_CHUNKTRAILERS: FIELD,
};

/** Returns what is wrong with a line, given without its end. */
export function findLineFault(state: LineState, line: string): string | undefined {
  const { whole, message } = SHAPES[state];
  return whole.test(line) ? undefined : message;
}

/** Returns what is wrong with a line of which only the beginning has come. */
export function findStartFault(state: LineState, start: string): string | undefined {
  const { begun, message } = SHAPES[state];
  return begun.test(start) ? undefined : message;
}
