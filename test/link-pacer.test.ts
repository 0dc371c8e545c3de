/** Large answers over a narrow link: they are paced, and hold neither the link nor a slot. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import type { AnswerProof } from '../src/calls/index.js';
import { addMs, NEVER } from '../src/clock.js';
import type { AnswerSource } from '../src/edge/answer-handler.js';
import { CallAttempt } from '../src/edge/call-attempt.js';
import type { DroppedPart } from '../src/edge/link-pacer.js';
import { LinkPacer } from '../src/edge/link-pacer.js';
import type { AttemptId } from '../src/ids.js';
import { ManualClock } from './manual-clock.js';

const LINK_BYTES_PER_SECOND = 325_000;
const LARGE_BYTES = 90_000;
const SIGNED: AnswerProof = { isOwn: true, isSigned: true, statesNotRun: false, isPromise: false };

/** A response to another proxy that counts what is written to it. */
class FakeResponse extends EventEmitter {
  writtenBytes = 0;
  isBegun = false;
  length: string | undefined;
  isEnded = false;
  destroyed = false;
  isFull = false;
  readonly writableLength = 0;

  writeHead(_status?: number, _text?: string, headers: readonly string[] = []): void {
    this.isBegun = true;
    this.length = headers[headers.indexOf('content-length') + 1];
  }

  write(chunk: Buffer): boolean {
    this.writtenBytes += chunk.length;
    return !this.isFull;
  }

  end(): void {
    this.isEnded = true;
  }

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

function startPacer(bytesPerSecond = LINK_BYTES_PER_SECOND) {
  const clock = new ManualClock();
  const pacer = new LinkPacer(clock, bytesPerSecond);
  const open = (deadline = NEVER) => {
    const response = new FakeResponse();
    return { response, sink: pacer.open(response as unknown as ServerResponse, deadline) };
  };
  return { clock, pacer, open };
}

test('slot is given back before a large answer is sent', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const told: string[] = [];
  const source = {
    pause: () => told.push('pause'),
    resume: () => undefined,
    abort: () => undefined,
  } as unknown as AnswerSource;
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: false,
    keepsAnswer: false,
    method: 'GET',
    readProof: () => SIGNED,
    post: ({ kind }) => {
      told.push(kind);
      if (kind === 'answer-started') {
        const caller = response as unknown as ServerResponse;
        attempt.relay(caller, [], pacer.open(caller, NEVER));
      }
    },
    onEnd: () => undefined,
  });
  response.isFull = true;
  attempt.handleStart(source);
  const headers = { 'content-length': `${LARGE_BYTES}` };
  attempt.handleHead({ status: 200, statusText: 'OK', rawHeaders: [], headers });
  attempt.handleBody(Buffer.alloc(LARGE_BYTES));
  attempt.handleEnd();
  t.deepEqual(told, ['answer-started', 'answer-complete']);
  t.true(response.writtenBytes < LARGE_BYTES);
  response.isFull = false;
  response.emit('drain');
  clock.advance(1_000);
  t.is(response.writtenBytes, LARGE_BYTES);
  t.true(response.isEnded);
});

test('large answers leave room on the link', (t) => {
  const { clock, open } = startPacer();
  const answers = [open(), open(), open()];
  for (const { sink } of answers) {
    sink.write(Buffer.alloc(LARGE_BYTES));
    sink.end();
  }
  const countWritten = () =>
    answers.reduce((bytes, { response }) => bytes + response.writtenBytes, 0);
  const atOnce = countWritten();
  t.true(atOnce < LARGE_BYTES / 3);
  clock.advance(500);
  t.true(countWritten() - atOnce <= LINK_BYTES_PER_SECOND * 0.4);
  t.true(answers[0]?.response.isEnded);
  t.false(answers[2]?.response.isEnded);
  clock.advance(1_000);
  t.true(answers.every(({ response }) => response.isEnded));
});

test('short answer beside large ones', (t) => {
  const { open } = startPacer();
  open().sink.write(Buffer.alloc(LARGE_BYTES));
  const { response, sink } = open();
  sink.write(Buffer.alloc(2_000));
  sink.end();
  t.is(response.writtenBytes, 2_000);
  t.true(response.isEnded);
});

test('large answers take the room that short ones leave', (t) => {
  const { clock, open } = startPacer();
  const large = open();
  large.sink.write(Buffer.alloc(4 * LARGE_BYTES));
  let shortBytes = 0;
  for (let step = 0; step < 100; step += 1) {
    const { sink } = open();
    sink.write(Buffer.alloc(1_000));
    sink.end();
    shortBytes += 1_000;
    clock.advance(10);
  }
  const written = large.response.writtenBytes + shortBytes;
  t.true(written <= LINK_BYTES_PER_SECOND * 0.8);
  t.true(written >= LINK_BYTES_PER_SECOND * 0.7);
});

