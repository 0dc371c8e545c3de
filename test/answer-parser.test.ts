/** Malformed and well-formed HTTP/1.1 answers, split into pieces of several sizes. */
import test from 'ava';
import { AnswerParser } from '../src/edge/answer-parser.js';
import type { ReceivedHead } from '../src/edge/answer-handler.js';
import { AnswerHandler } from '../src/edge/answer-handler.js';
import type { Address } from '../src/ids.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** Records the parts of an answer that the parser accepted. */
class RecordedAnswer extends AnswerHandler {
  head: ReceivedHead | undefined;
  body = '';

  override handleStart(): boolean {
    return true;
  }

  override handleHead(head: ReceivedHead): void {
    this.head = head;
  }

  override handleBody(chunk: Buffer): void {
    this.body += chunk.toString('latin1');
  }

  override handleEnd(): void {
    // Tests read the completeness from the parser.
  }

  override handleFailure(): void {
    // The parser throws instead.
  }
}

function startParser(method = 'GET') {
  const parser = new AnswerParser('127.0.0.1:1' as Address);
  const answer = new RecordedAnswer();
  parser.start(answer, method);
  return { parser, answer };
}

/** Parses an answer in pieces of `bytes` bytes. */
function feed(parser: AnswerParser, text: string, bytes: number): void {
  const all = Buffer.from(text, 'latin1');
  for (let at = 0; at < all.length; at += bytes) parser.read(all.subarray(at, at + bytes));
}

function readPieces(text: string, bytes: number, method = 'GET') {
  const { parser, answer } = startParser(method);
  feed(parser, text, bytes);
  return { parser, answer };
}

/** Sizes in bytes of the pieces into which each answer is split. */
const PIECE_SIZES = [1, 2, 7, Number.MAX_SAFE_INTEGER];

/** Lists the texts that the parser accepted, and those whose head was passed to the handler. */
function listAccepted(texts: readonly string[]): { answers: string[]; heads: string[] } {
  const answers = new Set<string>();
  const heads = new Set<string>();
  for (const text of texts) {
    for (const bytes of PIECE_SIZES) {
      const { parser, answer } = startParser();
      try {
        feed(parser, text, bytes);
        answers.add(text);
      } catch {
        // The parser rejected the text, as expected.
      }
      if (answer.head !== undefined) heads.add(text);
    }
  }
  return { answers: [...answers], heads: [...heads] };
}

function listAcceptedAnswers(...texts: string[]): string[] {
  return listAccepted(texts).answers;
}

function listAcceptedHeads(...texts: string[]): string[] {
  const { answers, heads } = listAccepted(texts);
  return [...answers, ...heads];
}

