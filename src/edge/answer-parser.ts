/** Strict parser of the HTTP/1.1 answers on one connection. */
import type { IncomingHttpHeaders } from 'node:http';
import { HTTPParser } from 'http-parser-js';
import type { Fault } from '../errors.js';
import { FaultError } from '../errors.js';
import type { Address } from '../ids.js';
import type { LineState } from './answer-lines.js';
import { findLineFault, findStartFault } from './answer-lines.js';
import type { AnswerHandler } from './answer-handler.js';

/** Reports bytes that are not a well-formed HTTP/1.1 answer. */
export type AnswerFault = Fault<'malformed-answer', 'read-answer'>;

/** Members of `HTTPParser` that its type declarations omit. */
interface LineParser {
  state: string;
  chunk: Buffer;
  offset: number;
  end: number;
  /** The received part of an incomplete line. */
  line: string;
  info: ParsedHead;
  initialize(type: 'RESPONSE'): void;
  execute(chunk: Buffer): number | Error;
  finish(): Error | undefined;
  /** The bytes of the body that are still to be received. */
  body_bytes: number | null;
  nextRequest(): void;
  consumeLine(): string | undefined;
  HEADER(): void;
  parseHeader(line: string, headers: string[]): void;
}

/** A head as `HTTPParser` stores it. */
interface ParsedHead {
  readonly headers: string[];
  readonly statusCode: number;
  readonly statusMessage: string;
  readonly versionMinor: number;
}

const BaseParser = HTTPParser as unknown as new (type: 'RESPONSE') => LineParser;

/**
 * Parses answers and validates each line before `HTTPParser` processes it, because `HTTPParser` accepts sizes
 * that are not numbers, bare line feeds, folded lines, and a content length together with chunked encoding.
 *
 * @example
 * parser.start(handler, 'GET');
 * socket.on('data', (chunk) => parser.read(chunk));
 */
export class AnswerParser extends BaseParser {
  readonly #peer: Address;
  readonly #handleContinue: (headers: IncomingHttpHeaders) => void;
  #handler: AnswerHandler | undefined;
  #method = '';
  #headers: IncomingHttpHeaders = {};
  #lineBytes = 0;
  #isFinal = false;
  #isComplete = false;
  #isReusable = false;
  #isHeld = false;
  #unparsed: Buffer | undefined;

  /** @param handleContinue Receives the headers of each interim answer `100 Continue`. */
  constructor(
    peer: Address,
    handleContinue: (headers: IncomingHttpHeaders) => void = () => undefined,
  ) {
    super(HTTPParser.RESPONSE);
    this.#peer = peer;
    this.#handleContinue = handleContinue;
  }

  /** Whether received bytes are buffered instead of parsed. */
  get isHeld(): boolean {
    return this.#isHeld;
  }

  /** Whether the answer is complete and not held. */
  get isComplete(): boolean {
    return this.#isComplete && !this.#isHeld;
  }

  /** Whether the connection may carry another request after the complete answer. */
  get isReusable(): boolean {
    return this.#isReusable && this.#unparsed === undefined;
  }

  /** The keep-alive timeout of the peer in seconds, if the last head states one. */
  get keepAliveSeconds(): number | undefined {
    const [, seconds] =
      KEEP_ALIVE_TIMEOUT.exec(this.#headers['keep-alive']?.toString() ?? '') ?? [];
    return seconds === undefined ? undefined : Number(seconds);
  }

  /** Prepares for the answer to a request with this method. */
  start(handler: AnswerHandler, method: string): void {
    this.initialize(HTTPParser.RESPONSE);
    this.#handler = handler;
    this.#method = method;
    this.#headers = {};
    this.#lineBytes = 0;
    this.#isFinal = false;
    this.#isComplete = false;
    this.#isHeld = false;
    this.#unparsed = undefined;
  }

  /**
   * Parses the next received bytes. Bytes that are retained are copied.
   *
   * @throws FaultError when they are not a well-formed answer.
   */
  read(chunk: Buffer): void {
    if (this.#isHeld) {
      this.#unparsed = Buffer.concat(
        this.#unparsed === undefined ? [chunk] : [this.#unparsed, chunk],
      );
      return;
    }
    const result = this.execute(chunk);
    if (result instanceof Error) throw result;
  }

  /** Handles the end of the connection, which completes an answer without a delimited end. */
  readEnd(): void {
    this.finish();
  }

  /** Buffers received bytes until {@link AnswerParser.release}. */
  hold(): void {
    this.#isHeld = true;
  }

