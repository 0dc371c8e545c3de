/** Bytes that a peer sends in place of an answer, or as a part of one. */
import test from 'ava';
import { AnswerParser } from '../src/edge/answer-parser.js';
import type { ReceivedHead } from '../src/edge/answer-handler.js';
import { AnswerReader } from '../src/edge/answer-handler.js';
import type { Address } from '../src/ids.js';

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNKED = `${OK}Transfer-Encoding: chunked\r\n\r\n`;

/** Gathers what was believed of an answer. */
class GatheredAnswer extends AnswerReader {
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
    // The parser tells whether the answer is complete.
  }

  override handleFailure(): void {
    // The parser throws.
  }
}

function startParser(method = 'GET') {
  const parser = new AnswerParser('127.0.0.1:1' as Address);
  const answer = new GatheredAnswer();
  parser.start(answer, method);
  return { parser, answer };
}

/** Reads an answer in pieces of so many bytes. */
function feed(parser: AnswerParser, text: string, bytes: number): void {
  const all = Buffer.from(text, 'latin1');
  for (let at = 0; at < all.length; at += bytes) parser.read(all.subarray(at, at + bytes));
}

function readPieces(text: string, bytes: number, method = 'GET') {
  const { parser, answer } = startParser(method);
  feed(parser, text, bytes);
  return { parser, answer };
}

/** How the bytes of each answer are cut into pieces. */
const PIECES = [1, 2, 7, Number.MAX_SAFE_INTEGER];

/** Lists the answers in which no fault was found, and those whose head was believed. */
function listBelieved(texts: readonly string[]): { answers: string[]; heads: string[] } {
  const answers = new Set<string>();
  const heads = new Set<string>();
  for (const text of texts) {
    for (const bytes of PIECES) {
      const { parser, answer } = startParser();
      try {
        feed(parser, text, bytes);
        answers.add(text);
      } catch {
        // This is what should happen.
      }
      if (answer.head !== undefined) heads.add(text);
    }
  }
  return { answers: [...answers], heads: [...heads] };
}

function listBelievedAnswers(...texts: string[]): string[] {
  return listBelieved(texts).answers;
}

function listBelievedHeads(...texts: string[]): string[] {
  const { answers, heads } = listBelieved(texts);
  return [...answers, ...heads];
}

test('length beside chunks', (t) => {
  const chunks = '5\r\nhello\r\n0\r\n\r\n';
  t.deepEqual(
    listBelievedHeads(
      `${OK}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}`,
      `${OK}Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n${chunks}`,
    ),
    [],
  );
});

test('chunk size that is no number', (t) => {
  const sizes = ['x', '', '-5', '+5', '0x5', '5x', ' 5', '5 5', '123456789'];
  const texts = sizes.map((size) => `${CHUNKED}${size}\r\nhello\r\n0\r\n\r\n`);
  t.deepEqual(listBelievedAnswers(...texts), []);
});

test('chunk longer than its size', (t) => {
  t.deepEqual(listBelievedAnswers(`${CHUNKED}4\r\nhello\r\n0\r\n\r\n`), []);
});

test('chunk size with a bare line feed', (t) => {
  t.deepEqual(listBelievedAnswers(`${CHUNKED}5\nhello\r\n0\r\n\r\n`, `${CHUNKED}5\r\nhello\n`), []);
});

test('length that is no number', (t) => {
  const lengths = ['2x', 'x', '', '0x2', '2.0', '1e1', '2, 2', '9999999999999999'];
  t.deepEqual(
    listBelievedHeads(...lengths.map((one) => `${OK}Content-Length: ${one}\r\n\r\nok`)),
    [],
  );
});

test('length below zero', (t) => {
  t.deepEqual(listBelievedHeads(`${OK}Content-Length: -2\r\n\r\nok`), []);
});

test('two lengths', (t) => {
  t.deepEqual(
    listBelievedHeads(
      `${OK}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!`,
      `${OK}Content-Length: 2\r\nContent-Length: 2\r\n\r\nok`,
    ),
    [],
  );
});

test('encoding that is not chunked', (t) => {
  const encodings = [
    'gzip',
    'gzip, chunked',
    'chunked, gzip',
    'identity',
    'chunked\r\nTransfer-Encoding: chunked',
  ];
  t.deepEqual(
    listBelievedHeads(...encodings.map((one) => `${OK}Transfer-Encoding: ${one}\r\n\r\n`)),
    [],
  );
});

test('control characters in a value', (t) => {
  t.deepEqual(
    listBelievedHeads(`${OK}A: b\0c\r\n\r\n`, `${OK}A: b\x7f\r\n\r\n`, `${OK}A: b\rc\r\n\r\n`),
    [],
  );
});

test('space before the colon', (t) => {
  t.deepEqual(listBelievedHeads(`${OK}A : b\r\n\r\n`, `${OK}Content-Length : 2\r\n\r\nok`), []);
});

test('line that is no header', (t) => {
  t.deepEqual(
    listBelievedHeads(`${OK}no header\r\n\r\n`, `${OK}: b\r\n\r\n`, `${OK}a(b): c\r\n\r\n`),
    [],
  );
});