test('content length with chunked encoding', (t) => {
  const chunks = '5\r\nhello\r\n0\r\n\r\n';
  t.deepEqual(
    listAcceptedHeads(
      `${OK}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
      `${OK}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n${chunks}`,
    ),
    [],
  );
});

test('malformed chunk size', (t) => {
  const sizes = ['x', '', '-5', '+5', '0x5', '5x', ' 5', '5 5', '123456789'];
  const texts = sizes.map((size) => `${CHUNKED}${size}\r\nhello\r\n0\r\n\r\n`);
  t.deepEqual(listAcceptedAnswers(...texts), []);
});

test('chunk longer than its size', (t) => {
  t.deepEqual(listAcceptedAnswers(`${CHUNKED}4\r\nhello\r\n0\r\n\r\n`), []);
});

test('chunk size with a bare line feed', (t) => {
  t.deepEqual(listAcceptedAnswers(`${CHUNKED}5\nhello\r\n0\r\n\r\n`, `${CHUNKED}5\r\nhello\n`), []);
});

test('malformed content length', (t) => {
  const lengths = ['2x', 'x', '', '0x2', '2.0', '1e1', '2, 2', '9999999999999999'];
  t.deepEqual(
    listAcceptedHeads(...lengths.map((one) => `${OK}Content-Length: ${one}\r\n\r\nok`)),
    [],
  );
});

test('negative content length', (t) => {
  t.deepEqual(listAcceptedHeads(`${OK}Content-Length: -2\r\n\r\nok`), []);
});

test('repeated content length', (t) => {
  t.deepEqual(
    listAcceptedHeads(
      `${OK}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!`,
      `${OK}Content-Length: 2\r\nContent-Length: 2\r\n\r\nok`,
    ),
    [],
  );
});

test('transfer encoding other than chunked', (t) => {
  const encodings = [
    'gzip',
    'gzip, chunked',
    'chunked, gzip',
    'identity',
    'chunked\r\nTransfer-Encoding: chunked',
  ];
  t.deepEqual(
    listAcceptedHeads(...encodings.map((one) => `${OK}Transfer-Encoding: ${one}\r\n\r\n`)),
    [],
  );
});

test('control characters in a header value', (t) => {
  t.deepEqual(
    listAcceptedHeads(`${OK}A: b\0c\r\n\r\n`, `${OK}A: b\x7f\r\n\r\n`, `${OK}A: b\rc\r\n\r\n`),
    [],
  );
});

test('space before the colon', (t) => {
  t.deepEqual(listAcceptedHeads(`${OK}A : b\r\n\r\n`, `${OK}Content-Length : 2\r\n\r\nok`), []);
});

test('malformed header line', (t) => {
  t.deepEqual(
    listAcceptedHeads(`${OK}no header\r\n\r\n`, `${OK}: b\r\n\r\n`, `${OK}a(b): c\r\n\r\n`),
    [],
  );
});

test('folded header line', (t) => {
  t.deepEqual(listAcceptedHeads(`${OK}A: b\r\n c\r\n\r\n`, `${OK}A: b\r\n\tc\r\n\r\n`), []);
});

test('bare line feeds', (t) => {
  t.deepEqual(
    listAcceptedHeads('HTTP/1.1 200 OK\nA: b\n\n', `${OK}A: b\n\r\n`, `${OK}A: b\r\n\n`),
    [],
  );
});

test('status out of range', (t) => {
  const statuses = ['99999', '2000', '999', '600', '099', '000', '20', '2x0', '-20', ''];
  t.deepEqual(listAcceptedHeads(...statuses.map((one) => `HTTP/1.1 ${one} OK\r\n\r\n`)), []);
});

test('another protocol', (t) => {
  const upgrade = 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
  t.deepEqual(listAcceptedHeads(upgrade, 'HTTP/2.0 200 OK\r\n\r\n', 'ICY 200 OK\r\n\r\n'), []);
});

test('malformed status line', (t) => {
  t.deepEqual(
    listAcceptedHeads('garbage\r\n\r\n', '\r\n', '{"a":1}', 'HTTP/1.1 2\x0000 OK\r\n'),
    [],
  );
});

test('incomplete malformed line: rejected before its end', (t) => {
  t.deepEqual(
    listAcceptedAnswers(
      'x',
      'HTTQ',
      'HTTP/1.1\0',
      `${OK}A b`,
      `${OK}A: \0`,
      `${CHUNKED}x`,
      `${CHUNKED}1\r\nab`,
    ),
    [],
  );
});

test('head above the size limit', (t) => {
  const line = `A: ${'b'.repeat(1_000)}\r\n`;
  t.deepEqual(
    listAcceptedHeads(`${OK}${line.repeat(20)}\r\n`, `${OK}A: ${'b'.repeat(20_000)}`),
    [],
  );
});

test('informational heads above the size limit', (t) => {
  t.deepEqual(listAcceptedAnswers('HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000)), []);
});

test('trailers above the size limit', (t) => {
  t.deepEqual(listAcceptedAnswers(`${CHUNKED}0\r\n${'A: b\r\n'.repeat(4_000)}\r\n`), []);
});

test('bytes after a complete answer: not parsed', (t) => {
  for (const bytes of PIECE_SIZES) {
    const { parser, answer } = startParser();
    const all = Buffer.from(`${OK}Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n`, 'latin1');
    for (let at = 0; at < all.length && !parser.isComplete; at += bytes) {
      parser.read(all.subarray(at, at + bytes));
    }
    t.is(answer.body, 'ok');
    t.true(parser.isComplete);
    if (bytes > 1_000) t.false(parser.isReusable);
  }
});

test('well-formed answers in pieces of any size', (t) => {
  const texts: [text: string, body: string, isKept: boolean][] = [
    [`${OK}Content-Length: 2\r\n\r\nok`, 'ok', true],
    [`${OK}content-length:2 \r\nConnection: close\r\n\r\nok`, 'ok', false],
    [`${CHUNKED}5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\nA: b\r\n\r\n`, 'hello0123456789', true],
    [`${OK}Content-Length: 00\r\n\r\n`, '', true],
    [`${OK}Connection: x\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n`, '', false],
    ['HTTP/1.1 204 No Content\r\n\r\n', '', true],
    ['HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n', '', true],
    [`HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${OK}Content-Length: 2\r\n\r\nok`, 'ok', true],
    ['HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok', 'ok', false],
    ['HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok', 'ok', true],
  ];
  for (const [text, body, isKept] of texts) {
    for (const bytes of PIECE_SIZES) {
      const { parser, answer } = readPieces(text, bytes);
      t.true(parser.isComplete, text);
      t.is(parser.isReusable, isKept, text);
      t.is(answer.body, body);
    }
  }
});

test('raw headers and headers by name', (t) => {
  const { answer } = readPieces(
    `${OK}X-A: caf\xe9 \r\nx-a: 2\r\nX-B:\r\nContent-Length: 0\r\n\r\n`,
    3,
  );
  const { rawHeaders, headers, statusText } = answer.head ?? {};
  t.deepEqual(rawHeaders?.slice(0, 6), ['X-A', 'caf\xe9', 'x-a', '2', 'X-B', '']);
  t.deepEqual({ ...headers }, { 'x-a': ['caf\xe9', '2'], 'x-b': '', 'content-length': '0' });
  t.is(statusText, 'OK');
});

test('answer to HEAD: no body, connection not reusable', (t) => {
  const { parser, answer } = readPieces(`${OK}Content-Length: 5\r\n\r\n`, 4, 'HEAD');
  t.true(parser.isComplete);
  t.false(parser.isReusable);
  t.is(answer.head?.status, 200);
});

test('answer without framing: complete at the end of the connection', (t) => {
  const { parser, answer } = readPieces(`${OK}\r\nhello`, 3);
  t.false(parser.isComplete);
  parser.readEnd();
  t.true(parser.isComplete);
  t.is(answer.body, 'hello');
});

test('truncated answer: not complete', (t) => {
  for (const text of ['', OK, `${OK}Content-Length: 5\r\n\r\nhell`, `${CHUNKED}5\r\nhello\r\n`]) {
    const { parser } = readPieces(text, 3);
    parser.readEnd();
    t.false(parser.isComplete, text);
  }
});

test('held answer: delivered completely after each release', (t) => {
  const texts = [
    `${OK}Content-Length: 5\r\n\r\nhello`,
    `${CHUNKED}2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n`,
  ];
  for (const text of texts) {
    for (const bytes of PIECE_SIZES) {
      const { parser, answer } = startParser();
      answer.handleHead = (head) => {
        answer.head = head;
        parser.hold();
      };
      const handleBody = answer.handleBody.bind(answer);
      answer.handleBody = (chunk) => {
        handleBody(chunk);
        parser.hold();
      };
      feed(parser, text, bytes);
      t.is(answer.body, '');
      for (let count = 0; count < 10 && !parser.isComplete; count += 1) {
        const before = answer.body.length;
        parser.release();
        t.true(answer.body.length - before <= 5);
      }
      t.true(parser.isComplete);
      t.true(parser.isReusable);
      t.is(answer.body, 'hello');
    }
  }
});

test('start: state of the previous answer is reset', (t) => {
  const { parser } = readPieces(`${OK}Content-Length: 2\r\nKeep-Alive: timeout=7\r\n\r\nok`, 3);
  t.is(parser.keepAliveSeconds, 7);
  const next = new RecordedAnswer();
  parser.start(next, 'GET');
  t.false(parser.isComplete);
  parser.read(Buffer.from(`${OK}Content-Length: 3\r\n\r\nnew`));
  t.true(parser.isComplete);
  t.is(next.body, 'new');
  t.is(parser.keepAliveSeconds, undefined);
});