  /**
   * Parses the bytes that were buffered since {@link AnswerParser.hold}.
   *
   * @throws FaultError when they are not a well-formed answer.
   */
  release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    const rest = this.#unparsed;
    if (rest === undefined || this.#isComplete) return;
    this.#unparsed = undefined;
    this.read(rest);
  }

  /** Detaches the handler; it receives nothing more. */
  stop(): void {
    this.#handler = undefined;
  }

  override consumeLine(): string | undefined {
    const { chunk, offset, end, state } = this;
    const lineFeed = chunk.indexOf(LINE_FEED, offset);
    const next = lineFeed < 0 ? end : lineFeed + 1;
    this.#lineBytes += next - offset;
    if (this.#lineBytes > MAX_LINE_BYTES) this.#fail(`head exceeds ${MAX_LINE_BYTES} bytes`);
    const text = this.line + chunk.toString('latin1', offset, next);
    this.offset = next;
    this.line = lineFeed < 0 ? text : '';
    const line = lineFeed < 0 ? undefined : text.slice(0, -LINE_END.length);
    const fault =
      line === undefined
        ? findStartFault(state as LineState, text)
        : text.endsWith(LINE_END)
          ? findLineFault(state as LineState, line)
          : 'line ends without a carriage return';
    if (fault !== undefined) this.#fail(fault);
    return line;
  }

  /** Determines the body framing from the validated headers instead of scanning all headers again. */
  override HEADER(): void {
    const line = this.consumeLine();
    if (line === undefined) return;
    if (line !== '') {
      this.parseHeader(line, this.info.headers);
      return;
    }
    const { 'content-length': length, 'transfer-encoding': encoding } = this.#headers;
    const bytes = length === undefined ? undefined : Number(length);
    const isEmpty = this.#hasNoBody() || bytes === 0;
    this.#isReusable = this.#keepsAlive() && (isEmpty || (length ?? encoding) !== undefined);
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
    this.#handler?.handleBody(Buffer.from(bytes));
    if (!this.#isHeld) return;
    this.#holdFrom(this.offset + bytes.length);
    // `HTTPParser` adds the length of these bytes to the offset after this call returns.
    this.offset -= bytes.length;
  }

  protected [HTTPParser.kOnMessageComplete](): void {
    if (!this.#isFinal) return;
    this.#isComplete = true;
    if (this.offset < this.end) this.#holdFrom(this.offset);
  }

  // Internals.

  #hasNoBody(): boolean {
    const { statusCode } = this.info;
    if (statusCode < FIRST_FINAL_STATUS || this.#method === 'HEAD') return true;
    return STATUSES_WITHOUT_BODY.has(statusCode);
  }

  #keepsAlive(): boolean {
    if (this.info.versionMinor === 0 || this.#method === 'HEAD') return false;
    const { connection } = this.#headers;
    return connection === undefined || !CONNECTION_CLOSE.test(connection);
  }

  #passHead(): void {
    const { headers: rawHeaders, statusCode: status, statusMessage: statusText } = this.info;
    const headers = this.#headers;
    this.#isFinal = status >= FIRST_FINAL_STATUS;
    if (!this.#isFinal) {
      this.#headers = {};
      if (status === STATUS_CONTINUE) this.#handleContinue(headers);
      return;
    }
    this.#lineBytes = 0;
    this.#handler?.handleHead({ status, statusText, rawHeaders, headers });
    if (this.#isHeld) this.#holdFrom(this.offset);
  }

  /** Buffers the bytes from `offset` on without parsing them. */
  #holdFrom(offset: number): void {
    if (offset < this.end) this.#unparsed = Buffer.from(this.chunk.subarray(offset, this.end));
    this.offset = this.end;
  }

  #checkLength(value: string, known: unknown): void {
    if (known !== undefined) this.#fail('repeated content-length header');
    if (!CONTENT_LENGTH.test(value)) this.#fail('content-length is not a number');
    if (this.#headers['transfer-encoding'] !== undefined) this.#fail(LENGTH_BESIDE_CHUNKS);
  }

  #checkEncoding(value: string, known: unknown): void {
    if (known !== undefined || value.toLowerCase() !== 'chunked') {
      this.#fail('transfer-encoding is not chunked');
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
/** Limit of all consecutive lines between body data together; equals the default limit of node:http for heads. */
const MAX_LINE_BYTES = 16 * 1024;
const STATUS_CONTINUE = 100;
const FIRST_FINAL_STATUS = 200;
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);
const CONTENT_LENGTH = /^\d{1,15}$/;
const LENGTH_BESIDE_CHUNKS = 'content-length together with transfer-encoding';
const CONNECTION_CLOSE = /\bclose\b/i;
const KEEP_ALIVE_TIMEOUT = /\btimeout=(\d+)/i;