test('large answers over a wide link', (t) => {
  const { clock, open } = startPacer(125_000_000);
  const answers = Array.from({ length: 100 }, open);
  for (const { sink } of answers) {
    sink.write(Buffer.alloc(LARGE_BYTES));
    sink.end();
  }
  clock.advance(100);
  t.true(answers.every(({ response }) => response.isEnded));
});

test('shortest rest first', (t) => {
  const { clock, open } = startPacer();
  const [long, short] = [open(), open()];
  long.sink.write(Buffer.alloc(4 * LARGE_BYTES));
  long.sink.end();
  clock.advance(100);
  short.sink.write(Buffer.alloc(LARGE_BYTES));
  short.sink.end();
  clock.advance(500);
  t.true(short.response.isEnded);
  t.false(long.response.isEnded);
  clock.advance(2_000);
  t.true(long.response.isEnded);
});

test('large answer to a proxy that reads slowly or is gone', (t) => {
  const { clock, open } = startPacer();
  const [slow, gone, other] = [open(), open(), open()];
  slow.response.isFull = true;
  for (const { sink } of [slow, gone, other]) {
    sink.write(Buffer.alloc(LARGE_BYTES));
    sink.end();
  }
  gone.response.destroyed = true;
  gone.response.emit('close');
  clock.advance(1_000);
  t.true(slow.response.writtenBytes < LARGE_BYTES);
  t.true(gone.response.writtenBytes < LARGE_BYTES);
  t.true(other.response.isEnded);
  slow.response.isFull = false;
  slow.response.emit('drain');
  clock.advance(1_000);
  t.is(slow.response.writtenBytes, LARGE_BYTES);
});

test('endless answer is read no further than is held', (t) => {
  const { clock, open } = startPacer();
  const { sink } = open();
  let resumed = 0;
  let taken = 0;
  for (let isTaken = true; isTaken; taken += LARGE_BYTES) {
    isTaken = sink.write(Buffer.alloc(LARGE_BYTES));
  }
  t.true(taken < 2 * 1024 * 1024);
  sink.notifyDrained(() => (resumed += 1));
  clock.advance(60_000);
  t.is(resumed, 1);
});

test('paced answer is dropped at its deadline', (t) => {
  const { clock, open } = startPacer(20_000);
  const { response, sink } = open(addMs(clock.read(), 500));
  sink.write(Buffer.alloc(LARGE_BYTES));
  sink.end();
  clock.advance(499);
  t.false(response.destroyed);
  clock.advance(1);
  t.true(response.destroyed);
  const { writtenBytes } = response;
  clock.advance(1_000);
  t.is(response.writtenBytes, writtenBytes);
});

test('paced answer that ends in time is not dropped', (t) => {
  const { clock, open } = startPacer();
  const { response, sink } = open(addMs(clock.read(), 500));
  sink.write(Buffer.alloc(LARGE_BYTES));
  sink.end();
  clock.advance(450);
  t.true(response.isEnded);
  response.emit('close');
  clock.advance(100);
  t.false(response.destroyed);
});

test('held answers are counted, and a dropped one is told', (t) => {
  const { clock, pacer } = startPacer(20_000);
  const response = new FakeResponse();
  const told: DroppedPart[] = [];
  const deadline = addMs(clock.read(), 500);
  const sink = pacer.open(response as unknown as ServerResponse, deadline, {
    notifyDropped: (part) => {
      told.push(part);
    },
  });
  sink.write(Buffer.alloc(LARGE_BYTES));
  sink.end();
  t.deepEqual(pacer.held, { answers: 1, bytes: LARGE_BYTES - response.writtenBytes });
  clock.advance(500);
  const { writtenBytes: sentBytes } = response;
  t.deepEqual(told, [{ sentBytes, leftBytes: LARGE_BYTES - sentBytes, heldMs: 500 }]);
  t.deepEqual(pacer.held, { answers: 0, bytes: 0 });
});

/** Opens an answer that tells its length, and holds it whole. */
function holdWhole({ clock, pacer }: ReturnType<typeof startPacer>, bytes: number, ms = 10_000) {
  const response = new FakeResponse();
  const told: string[] = [];
  const sink = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), ms), {
    refuse: () => told.push(response.isBegun ? 'cut' : 'refused'),
  });
  sink.begin({ status: 200, statusText: 'OK', headers: ['Content-Length', `${bytes}`] });
  sink.write(Buffer.alloc(bytes));
  sink.end();
  return { response, told };
}

