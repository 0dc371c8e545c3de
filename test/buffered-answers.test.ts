/** Answers that are buffered until they are complete. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { BufferedAnswerWriter } from '../src/edge/buffered-answer-writer.js';

const MANY_BYTES = 1024 * 1024;
const KNOWN = { status: 200, statusText: 'OK', headers: ['content-length', '3000000'] };
const UNKNOWN = { status: 200, statusText: 'OK', headers: ['transfer-encoding', 'chunked'] };

/** A response that counts the written bytes. */
class FakeResponse extends EventEmitter {
  isBegun = false;
  writtenBytes = 0;
  destroyed = false;
  writableEnded = false;
  readonly writableLength = 0;

  writeHead(): void {
    this.isBegun = true;
  }

  write(chunk: Buffer): boolean {
    this.writtenBytes += chunk.length;
    return true;
  }

  end(): void {
    this.writableEnded = true;
  }
}

function openWriter(buffersUnknownLength = false, bufferedBytes = { total: 0 }) {
  const response = new FakeResponse();
  const options = {
    response: response as unknown as ServerResponse,
    bufferedBytes,
    buffersUnknownLength,
  };
  return { response, bufferedBytes, writer: new BufferedAnswerWriter(options) };
}

test('complete answer: sent at its end', (t) => {
  const { response, writer, bufferedBytes } = openWriter();
  writer.start(KNOWN);
  writer.write(Buffer.alloc(10));
  t.false(response.isBegun);
  t.is(bufferedBytes.total, 10);
  writer.end();
  t.true(response.isBegun && response.writableEnded);
  t.is(response.writtenBytes, 10);
  t.is(bufferedBytes.total, 0);
});

test('truncated answer: nothing sent, buffer released', (t) => {
  const { response, writer, bufferedBytes } = openWriter();
  writer.start(KNOWN);
  writer.write(Buffer.alloc(10));
  response.end();
  t.true(writer.isClosed);
  writer.end();
  response.emit('close');
  t.false(response.isBegun);
  t.is(bufferedBytes.total, 0);
});

test('answer without a length: buffered only during a stop', (t) => {
  const running = openWriter();
  running.writer.start(UNKNOWN);
  t.true(running.response.isBegun);
  const stopping = openWriter(true);
  stopping.writer.start(UNKNOWN);
  t.false(stopping.response.isBegun);
});

test('answer above the buffer limit: sent before its end', (t) => {
  const { response, writer, bufferedBytes } = openWriter();
  writer.start(KNOWN);
  writer.write(Buffer.alloc(MANY_BYTES));
  t.false(response.isBegun);
  writer.write(Buffer.alloc(1));
  t.is(response.writtenBytes, MANY_BYTES + 1);
  writer.write(Buffer.alloc(1));
  t.is(response.writtenBytes, MANY_BYTES + 2);
  t.is(bufferedBytes.total, 0);
});

test('total buffer limit reached: answer is sent at once', (t) => {
  const { response, writer } = openWriter(false, { total: 16 * MANY_BYTES });
  writer.start(KNOWN);
  writer.write(Buffer.alloc(1));
  t.true(response.isBegun);
});
