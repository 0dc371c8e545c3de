/** Pulls from peers behind slow links, without sockets. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { Address, Instant, Version } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { CatchUp } from '../src/distribution/pull-scheduler.js';

const START = 1_000_000 as Instant;
const SLOW = '10.0.0.1:1' as Address;
const OTHER = '10.0.0.2:1' as Address;
const NEWEST = 7 as Version;
/** When {@link SLOW} has been given up and {@link OTHER} was asked. */
const ASKED_OTHER = addMs(START, 2_000);

/** Asks the slow peer, and the other one when nothing has come for a second. */
function askBoth(): CatchUp {
  const catchUp = new CatchUp(new SeededRandom(1));
  catchUp.addHolder(SLOW, NEWEST, START);
  catchUp.pickNext(NO_VERSION, [], START);
  catchUp.pickNext(NO_VERSION, [], addMs(START, 1_001));
  catchUp.addHolder(OTHER, NEWEST, ASKED_OTHER);
  catchUp.pickNext(NO_VERSION, [], ASKED_OTHER);
  return catchUp;
}

test('peer that sends parts: nobody else is asked', (t) => {
  const catchUp = new CatchUp(new SeededRandom(1));
  catchUp.addHolder(SLOW, NEWEST, START);
  t.is(catchUp.pickNext(NO_VERSION, [], START), SLOW);
  for (let part = 1; part <= 10; part += 1) {
    const now = addMs(START, part * 900);
    t.true(catchUp.extendPull(SLOW, now));
    t.is(catchUp.pickNext(NO_VERSION, [OTHER], addMs(now, 500)), undefined);
  }
});

test('late parts of a slow peer are taken', (t) => {
  const catchUp = askBoth();
  t.true(catchUp.isAsking(OTHER));
  t.true(catchUp.extendPull(SLOW, addMs(ASKED_OTHER, 10)));
  t.true(catchUp.isAsking(SLOW), 'the pull that makes progress is kept');
  t.true(catchUp.extendPull(OTHER, addMs(ASKED_OTHER, 20)));
});

test('parts that nobody asked for are left out', (t) => {
  const catchUp = askBoth();
  t.false(catchUp.extendPull('10.0.0.3:1' as Address, ASKED_OTHER));
  catchUp.closeApplied(OTHER, NEWEST, ASKED_OTHER);
  t.false(catchUp.extendPull(SLOW, ASKED_OTHER));
});

test('link of a slow peer breaks: its parts are left out', (t) => {
  const catchUp = askBoth();
  catchUp.closeBroken(SLOW, ASKED_OTHER);
  t.false(catchUp.extendPull(SLOW, ASKED_OTHER));
});

test('each peer that is asked in vain gives the next one more time', (t) => {
  const catchUp = askBoth();
  t.is(catchUp.deadline, addMs(ASKED_OTHER, 2_000));
  catchUp.closeApplied(OTHER, NEWEST, ASKED_OTHER);
  catchUp.addHolder(OTHER, (NEWEST + 1) as Version, ASKED_OTHER);
  t.is(catchUp.pickNext(NEWEST, [], ASKED_OTHER), OTHER);
  t.is(catchUp.deadline, addMs(ASKED_OTHER, 1_000));
});
