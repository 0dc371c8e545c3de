/** Pacing of large answers over a slow link. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import test from 'ava';
import { UnsentBudget } from '../src/edge/unsent-budget.js';
import type { AnswerEvidence } from '../src/calls/index.js';
import { addMs, NEVER } from '../src/clock.js';
import type { AnswerControl } from '../src/edge/answer-handler.js';
import { CallAttempt } from '../src/edge/call-attempt.js';
import type { DroppedAnswer } from '../src/edge/link-pacer.js';
import { LinkPacer } from '../src/edge/link-pacer.js';
import type { AttemptId } from '../src/ids.js';
import { ManualClock } from './manual-clock.js';

const LINK_BYTES_PER_SECOND = 325_000;
const LARGE_BYTES = 90_000;
const SIGNED: AnswerEvidence = {
  hasAttemptId: true,
  isSigned: true,
  statesNotRun: false,
  impliesNotRun: false,
};

/** A response to another proxy that counts the written bytes. */
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
    return { response, writer: pacer.open(response as unknown as ServerResponse, deadline) };
  };
  return { clock, pacer, open };
}

test('large answer: slot is released before it is sent', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const events: string[] = [];
  const source = {
    pause: () => events.push('pause'),
    resume: () => undefined,
    abort: () => undefined,
  } as unknown as AnswerControl;
  const attempt = new CallAttempt({
    attempt: 'a' as AttemptId,
    isGuard: false,
    keepsAnswer: false,
    method: 'GET',
    readProof: () => SIGNED,
    post: ({ kind }) => {
      events.push(kind);
      if (kind === 'answer-started') {
        const caller = response as unknown as ServerResponse;
        attempt.relay(caller, [], pacer.open(caller, NEVER));
      }
    },
    unsent: new UnsentBudget(),
    onEnd: () => undefined,
  });
  response.isFull = true;
  attempt.handleStart(source);
  const headers = { 'content-length': `${LARGE_BYTES}` };
  attempt.handleHead({ status: 200, statusText: 'OK', rawHeaders: [], headers });
  attempt.handleBody(Buffer.alloc(LARGE_BYTES));
  attempt.handleEnd();
  t.deepEqual(events, ['answer-started', 'answer-complete']);
  t.true(response.writtenBytes < LARGE_BYTES);
  response.isFull = false;
  response.emit('drain');
  clock.advance(1_000);
  t.is(response.writtenBytes, LARGE_BYTES);
  t.true(response.isEnded);
});

test('large answers leave the part of the link that other traffic uses', (t) => {
  const { clock, pacer, open } = startPacer();
  const answers = [open(), open(), open()];
  for (const { writer } of answers) {
    writer.write(Buffer.alloc(LARGE_BYTES));
    writer.end();
  }
  const countWritten = () =>
    answers.reduce((bytes, { response }) => bytes + response.writtenBytes, 0);
  const atOnce = countWritten();
  t.true(atOnce < LARGE_BYTES / 3);
  for (let step = 0; step < 50; step += 1) {
    pacer.addOtherTraffic(LINK_BYTES_PER_SECOND * 0.001);
    clock.advance(10);
  }
  t.true(countWritten() - atOnce <= LINK_BYTES_PER_SECOND * 0.4);
  t.true(answers[0]?.response.isEnded);
  t.false(answers[2]?.response.isEnded);
  clock.advance(1_000);
  t.true(answers.every(({ response }) => response.isEnded));
});

test('answers that need five sixths of the link: all are sent in time', (t) => {
  const { clock, open } = startPacer();
  const gapMs = (LARGE_BYTES / ((5 / 6) * LINK_BYTES_PER_SECOND)) * 1_000;
  const answers = Array.from({ length: 100 }, (_, index) => {
    const { response, writer } = open(addMs(clock.read(), 2_000));
    const bytes = LARGE_BYTES * (index % 2 === 0 ? 0.5 : 1.5);
    writer.start({ status: 200, statusText: 'OK', headers: ['Content-Length', `${bytes}`] });
    writer.write(Buffer.alloc(bytes));
    writer.end();
    clock.advance(gapMs);
    return response;
  });
  clock.advance(2_000);
  t.is(answers.filter(({ isEnded }) => isEnded).length, answers.length);
});

test('short answer: sent before queued large ones', (t) => {
  const { open } = startPacer();
  open().writer.write(Buffer.alloc(LARGE_BYTES));
  const { response, writer } = open();
  writer.write(Buffer.alloc(2_000));
  writer.end();
  t.is(response.writtenBytes, 2_000);
  t.true(response.isEnded);
});

