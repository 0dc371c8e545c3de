/** Calls refused by a process that is too busy. */
import test from 'ava';
import type { RoutedCall } from '../src/calls/classify-filter.js';
import { ShedFilter } from '../src/calls/shed-filter.js';
import { addMs } from '../src/clock.js';
import type { ServiceName } from '../src/ids.js';
import { makeHead, makeKind, START } from './call-resources.js';

const WORTHS = [0.1, 1, 4];
const CALLS_PER_WORTH = 20;
const STEP_MS = 5;

function makeCall(worth: number): RoutedCall {
  return {
    head: makeHead('c'),
    service: 'shop' as ServiceName,
    requestKind: makeKind('k', { worth }),
    deadline: addMs(START, 1e6),
    subject: 'c',
  };
}

/** Passes calls of all worths for some rounds of 100 ms; counts the refused ones of the last round. */
function run(lags: readonly number[]): Map<number, number> {
  const filter = new ShedFilter();
  const state = filter.createState();
  let refused = new Map<number, number>();
  let now = START;
  for (const lagMs of lags) {
    refused = new Map(WORTHS.map((worth) => [worth, 0]));
    for (let index = 0; index < CALLS_PER_WORTH; index += 1) {
      now = addMs(now, STEP_MS);
      for (const worth of WORTHS) {
        const [output] = filter.decide(state, { call: makeCall(worth), lagMs }, now).outputs;
        if (output?.kind !== 'refused') continue;
        refused.set(worth, (refused.get(worth) ?? 0) + 1);
      }
    }
  }
  return refused;
}

test('in time: nothing is refused', (t) => {
  t.deepEqual([...run([0, 0, 60, 0]).values()], [0, 0, 0]);
});

test('lag: the least worth first', (t) => {
  const [least = 0, middle = 0, most = 0] = run([150, 150, 150, 150]).values();
  t.true(least >= 15);
  t.true(least >= middle && middle >= most);
  t.is(most, 0);
});

test('one pause: nothing is refused', (t) => {
  t.deepEqual([...run([0, 300, 0]).values()], [0, 0, 0]);
});

test('lag that lasts: most are refused, never all', (t) => {
  const [least, middle, most = 0] = run(new Array<number>(12).fill(300)).values();
  t.deepEqual([least, middle], [CALLS_PER_WORTH, CALLS_PER_WORTH]);
  t.true(most > 0 && most < CALLS_PER_WORTH);
});

test('lag that is over: all go on again', (t) => {
  const lags = [300, 300, 300, 300, ...new Array<number>(12).fill(0)];
  t.deepEqual([...run(lags).values()], [0, 0, 0]);
});