test('large answer that never gets its turn is refused whole, not cut', (t) => {
  const link = startPacer();
  const answers = Array.from({ length: 20 }, () => holdWhole(link, LARGE_BYTES, 2_000));
  link.clock.advance(2_000);
  const whole = answers.filter(({ response }) => response.isEnded);
  t.true(whole.length >= 4);
  for (const { response, told } of answers) {
    t.deepEqual(told, response.isEnded ? [] : ['refused']);
    t.is(response.writtenBytes, response.isEnded ? LARGE_BYTES : 0);
  }
});

test('large answer under way is not overtaken by a shorter one', (t) => {
  const link = startPacer();
  const long = holdWhole(link, 2 * LARGE_BYTES, 1_000);
  link.clock.advance(50);
  const short = holdWhole(link, LARGE_BYTES);
  link.clock.advance(750);
  t.true(long.response.isEnded);
  t.false(short.response.isEnded);
  link.clock.advance(500);
  t.true(short.response.isEnded);
});

test('large answer that the link cannot carry in time never begins', (t) => {
  const link = startPacer();
  const { response, told } = holdWhole(link, 4 * LARGE_BYTES, 1_000);
  t.deepEqual(told, ['refused']);
  t.false(response.isBegun);
});

test('planned stop: large answers take the whole link until it', (t) => {
  const link = startPacer();
  const answers = Array.from({ length: 10 }, () => holdWhole(link, LARGE_BYTES));
  link.pacer.startStop(addMs(link.clock.read(), 1_500));
  link.clock.advance(1_500);
  const whole = answers.filter(({ response }) => response.isEnded);
  t.true(whole.length >= 5, `${whole.length}`);
  t.true(answers.every(({ response, told }) => response.isEnded || told[0] === 'refused'));
});

const CHUNKED = { status: 200, statusText: 'OK', headers: [] };

test('large answers without a length: refused whole, not cut', (t) => {
  const { clock, pacer } = startPacer();
  const deadline = addMs(clock.read(), 2_000);
  const answers = Array.from({ length: 20 }, () => {
    const response = new FakeResponse();
    const told: string[] = [];
    const sink = pacer.open(response as unknown as ServerResponse, deadline, {
      refuse: () => told.push(response.isBegun ? 'cut' : 'refused'),
    });
    sink.begin(CHUNKED);
    sink.write(Buffer.alloc(LARGE_BYTES / 2));
    return { response, told, sink };
  });
  clock.advance(20);
  for (const { sink } of answers) {
    sink.write(Buffer.alloc(LARGE_BYTES / 2));
    sink.end();
  }
  clock.advance(2_000);
  const endings = answers.map(({ response, told }) => (response.isEnded ? 'whole' : told.join()));
  t.deepEqual([...new Set(endings)].sort(), ['refused', 'whole'], endings.join(' '));
  const whole = answers.filter(({ response }) => response.isEnded);
  t.true(whole.every(({ response }) => response.length === `${LARGE_BYTES}`));
});

test('short answer without a length: at once', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const sink = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 2_000));
  sink.begin(CHUNKED);
  sink.write(Buffer.alloc(100));
  sink.end();
  t.true(response.isEnded);
  t.is(response.writtenBytes, 100);
});

test('answer that comes slowly is passed on as it comes', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const sink = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 60_000));
  sink.begin(CHUNKED);
  sink.write(Buffer.alloc(100));
  clock.advance(100);
  t.is(response.writtenBytes, 100);
  for (let chunk = 0; chunk < 20; chunk += 1) {
    sink.write(Buffer.alloc(100));
    t.is(response.writtenBytes, 200 + chunk * 100);
    clock.advance(50);
  }
  sink.end();
  t.true(response.isEnded);
});

test('large answer without a body', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const sink = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 100));
  sink.begin({ status: 200, statusText: 'OK', headers: ['Content-Length', `${LARGE_BYTES}`] });
  sink.end();
  t.true(response.isBegun);
  t.true(response.isEnded);
});

test('other traffic on the link takes room from large answers', (t) => {
  const sendFor = (usedBytes: number): number => {
    const { clock, pacer, open } = startPacer();
    const { response, sink } = open();
    pacer.addUse(usedBytes);
    sink.begin({ status: 200, statusText: 'OK', headers: ['Content-Length', `${LARGE_BYTES}`] });
    sink.write(Buffer.alloc(LARGE_BYTES));
    sink.end();
    clock.advance(300);
    return response.writtenBytes;
  };
  const usedBytes = 40_000;
  const missingBytes = sendFor(0) - sendFor(usedBytes);
  t.true(Math.abs(missingBytes - usedBytes) <= 5_000, `${missingBytes}`);
});
