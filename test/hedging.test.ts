/** Hedges of single calls, without sockets. */
import test from 'ava';
import fc from 'fast-check';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import { HedgeBudget } from '../src/calls/hedge-budget.js';
import type { RetryBudgetLimits } from '../src/calls/index.js';
import { QuantileHedgePolicy, RunTimeHistogram, TwoChoicesPicker } from '../src/calls/index.js';
import { ServiceHedges } from '../src/calls/service-hedges.js';
import { addMs } from '../src/clock.js';
import type {
  Address,
  AttemptId,
  CallId,
  IdempotencyKey,
  Instant,
  ServiceName,
  Version,
} from '../src/ids.js';
import type { AttemptFailure, CallHead, RequestKindResource } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeMember, makeServer, START } from './call-resources.js';

const NOW = addMs(START, 60_000);
const RUN_MS = 10;
/** Later than the slowest usual run. */
const SLOW = addMs(NOW, 5 * RUN_MS);
const BUSY: AttemptFailure = {
  outcome: 'not-run',
  reason: 'busy',
  load: { running: 20, waiting: 0 },
};
const NOT_RUN: AttemptFailure = { outcome: 'not-run', reason: 'overloaded' };
const LOST: AttemptFailure = { outcome: 'unknown', reason: 'upstream-failed' };
const USUAL_RETRIES: RetryBudgetLimits = { perCall: 0.2, burst: 20, isShared: false };

/** Options of a {@link Driver}. */
interface DriverOptions {
  readonly share?: number | undefined;
  readonly servers?: number;
  readonly retries?: RetryBudgetLimits;
}

/** Drives an attempt filter whose estimates know runs of 10 ms. */
class Driver {
  readonly #filter: AttemptFilter;
  readonly #state;

  constructor({ share = 1, servers = 3, retries = USUAL_RETRIES }: DriverOptions = {}) {
    this.#filter = new AttemptFilter({
      place: makeMember('entry', []),
      picker: new TwoChoicesPicker(new SeededRandom(1)),
      retries,
      hedging: { share },
    });
    this.#state = this.#filter.createState();
    for (let index = 0; index < servers; index += 1) {
      const server = makeServer(`10.0.0.${index}:1`);
      this.post({ kind: 'member-up', member: makeMember(`host-${index}`, [server]) }, START);
    }
  }

  post(message: AttemptIn, now: Instant = NOW): AttemptOut[] {
    return [...this.#filter.decide(this.#state, message, now).outputs];
  }

  /** Starts a call and returns the server of its first attempt. */
  start(
    id: string,
    kind: Partial<RequestKindResource> = {},
    head: Partial<CallHead> = {},
    now = NOW,
  ): string {
    const requestKind = makeKind('k', { hedge: true, ...kind });
    const call = {
      head: makeHead(id, head),
      version: 1 as Version,
      service: 'shop' as ServiceName,
      requestKind,
      worth: 1,
      deadline: addMs(NOW, 1_000),
      subject: id,
    };
    const outputs = this.post({ kind: 'claimed', call }, now);
    const dispatch = outputs.find((output) => output.kind === 'dispatch');
    return dispatch?.kind === 'dispatch' ? dispatch.target.server : '';
  }

  /** Runs calls that take the usual time, so that the run times are known. */
  learn(calls = 100): this {
    for (let count = 0; count < calls; count += 1) {
      this.start(`known-${count}`);
      this.answer(`known-${count}`, 0, addMs(NOW, RUN_MS));
      this.post({ kind: 'answer-complete', attempt: makeAttempt(`known-${count}`) });
    }
    return this;
  }

  answer(id: string, count: number, now: Instant, status = 200): string[] {
    const load = { running: 1, waiting: 0, runMs: RUN_MS, heldMs: RUN_MS };
    const attempt = makeAttempt(id, count);
    return format(this.post({ kind: 'answer-started', attempt, status, load }, now));
  }

  fail(id: string, count: number, failure: AttemptFailure): string[] {
    const attempt = makeAttempt(id, count);
    return format(this.post({ kind: 'attempt-failed', attempt, failure }, SLOW));
  }

  tick(now: Instant = SLOW): string[] {
    return format(this.post({ kind: 'tick' }, now));
  }
}