test('large answers use the bandwidth left by short ones', (t) => {
  const { clock, open } = startPacer();
  const large = open();
  large.writer.write(Buffer.alloc(4 * LARGE_BYTES));
  let shortBytes = 0;
  for (let step = 0; step < 100; step += 1) {
    const { writer } = open();
    writer.write(Buffer.alloc(1_000));
    writer.end();
    shortBytes += 1_000;
    clock.advance(10);
  }
  const written = large.response.writtenBytes + shortBytes;
  t.true(written <= LINK_BYTES_PER_SECOND * 0.9);
  t.true(written >= LINK_BYTES_PER_SECOND * 0.8);
});

test('large answers over a fast link: sent at once', (t) => {
  const { clock, open } = startPacer(125_000_000);
  const answers = Array.from({ length: 100 }, open);
  for (const { writer } of answers) {
    writer.write(Buffer.alloc(LARGE_BYTES));
    writer.end();
  }
  clock.advance(100);
  t.true(answers.every(({ response }) => response.isEnded));
});

test('shortest remaining answer first', (t) => {
  const { clock, open } = startPacer();
  const [long, short] = [open(), open()];
  long.writer.write(Buffer.alloc(4 * LARGE_BYTES));
  long.writer.end();
  clock.advance(100);
  short.writer.write(Buffer.alloc(LARGE_BYTES));
  short.writer.end();
  clock.advance(500);
  t.true(short.response.isEnded);
  t.false(long.response.isEnded);
  clock.advance(2_000);
  t.true(long.response.isEnded);
});

test('slow or disconnected proxy: other answers are not delayed', (t) => {
  const { clock, open } = startPacer();
  const [slow, gone, other] = [open(), open(), open()];
  slow.response.isFull = true;
  for (const { writer } of [slow, gone, other]) {
    writer.write(Buffer.alloc(LARGE_BYTES));
    writer.end();
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

test('endless answer: reading pauses at the buffer limit', (t) => {
  const { clock, open } = startPacer();
  const { writer } = open();
  let resumed = 0;
  let taken = 0;
  for (let isTaken = true; isTaken; taken += LARGE_BYTES) {
    isTaken = writer.write(Buffer.alloc(LARGE_BYTES));
  }
  t.true(taken < 2 * 1024 * 1024);
  writer.waitForDrain(() => (resumed += 1));
  clock.advance(60_000);
  t.is(resumed, 1);
});

test('paced answer at its deadline: dropped', (t) => {
  const { clock, open } = startPacer(20_000);
  const { response, writer } = open(addMs(clock.read(), 500));
  writer.write(Buffer.alloc(LARGE_BYTES));
  writer.end();
  clock.advance(499);
  t.false(response.destroyed);
  clock.advance(1);
  t.true(response.destroyed);
  const { writtenBytes } = response;
  clock.advance(1_000);
  t.is(response.writtenBytes, writtenBytes);
});

test('paced answer sent in time: not dropped', (t) => {
  const { clock, open } = startPacer();
  const { response, writer } = open(addMs(clock.read(), 500));
  writer.write(Buffer.alloc(LARGE_BYTES));
  writer.end();
  clock.advance(450);
  t.true(response.isEnded);
  response.emit('close');
  clock.advance(100);
  t.false(response.destroyed);
});

test('held answers are counted, dropped ones reported', (t) => {
  const { clock, pacer } = startPacer(20_000);
  const response = new FakeResponse();
  const events: DroppedAnswer[] = [];
  const deadline = addMs(clock.read(), 500);
  const writer = pacer.open(response as unknown as ServerResponse, deadline, {
    notifyDropped: (part) => {
      events.push(part);
    },
  });
  writer.write(Buffer.alloc(LARGE_BYTES));
  writer.end();
  t.deepEqual(pacer.held, { answers: 1, bytes: LARGE_BYTES - response.writtenBytes });
  clock.advance(500);
  const { writtenBytes: sentBytes } = response;
  t.deepEqual(events, [{ sentBytes, leftBytes: LARGE_BYTES - sentBytes, heldMs: 500 }]);
  t.deepEqual(pacer.held, { answers: 0, bytes: 0 });
});

/** Writes a complete answer with a content length; returns its events `refused` and `cut`. */
function openCompleteAnswer(
  { clock, pacer }: ReturnType<typeof startPacer>,
  bytes: number,
  ms = 10_000,
) {
  const response = new FakeResponse();
  const events: string[] = [];
  const writer = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), ms), {
    refuse: () => events.push(response.isBegun ? 'cut' : 'refused'),
  });
  writer.start({ status: 200, statusText: 'OK', headers: ['Content-Length', `${bytes}`] });
  writer.write(Buffer.alloc(bytes));
  writer.end();
  return { response, events };
}

