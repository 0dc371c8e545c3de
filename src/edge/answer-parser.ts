/** Reads the answers that come on one connection, and believes nothing that is not well formed. */
import type { IncomingHttpHeaders } from 'node:http';
import { HTTPParser } from 'http-parser-js';
import type { Fault } from '../errors.js';
import { FaultError } from '../errors.js';
import type { Address } from '../ids.js';
import type { LineState } from './answer-lines.js';
import { findLineFault, findStartFault } from './answer-lines.js';
import type { AnswerReader } from './answer-handler.js';

/** Bytes that are no answer. */
export type AnswerFault = Fault<'malformed-answer', 'read-answer'>;

/** The parts of the parser that its own types hide. */
interface LineParser {
  state: string;
  chunk: Buffer;
  offset: number;
  end: number;
  /** The beginning of a line that has not come in full. */
  line: string;
  info: ParsedHead;
  initialize(type: 'RESPONSE'): void;
  execute(chunk: Buffer): number | Error;
  finish(): Error | undefined;
  /** The bytes of the body that are to come. */
  body_bytes: number | null;
  nextRequest(): void;
  consumeLine(): string | undefined;
  HEADER(): void;
  parseHeader(line: string, headers: string[]): void;
}

/** A head as the parser hands it on. */
interface ParsedHead {
  readonly headers: string[];
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly versionMinor: number;
}

const BaseParser = HTTPParser as unknown as new (type: 'RESPONSE') => LineParser;

/**
 * Checks each line before the parser below sees it: that one takes sizes that are no numbers, bare line feeds,
 * folded lines and a length beside chunks.
 *
 * @example
 * parser.start(reader, 'GET');
 * socket.on('data', (chunk) => parser.read(chunk));
 */
export class AnswerParser extends BaseParser {
  readonly #peer: Address;
  #reader: AnswerReader | undefined;
  #method = '';
  #headers: IncomingHttpHeaders = {};
  #lineBytes = 0;
  #isFinal = false;
  #isComplete = false;
  #isKept = false;
  #isHeld = false;
  #rest: Buffer | undefined;

  constructor(peer: Address) {
    super(HTTPParser.RESPONSE);
    this.#peer = peer;
  }

  /** Whether what comes is held. */
  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Whether the answer is complete and may be passed on as such. */
  get isComplete(): boolean {
    return this.#isComplete && !this.#isHeld;
  }

  /** Whether the connection may carry another request after the complete answer. */
  get isKept(): boolean {
    return this.#isKept && this.#rest === undefined;
  }

