/** Scheduling of pulls from peers behind slow links, without sockets. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, Instant, Version } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { PullScheduler } from '../src/distribution/pull-scheduler.js';

const START = 1_000_000 as Instant;
const SLOW = '10.0.0.1:1' as Address;
const OTHER = '10.0.0.2:1' as Address;
const NEWEST = 7 as Version;
const HELD = 6 as Version;
/** When {@link OTHER} is asked, after the pull from {@link SLOW} timed out. */
const ASKED_OTHER = addMs(START, 2_000);

/** Pulls from the slow peer, and from the other one after a timeout of one second. */
function askBoth(): PullScheduler {
  const scheduler = new PullScheduler(new SeededRandom(1));
  scheduler.addHolder(SLOW, NEWEST, START);
  scheduler.pickNext(NO_VERSION, [], START);
  scheduler.pickNext(NO_VERSION, [], addMs(START, 1_001));
  scheduler.addHolder(OTHER, NEWEST, ASKED_OTHER);
  scheduler.pickNext(NO_VERSION, [], ASKED_OTHER);
  return scheduler;
}

test('chunks arrive: no other peer is asked', (t) => {
  const scheduler = new PullScheduler(new SeededRandom(1));
  scheduler.addHolder(SLOW, NEWEST, START);
  t.is(scheduler.pickNext(NO_VERSION, [], START), SLOW);
  for (let chunk = 1; chunk <= 10; chunk += 1) {
    const now = addMs(START, chunk * 900);
    t.true(scheduler.extendPull(SLOW, now));
    t.is(scheduler.pickNext(NO_VERSION, [OTHER], addMs(now, 500)), undefined);
  }
});

test('late chunks of a slow peer: accepted', (t) => {
  const scheduler = askBoth();
  t.true(scheduler.isAsking(OTHER));
  t.true(scheduler.extendPull(SLOW, addMs(ASKED_OTHER, 10)));
  t.true(scheduler.isAsking(SLOW), 'the pull that makes progress is continued');
  t.true(scheduler.extendPull(OTHER, addMs(ASKED_OTHER, 20)));
});

test('chunks without a pull: ignored', (t) => {
  const scheduler = askBoth();
  t.false(scheduler.extendPull('10.0.0.3:1' as Address, ASKED_OTHER));
  scheduler.closeApplied(OTHER, NEWEST, ASKED_OTHER);
  t.false(scheduler.extendPull(SLOW, ASKED_OTHER));
});

test('link of a slow peer closes: its chunks are ignored', (t) => {
  const scheduler = askBoth();
  scheduler.closeBroken(SLOW, ASKED_OTHER);
  t.false(scheduler.extendPull(SLOW, ASKED_OTHER));
});

test('pull timed out: the next timeout doubles', (t) => {
  const scheduler = askBoth();
  t.is(scheduler.deadline, addMs(ASKED_OTHER, 2_000));
  scheduler.closeApplied(OTHER, NEWEST, ASKED_OTHER);
  scheduler.addHolder(OTHER, (NEWEST + 1) as Version, ASKED_OTHER);
  t.is(scheduler.pickNext(NEWEST, [], ASKED_OTHER), OTHER);
  t.is(scheduler.deadline, addMs(ASKED_OTHER, 200));
});

test('silent peer: another that offers the version is asked soon', (t) => {
  const scheduler = new PullScheduler(new SeededRandom(1));
  scheduler.addHolder(SLOW, NEWEST, START);
  t.is(scheduler.pickNext(HELD, [], START), SLOW);
  scheduler.addHolder(OTHER, NEWEST, addMs(START, 50));
  t.is(scheduler.deadline, addMs(START, 200));
  t.is(scheduler.pickNext(HELD, [], addMs(START, 199)), undefined);
  t.is(scheduler.pickNext(HELD, [], addMs(START, 200)), OTHER);
});

test('silent peers: an offer never waits for a doubled timeout', (t) => {
  const scheduler = new PullScheduler(new SeededRandom(1));
  scheduler.addHolder(SLOW, NEWEST, START);
  let now = START;
  for (let pulls = 0; pulls < 5; pulls += 1) {
    scheduler.pickNext(HELD, [SLOW], now);
    now = scheduler.deadline;
  }
  const askedAt = addMs(now, 1_000);
  t.is(scheduler.pickNext(HELD, [SLOW], askedAt), SLOW);
  scheduler.addHolder(OTHER, NEWEST, addMs(askedAt, 10));
  t.is(scheduler.pickNext(HELD, [], addMs(askedAt, 200)), OTHER);
});

test('pull of a whole configuration: an offer waits for its timeout', (t) => {
  const scheduler = new PullScheduler(new SeededRandom(1));
  scheduler.addHolder(SLOW, NEWEST, START);
  t.is(scheduler.pickNext(NO_VERSION, [], START), SLOW);
  scheduler.addHolder(OTHER, NEWEST, addMs(START, 50));
  t.is(scheduler.pickNext(NO_VERSION, [], addMs(START, 999)), undefined);
  t.is(scheduler.pickNext(NO_VERSION, [], addMs(START, 1_000)), OTHER);
});

test('silent peer, then an answer without a newer version: the first timeout again', (t) => {
  const scheduler = new PullScheduler(new SeededRandom(1));
  let now = START;
  for (let pulls = 0; pulls < 3; pulls += 1) {
    scheduler.requestAttempt(now);
    scheduler.pickNext(HELD, [SLOW], now);
    now = addMs(scheduler.deadline, 1_000);
  }
  scheduler.requestAttempt(now);
  t.is(scheduler.pickNext(HELD, [OTHER], now), OTHER);
  scheduler.closeEmpty(OTHER, HELD, now);
  scheduler.requestAttempt(now);
  t.is(scheduler.pickNext(HELD, [OTHER], now), OTHER);
  t.is(scheduler.deadline, addMs(now, 200));
});