test('overloaded link: large answers are sent completely or refused', (t) => {
  const link = startPacer();
  const answers = Array.from({ length: 20 }, () => openCompleteAnswer(link, LARGE_BYTES, 2_000));
  link.clock.advance(2_000);
  const complete = answers.filter(({ response }) => response.isEnded);
  t.true(complete.length >= 4);
  for (const { response, events } of answers) {
    t.deepEqual(events, response.isEnded ? [] : ['refused']);
    t.is(response.writtenBytes, response.isEnded ? LARGE_BYTES : 0);
  }
});

test('partly sent answer: not preempted by a shorter one', (t) => {
  const link = startPacer();
  const long = openCompleteAnswer(link, 2 * LARGE_BYTES, 1_000);
  link.clock.advance(50);
  const short = openCompleteAnswer(link, LARGE_BYTES);
  link.clock.advance(750);
  t.true(long.response.isEnded);
  t.false(short.response.isEnded);
  link.clock.advance(500);
  t.true(short.response.isEnded);
});

test('large answer that cannot be sent in time: refused at once', (t) => {
  const link = startPacer();
  const { response, events } = openCompleteAnswer(link, 4 * LARGE_BYTES, 1_000);
  t.deepEqual(events, ['refused']);
  t.false(response.isBegun);
});

test('planned stop: large answers use the whole link', (t) => {
  const link = startPacer();
  const answers = Array.from({ length: 10 }, () => openCompleteAnswer(link, LARGE_BYTES));
  link.pacer.startStop(addMs(link.clock.read(), 1_500));
  link.clock.advance(1_500);
  const complete = answers.filter(({ response }) => response.isEnded);
  t.true(complete.length >= 5, `${complete.length}`);
  t.true(answers.every(({ response, events }) => response.isEnded || events[0] === 'refused'));
});

const CHUNKED = { status: 200, statusText: 'OK', headers: [] };

test('overloaded link, no content length: sent completely or refused', (t) => {
  const { clock, pacer } = startPacer();
  const deadline = addMs(clock.read(), 2_000);
  const answers = Array.from({ length: 20 }, () => {
    const response = new FakeResponse();
    const events: string[] = [];
    const writer = pacer.open(response as unknown as ServerResponse, deadline, {
      refuse: () => events.push(response.isBegun ? 'cut' : 'refused'),
    });
    writer.start(CHUNKED);
    writer.write(Buffer.alloc(LARGE_BYTES / 2));
    return { response, events, writer };
  });
  clock.advance(20);
  for (const { writer } of answers) {
    writer.write(Buffer.alloc(LARGE_BYTES / 2));
    writer.end();
  }
  clock.advance(2_000);
  const endings = answers.map(({ response, events }) =>
    response.isEnded ? 'whole' : events.join(),
  );
  t.deepEqual([...new Set(endings)].sort(), ['refused', 'whole'], endings.join(' '));
  const complete = answers.filter(({ response }) => response.isEnded);
  t.true(complete.every(({ response }) => response.length === `${LARGE_BYTES}`));
});

test('short answer without a content length: sent at once', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const writer = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 2_000));
  writer.start(CHUNKED);
  writer.write(Buffer.alloc(100));
  writer.end();
  t.true(response.isEnded);
  t.is(response.writtenBytes, 100);
});

test('slow answer without a content length: streamed', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const writer = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 60_000));
  writer.start(CHUNKED);
  writer.write(Buffer.alloc(100));
  clock.advance(100);
  t.is(response.writtenBytes, 100);
  for (let chunk = 0; chunk < 20; chunk += 1) {
    writer.write(Buffer.alloc(100));
    t.is(response.writtenBytes, 200 + chunk * 100);
    clock.advance(50);
  }
  writer.end();
  t.true(response.isEnded);
});

test('content length without a body: head is sent', (t) => {
  const { clock, pacer } = startPacer();
  const response = new FakeResponse();
  const writer = pacer.open(response as unknown as ServerResponse, addMs(clock.read(), 100));
  writer.start({ status: 200, statusText: 'OK', headers: ['Content-Length', `${LARGE_BYTES}`] });
  writer.end();
  t.true(response.isBegun);
  t.true(response.isEnded);
});

test('other traffic on the link: large answers are slowed down', (t) => {
  const sendFor = (usedBytes: number): number => {
    const { clock, pacer, open } = startPacer();
    const { response, writer } = open();
    pacer.addOtherTraffic(usedBytes);
    writer.start({ status: 200, statusText: 'OK', headers: ['Content-Length', `${LARGE_BYTES}`] });
    writer.write(Buffer.alloc(LARGE_BYTES));
    writer.end();
    clock.advance(300);
    return response.writtenBytes;
  };
  const usedBytes = 40_000;
  const missingBytes = sendFor(0) - sendFor(usedBytes);
  t.true(Math.abs(missingBytes - usedBytes) <= 5_000, `${missingBytes}`);
});