test('folded line', (t) => {
  t.deepEqual(listBelievedHeads(`${OK}A: b\r\n c\r\n\r\n`, `${OK}A: b\r\n\tc\r\n\r\n`), []);
});

test('bare line feeds', (t) => {
  t.deepEqual(
    listBelievedHeads('HTTP/1.1 200 OK\nA: b\n\n', `${OK}A: b\n\r\n`, `${OK}A: b\r\n\n`),
    [],
  );
});

test('status out of range', (t) => {
  const statuses = ['99999', '2000', '099', '20', '2x0', '-20', ''];
  t.deepEqual(listBelievedHeads(...statuses.map((one) => `HTTP/1.1 ${one} OK\r\n\r\n`)), []);
});

test('another protocol', (t) => {
  const upgrade = 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n';
  t.deepEqual(listBelievedHeads(upgrade, 'HTTP/2.0 200 OK\r\n\r\n', 'ICY 200 OK\r\n\r\n'), []);
});

test('garbage in the first line', (t) => {
  t.deepEqual(
    listBelievedHeads('garbage\r\n\r\n', '\r\n', '{"a":1}', 'HTTP/1.1 2\x0000 OK\r\n'),
    [],
  );
});

test('garbage is refused before its line has ended', (t) => {
  t.deepEqual(
    listBelievedAnswers(
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

test('head without a bound', (t) => {
  const line = `A: ${'b'.repeat(1_000)}\r\n`;
  t.deepEqual(
    listBelievedHeads(`${OK}${line.repeat(20)}\r\n`, `${OK}A: ${'b'.repeat(20_000)}`),
    [],
  );
});

test('informational heads without a bound', (t) => {
  t.deepEqual(listBelievedAnswers('HTTP/1.1 102 Processing\r\n\r\n'.repeat(1_000)), []);
});

test('trailers without a bound', (t) => {
  t.deepEqual(listBelievedAnswers(`${CHUNKED}0\r\n${'A: b\r\n'.repeat(4_000)}\r\n`), []);
});

test('bytes without end behind an answer are not read', (t) => {
  for (const bytes of PIECES) {
    const { parser, answer } = startParser();
    const all = Buffer.from(`${OK}Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n`, 'latin1');
    for (let at = 0; at < all.length && !parser.isComplete; at += bytes) {
      parser.read(all.subarray(at, at + bytes));
    }
    t.is(answer.body, 'ok');
    t.true(parser.isComplete);
    if (bytes > 1_000) t.false(parser.isKept);
  }
});

test('sound answers in any pieces', (t) => {
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
    for (const bytes of PIECES) {
      const { parser, answer } = readPieces(text, bytes);
      t.true(parser.isComplete, text);
      t.is(parser.isKept, isKept, text);
      t.is(answer.body, body);
    }
  }
});

test('headers as they came, and by name', (t) => {
  const { answer } = readPieces(
    `${OK}X-A: caf\xe9 \r\nx-a: 2\r\nX-B:\r\nContent-Length: 0\r\n\r\n`,
    3,
  );
  const { rawHeaders, headers, statusText } = answer.head ?? {};
  t.deepEqual(rawHeaders?.slice(0, 6), ['X-A', 'caf\xe9', 'x-a', '2', 'X-B', '']);
  t.deepEqual({ ...headers }, { 'x-a': ['caf\xe9', '2'], 'x-b': '', 'content-length': '0' });
  t.is(statusText, 'OK');
});

test('HEAD: no body, and the connection is not kept', (t) => {
  const { parser, answer } = readPieces(`${OK}Content-Length: 5\r\n\r\n`, 4, 'HEAD');
  t.true(parser.isComplete);
  t.false(parser.isKept);
  t.is(answer.head?.status, 200);
});

test('answer without a length ends with its connection', (t) => {
  const { parser, answer } = readPieces(`${OK}\r\nhello`, 3);
  t.false(parser.isComplete);
  parser.readEnd();
  t.true(parser.isComplete);
  t.is(answer.body, 'hello');
});

test('truncated answer is not complete', (t) => {
  for (const text of ['', OK, `${OK}Content-Length: 5\r\n\r\nhell`, `${CHUNKED}5\r\nhello\r\n`]) {
    const { parser } = readPieces(text, 3);
    parser.readEnd();
    t.false(parser.isComplete, text);
  }
});

test('held answer: nothing is lost, and nothing comes early', (t) => {
  const texts = [
    `${OK}Content-Length: 5\r\n\r\nhello`,
    `${CHUNKED}2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n`,
  ];
  for (const text of texts) {
    for (const bytes of PIECES) {
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
      t.true(parser.isKept);
      t.is(answer.body, 'hello');
    }
  }
});

test('answer of the former request is forgotten', (t) => {
  const { parser } = readPieces(`${OK}Content-Length: 2\r\nKeep-Alive: timeout=7\r\n\r\nok`, 3);
  t.is(parser.keepAliveSeconds, 7);
  const next = new GatheredAnswer();
  parser.start(next, 'GET');
  t.false(parser.isComplete);
  parser.read(Buffer.from(`${OK}Content-Length: 3\r\n\r\nnew`));
  t.true(parser.isComplete);
  t.is(next.body, 'new');
  t.is(parser.keepAliveSeconds, undefined);
});