  /** How long the peer keeps an idle connection, in seconds, where the last head said so. */
  get keepAliveSeconds(): number | undefined {
    const [, seconds] =
      KEEP_ALIVE_TIMEOUT.exec(this.#headers['keep-alive']?.toString() ?? '') ?? [];
    return seconds === undefined ? undefined : Number(seconds);
  }

  /** Waits for the answer to a request of this method. */
  start(reader: AnswerReader, method: string): void {
    this.initialize(HTTPParser.RESPONSE);
    this.#reader = reader;
    this.#method = method;
    this.#headers = {};
    this.#lineBytes = 0;
    this.#isFinal = false;
    this.#isComplete = false;
    this.#isHeld = false;
    this.#rest = undefined;
  }

  /**
   * Takes the bytes that came next; what is kept of them is copied.
   *
   * @throws when they are no answer.
   */
  read(chunk: Buffer): void {
    if (this.#isHeld) {
      this.#rest = Buffer.concat(this.#rest === undefined ? [chunk] : [this.#rest, chunk]);
      return;
    }
    const result = this.execute(chunk);
    if (result instanceof Error) throw result;
  }

  /** Takes the end of the connection, which completes an answer that has no other end. */
  readEnd(): void {
    this.finish();
  }

  /** Passes nothing more on until {@link AnswerParser.release}. */
  hold(): void {
    this.#isHeld = true;
  }

  /**
   * Passes on what was held.
   *
   * @throws when it is no answer.
   */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    const rest = this.#rest;
    if (rest === undefined || this.#isComplete) return;
    this.#rest = undefined;
    this.read(rest);
  }

  /** Passes nothing on any more. */
  stop(): void {
    this.#reader = undefined;
  }

  override consumeLine(): string | undefined {
    const { chunk, offset, end, state } = this;
    const lineFeed = chunk.indexOf(LINE_FEED, offset);
    const next = lineFeed < 0 ? end : lineFeed + 1;
    this.#lineBytes += next - offset;
    if (this.#lineBytes > MAX_LINE_BYTES)
      this.#fail(`a head is longer than ${MAX_LINE_BYTES} bytes`);
    const text = this.line + chunk.toString('latin1', offset, next);
    this.offset = next;
    this.line = lineFeed < 0 ? text : '';
    const line = lineFeed < 0 ? undefined : text.slice(0, -LINE_END.length);
    const fault =
      line === undefined
        ? findStartFault(state as LineState, text)
        : text.endsWith(LINE_END)
          ? findLineFault(state as LineState, line)
          : 'a line ends without a carriage return';
    if (fault !== undefined) this.#fail(fault);
    return line;
  }

  /** Frames the body by the headers that were checked, without reading all of them once more. */
  override HEADER(): void {
    const line = this.consumeLine();
    if (line === undefined) return;
    if (line !== '') {
      this.parseHeader(line, this.info.headers);
      return;
    }
    const { 'content-length': length, 'transfer-encoding': encoding } = this.#headers;
    const bytes = length === undefined ? undefined : Number(length);
    const isEmpty = this.#isBodiless() || bytes === 0;
    this.#isKept = this.#keepsAlive() && (isEmpty || (length ?? encoding) !== undefined);
    this.#passHead();
    if (isEmpty) {
      this.nextRequest();
    } else if (bytes !== undefined) {
      this.body_bytes = bytes;
      this.state = 'BODY_SIZED';
    } else {
      this.state = encoding === undefined ? 'BODY_RAW' : 'BODY_CHUNKHEAD';
    }
  }

  override parseHeader(line: string, headers: string[]): void {
    super.parseHeader(line, headers);
    if (headers !== this.info.headers) return;
    const name = headers.at(-2)?.toLowerCase() ?? '';
    const value = headers.at(-1) ?? '';
    const known = this.#headers[name];
    if (Array.isArray(known)) known.push(value);
    else this.#headers[name] = known === undefined ? value : [known, value];
    if (name === 'content-length') this.#checkLength(value, known);
    if (name === 'transfer-encoding') this.#checkEncoding(value, known);
  }

  protected [HTTPParser.kOnBody](bytes: Buffer): void {
    this.#lineBytes = 0;
    this.#reader?.handleBody(Buffer.from(bytes));
    if (!this.#isHeld) return;
    this.#holdFrom(this.offset + bytes.length);
    // The caller counts these bytes when this returns.
    this.offset -= bytes.length;
  }

  protected [HTTPParser.kOnMessageComplete](): void {
    if (!this.#isFinal) return;
    this.#isComplete = true;
    if (this.offset < this.end) this.#holdFrom(this.offset);
  }

  // Internals.

  #isBodiless(): boolean {
    const { statusCode } = this.info;
    if (statusCode < FIRST_FINAL_STATUS || this.#method === 'HEAD') return true;
    return STATUSES_WITHOUT_BODY.has(statusCode);
  }

  #keepsAlive(): boolean {
    if (this.info.versionMinor === 0 || this.#method === 'HEAD') return false;
    const { connection } = this.#headers;
    return connection === undefined || !CLOSE.test(connection);
  }

  #passHead(): void {
    const { headers: rawHeaders, statusCode: status, statusMessage: statusText } = this.info;
    const headers = this.#headers;
    this.#isFinal = status >= FIRST_FINAL_STATUS;
    if (!this.#isFinal) {
      this.#headers = {};
      return;
    }
    this.#lineBytes = 0;
    this.#reader?.handleHead({ status, statusText, rawHeaders, headers });
    if (this.#isHeld) this.#holdFrom(this.offset);
  }

  /** Leaves the bytes from `offset` on unread. */
  #holdFrom(offset: number): void {
    if (offset < this.end) this.#rest = Buffer.from(this.chunk.subarray(offset, this.end));
    this.offset = this.end;
  }

  #checkLength(value: string, known: unknown): void {
    if (known !== undefined) this.#fail('there are two lengths');
    if (!LENGTH.test(value)) this.#fail('the length is no number');
    if (this.#headers['transfer-encoding'] !== undefined) this.#fail(LENGTH_BESIDE_CHUNKS);
  }

  #checkEncoding(value: string, known: unknown): void {
    if (known !== undefined || value.toLowerCase() !== 'chunked') {
      this.#fail('the transfer encoding is not chunked');
    }
    if (this.#headers['content-length'] !== undefined) this.#fail(LENGTH_BESIDE_CHUNKS);
  }

  #fail(message: string): never {
    const peer = { kind: 'address', address: this.#peer } as const;
    throw new FaultError<AnswerFault>({
      kind: 'malformed-answer',
      step: 'read-answer',
      peer,
      message,
    });
  }
}

// Internals.

const LINE_FEED = 0x0a;
const LINE_END = '\r\n';
/** What all lines between two parts of bodies may have together; node:http bounds heads by the same figure. */
const MAX_LINE_BYTES = 16 * 1024;
const FIRST_FINAL_STATUS = 200;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const LENGTH = /^\d{1,15}$/;
const LENGTH_BESIDE_CHUNKS = 'there is a length beside chunks';
const CLOSE = /\bclose\b/i;
const KEEP_ALIVE_TIMEOUT = /\btimeout=(\d+)/i;
