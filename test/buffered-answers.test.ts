/** Answers that begin once they are whole. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { WholeSink } from '../src/edge/buffered-answer-writer.js';

const MANY_BYTES = 1024 * 1024;
const KNOWN = { status: 200, statusText: 'OK', headers: ['content-length', '3000000'] };
const UNKNOWN = { status: 200, statusText: 'OK', headers: ['transfer-encoding', 'chunked'] };

/** A response that records what is written to it. */
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

function openSink(holdsUnknown = false, all = { total: 0 }) {
  const response = new FakeResponse();
  const whole = { response: response as unknown as ServerResponse, all, holdsUnknown };
  return { response, all, sink: new WholeSink(whole) };
}

test('answer begins once it is whole', (t) => {
  const { response, sink, all } = openSink();
  sink.begin(KNOWN);
  sink.write(Buffer.alloc(10));
  t.false(response.isBegun);
  t.is(all.total, 10);
  sink.end();
  t.true(response.isBegun && response.writableEnded);
  t.is(response.writtenBytes, 10);
  t.is(all.total, 0);
});

test('answer that breaks off can still be refused', (t) => {
  const { response, sink, all } = openSink();
  sink.begin(KNOWN);
  sink.write(Buffer.alloc(10));
  response.end();
  t.true(sink.isGone);
  sink.end();
  response.emit('close');
  t.false(response.isBegun);
  t.is(all.total, 0);
});

test('answer without a length begins at once, but not while the proxy stops', (t) => {
  const running = openSink();
  running.sink.begin(UNKNOWN);
  t.true(running.response.isBegun);
  const stopping = openSink(true);
  stopping.sink.begin(UNKNOWN);
  t.false(stopping.response.isBegun);
});

test('answer that is too long to be held begins before its end', (t) => {
  const { response, sink, all } = openSink();
  sink.begin(KNOWN);
  sink.write(Buffer.alloc(MANY_BYTES));
  t.false(response.isBegun);
  sink.write(Buffer.alloc(1));
  t.is(response.writtenBytes, MANY_BYTES + 1);
  sink.write(Buffer.alloc(1));
  t.is(response.writtenBytes, MANY_BYTES + 2);
  t.is(all.total, 0);
});

test('many answers hold no more than the bound of all', (t) => {
  const { response, sink } = openSink(false, { total: 16 * MANY_BYTES });
  sink.begin(KNOWN);
  sink.write(Buffer.alloc(1));
  t.true(response.isBegun);
});