const makeAttempt = (id: string, count = 0): AttemptId => `${id}.${count}` as AttemptId;

/** Formats decisions and hedge reports; leaves out observations and wake-ups. */
function format(outputs: readonly AttemptOut[]): string[] {
  return outputs.flatMap((output) => {
    switch (output.kind) {
      case 'dispatch':
        return `send ${output.head.attempt}${output.head.onlyIfFree === true ? ' if free' : ''}`;
      case 'relay':
      case 'cancel':
        return `${output.kind} ${output.attempt}`;
      case 'refuse':
        return `refuse ${output.reason} ${output.outcome}`;
      case 'hedge-reported':
        return output.result;
      default:
        return [];
    }
  });
}

test('slow run: hedge wins, first attempt is cancelled', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  t.deepEqual(driver.tick(addMs(NOW, RUN_MS - 1)), []);
  t.deepEqual(driver.tick(), ['send c.1 if free']);
  t.deepEqual(driver.answer('c', 1, addMs(SLOW, RUN_MS)), ['won', 'relay c.1', 'cancel c.0']);
});

test('first attempt wins, hedge is cancelled', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.answer('c', 0, SLOW), ['lost', 'relay c.0', 'cancel c.1']);
});

test('one hedge a call', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.tick(addMs(SLOW, 100)), []);
});

test('no limit: no timer, no estimate, no hedge', (t) => {
  const listOutputs = (share: number, hedge: boolean): unknown[] => {
    const driver = new Driver({ share }).learn();
    return [
      driver.post({ kind: 'tick' }, addMs(NOW, 1)),
      driver.start('c', { hedge }),
      driver.tick(),
    ];
  };
  t.deepEqual(listOutputs(0, true), listOutputs(0, false));
  t.notDeepEqual(listOutputs(1, true), listOutputs(0, false));
});

const ONCE_ONLY: readonly (readonly [string, Partial<RequestKindResource>, Partial<CallHead>])[] = [
  ['kind is not hedged', { hedge: false }, {}],
  ['kind is not idempotent', { idempotent: false }, {}],
  ['body cannot be sent again', {}, { repeatable: false }],
  ['call of a repeated run', {}, { attempt: 2 }],
  ['claimed key', { claim: true }, { key: 'k' as IdempotencyKey }],
  ['one server a call', { maxAttempts: 1 }, {}],
  ['large answers', { largeAnswers: true }, {}],
];

for (const [name, kind, head] of ONCE_ONLY) {
  // Guards against a second run of a call that must run once.
  test(`never hedged: ${name}`, (t) => {
    const driver = new Driver().learn();
    driver.start('c', kind, head);
    t.deepEqual(driver.tick(), []);
  });
}

// Guards against a wait for a slot that counts as a slow run.
test('attempt that may wait is not hedged', (t) => {
  const driver = new Driver({ servers: 2 }).learn();
  driver.start('c');
  t.deepEqual(driver.fail('c', 0, BUSY), ['send c.1']);
  t.deepEqual(driver.tick(addMs(SLOW, 500)), []);
});

test('redirected attempt: slow from its own start', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  t.deepEqual(driver.fail('c', 0, BUSY), ['send c.1 if free']);
  t.deepEqual(driver.tick(addMs(SLOW, RUN_MS - 1)), []);
  t.deepEqual(driver.tick(addMs(SLOW, 5 * RUN_MS)), ['send c.2 if free']);
});

// Guards against a declined hedge that is redirected, or that uses up a retry.
test('declined hedge leaves the first attempt alone', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.fail('c', 1, BUSY), ['declined']);
  t.deepEqual(driver.tick(addMs(SLOW, 99)), []);
  t.deepEqual(driver.fail('c', 0, LOST), ['send c.2 if free']);
  t.deepEqual(driver.answer('c', 2, SLOW), ['relay c.2']);
});

test('declined hedges: one more try', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  driver.fail('c', 1, BUSY);
  t.deepEqual(driver.tick(addMs(SLOW, 100)), ['send c.2 if free']);
  t.deepEqual(driver.fail('c', 2, BUSY), ['declined']);
  t.deepEqual(driver.tick(addMs(SLOW, 500)), []);
  t.deepEqual(driver.answer('c', 0, addMs(SLOW, 500)), ['relay c.0']);
});

// Guards against a call at a frozen server that is given up on because the limit was reached once.
test('limit reached: hedged later, reported once', (t) => {
  const driver = new Driver({ share: 0.005 }).learn();
  driver.start('c');
  t.deepEqual(driver.tick(), ['over-limit']);
  t.deepEqual(driver.tick(addMs(SLOW, 100)), []);
  driver.learn();
  t.deepEqual(driver.tick(addMs(SLOW, 200)), ['send c.1 if free']);
});

// Guards against a call that is left without an attempt, or that gets one attempt too many.
test('first attempt lost, hedge declined: redirected', (t) => {
  const driver = new Driver({ servers: 4 }).learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.fail('c', 0, LOST), []);
  t.deepEqual(driver.fail('c', 1, BUSY), ['declined', 'send c.2 if free']);
  t.deepEqual(driver.fail('c', 2, NOT_RUN), ['send c.3']);
  t.deepEqual(driver.fail('c', 3, NOT_RUN), ['refuse overloaded unknown']);
});

test('failed hedge is not sent again', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.fail('c', 1, LOST), ['failed']);
  t.deepEqual(driver.answer('c', 0, SLOW), ['relay c.0']);
});

// Guards against a third attempt while the hedge is running.
test('first attempt fails: left to the hedge', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.fail('c', 0, LOST), []);
  t.deepEqual(driver.answer('c', 1, SLOW), ['won', 'relay c.1']);
});

// Guards against a failure that is relayed because it came first.
test('status 500 while the other attempt runs: not relayed', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.answer('c', 0, SLOW, 500), ['cancel c.0']);
  t.deepEqual(driver.answer('c', 1, SLOW), ['won', 'relay c.1']);
});

test('both attempts at the deadline: cancelled, outcome unknown', (t) => {
  const driver = new Driver().learn();
  driver.start('c');
  driver.tick();
  t.deepEqual(driver.tick(addMs(NOW, 1_000)), ['cancel c.0', 'cancel c.1']);
  t.deepEqual(driver.fail('c', 0, LOST), []);
  t.deepEqual(driver.fail('c', 1, LOST), ['refuse deadline unknown']);
});

test('no other server with a free slot', (t) => {
  const driver = new Driver({ servers: 2 }).learn();
  const first = driver.start('c');
  // Fills the other server with calls that are not hedged.
  const outputs = Array.from({ length: 60 }, (_, index) =>
    driver.start(`full-${index}`, { hedge: false }),
  );
  t.true(outputs.filter((server) => server !== first).length >= 20);
  t.deepEqual(driver.tick(), ['no-room']);
});

// Guards against a server without answers that looks idle because each attempt there is cancelled for its hedge.
test('overtaken server is avoided', (t) => {
  const driver = new Driver().learn();
  const silent = driver.start('c');
  driver.tick();
  driver.answer('c', 1, SLOW);
  const later = addMs(SLOW, 500);
  const picks = Array.from({ length: 90 }, (_, index) => {
    const server = driver.start(`next-${index}`, { hedge: false }, {}, later);
    driver.post({ kind: 'gone', id: `next-${index}` as CallId }, later);
    return server;
  });
  t.true(picks.filter((server) => server === silent).length < 20);
});

// Guards against a hedge that is picked by cost alone and is sent to a full server.
test('hedge goes to a server with a free slot', (t) => {
  const driver = new Driver().learn();
  const first = Array.from({ length: 12 }, (_, index) => driver.start(`c${index}`));
  const full = first.find((server) => server !== first[0]);
  driver.fail(`c${first.indexOf(full ?? '')}`, 0, BUSY);
  const targets = driver
    .post({ kind: 'tick' }, SLOW)
    .flatMap((output) => (output.kind === 'dispatch' ? output.target.server : []));
  t.true(targets.length >= 8);
  t.false(targets.includes(full as Address));
});

// Guards against run times without the longest runs, by which ever more calls would count as slow.
test('overtaken runs count with their time so far', (t) => {
  const driver = new Driver().learn();
  for (let count = 0; count < 6; count += 1) {
    driver.start(`c${count}`);
    driver.tick();
    driver.answer(`c${count}`, 1, SLOW);
    driver.post({ kind: 'answer-complete', attempt: makeAttempt(`c${count}`, 1) });
  }
  driver.start('next');
  t.deepEqual(driver.tick(addMs(SLOW, -1)), []);
  t.deepEqual(driver.tick(addMs(SLOW, 10)), ['send next.1 if free']);
});

test('limit of the operators', (t) => {
  const driver = new Driver({ share: 0.05 }).learn();
  for (let count = 0; count < 10; count += 1) driver.start(`c${count}`);
  const results = driver.tick();
  t.is(results.filter((result) => result.startsWith('send')).length, 5);
  t.is(results.filter((result) => result === 'over-limit').length, 5);
});

test('retry budget', (t) => {
  const driver = new Driver({ retries: { perCall: 0, burst: 3, isShared: false } }).learn();
  for (let count = 0; count < 10; count += 1) driver.start(`c${count}`);
  const results = driver.tick();
  t.is(results.filter((result) => result.startsWith('send')).length, 3);
  t.is(results.filter((result) => result === 'over-retry-budget').length, 7);
});

// Guards against a limit that a sequence of calls and hedges can exceed.
test('hedges are never more than their share', (t) => {
  const share = fc.double({ min: 0, max: 1, noNaN: true });
  const steps = fc.array(fc.boolean(), { maxLength: 400 });
  const property = fc.property(share, steps, (limit, drawn) => {
    const budget = new HedgeBudget(limit);
    let [calls, hedges] = [0, 0];
    for (const isCall of drawn) {
      if (isCall) {
        calls += 1;
        budget.addCall();
      } else if (budget.hasToken()) {
        hedges += 1;
        budget.spend();
      }
    }
    return hedges <= limit * calls + 1e-9;
  });
  fc.assert(property, { seed: 20261207, numRuns: 300 });
  t.pass();
});

test('quantile: within a bucket of the sorted runs', (t) => {
  const runs = fc.array(fc.double({ min: 1, max: 60_000, noNaN: true }), {
    minLength: 50,
    maxLength: 500,
  });
  const property = fc.property(runs, fc.constantFrom(0.5, 0.9, 0.95, 0.99), (times, quantile) => {
    const histogram = new RunTimeHistogram();
    for (const ms of times) histogram.add(ms);
    const sorted = times.toSorted((left, right) => left - right);
    const index = Math.ceil(quantile * times.length - 1e-9) - 1;
    const [exact = 0, next = Infinity] = sorted.slice(index, index + 2);
    const found = histogram.findQuantile(quantile) ?? 0;
    return found >= exact * 0.999 && found <= next * 1.1;
  });
  fc.assert(property, { seed: 20261207, numRuns: 300 });
  t.pass();
});

test('run times that change: quantile follows', (t) => {
  const histogram = new RunTimeHistogram();
  for (let count = 0; count < 5_000; count += 1) histogram.add(300);
  for (let count = 0; count < 5_000; count += 1) histogram.add(20);
  t.true((histogram.findQuantile(0.95) ?? 0) < 30);
});

test('few runs: no quantile', (t) => {
  const histogram = new RunTimeHistogram();
  for (let count = 0; count < 49; count += 1) histogram.add(10);
  t.is(histogram.findQuantile(0.95), undefined);
});

test('small limit: only slower runs', (t) => {
  const histogram = new RunTimeHistogram();
  for (let run = 1; run <= 1_000; run += 1) histogram.add(2 ** (run / 100));
  const find = (share: number) => new QuantileHedgePolicy(share).findSlowRunMs(histogram) ?? 0;
  t.true(find(0.02) > find(0.05));
  t.is(find(0.05), find(0.5));
});

test('attempts without a free slot: short of room', (t) => {
  const hedges = new ServiceHedges(1);
  t.false(hedges.isShortOfRoom);
  for (let count = 0; count < 10; count += 1) hedges.addPlacement(true);
  t.true(hedges.isShortOfRoom);
  for (let count = 0; count < 40; count += 1) hedges.addPlacement(false);
  t.false(hedges.isShortOfRoom);
});
