/** How long attempts wait before they are rejected in a lasting overload, in virtual time. */
import test from 'ava';
import { DeadlineHeap } from '../src/calls/deadline-heap.js';
import type { Admission } from '../src/calls/guarded-server.js';
import { GuardedServer } from '../src/calls/guarded-server.js';
import { PrioritySlotPolicy } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type { Address, AttemptId, Instant, RequestKindName } from '../src/ids.js';
import { SeededRandom } from '../src/random.js';
import { makeServer, START } from './call-resources.js';

const SERVER = '10.0.0.1:80' as Address;
const SLOTS = 18;
const RUN_MS = 100;
const FULL_VALUE_MS = 300;
const TIMEOUT_MS = 800;
const TICK_MS = 20;
const WARM_UP_END = addMs(START, 5_000);
const END = addMs(START, 25_000);

interface OverloadResult {
  arrived: number;
  answered: number;
  readonly refusedAfterMs: number[];
}

/** Sends `load` times the capacity of one server to its guard. */
function runOverload(load: number, seed: number): OverloadResult {
  const random = new SeededRandom(seed);
  const fields = { slots: SLOTS, warmAt: START };
  const server = new GuardedServer(makeServer(SERVER, fields), new PrioritySlotPolicy(), START);
  const events = new DeadlineHeap<(now: Instant) => void>();
  const arrivals = new Map<AttemptId, Instant>();
  const ends: OverloadResult = { arrived: 0, answered: 0, refusedAfterMs: [] };

  function apply(admissions: readonly Admission[], now: Instant): void {
    for (const admission of admissions) {
      if (admission.kind === 'run') run(admission.head.attempt, admission.head.deadline, now);
      else addRefusal(admission.attempt, now);
    }
  }

  function run(attempt: AttemptId, deadline: Instant, now: Instant): void {
    const endsAt = addMs(now, -Math.log(1 - random.next()) * RUN_MS);
    const isAnswered = endsAt <= deadline;
    events.add(isAnswered ? endsAt : deadline, (at) => {
      server.endRun(attempt, isAnswered ? 'answered' : 'cancelled', at);
      if (isAnswered && (arrivals.get(attempt) ?? START) >= WARM_UP_END) ends.answered += 1;
      apply(server.startWaiting(at), at);
    });
  }

  function addRefusal(attempt: AttemptId, now: Instant): void {
    const arrivedAt = arrivals.get(attempt) ?? START;
    if (arrivedAt >= WARM_UP_END) ends.refusedAfterMs.push(now - arrivedAt);
  }

  function tick(now: Instant): void {
    apply([...server.rejectLate(now), ...server.startWaiting(now)], now);
    if (now < END) events.add(addMs(now, TICK_MS), tick);
  }

  function arrive(now: Instant): void {
    const attempt = `a${arrivals.size}` as AttemptId;
    arrivals.set(attempt, now);
    if (now >= WARM_UP_END) ends.arrived += 1;
    const times = { deadline: addMs(now, TIMEOUT_MS), aim: addMs(now, FULL_VALUE_MS) };
    const requestKind = 'k' as RequestKindName;
    const head = { attempt, server: SERVER, requestKind, worth: 1, subject: attempt, ...times };
    apply(server.admit({ ...head, suspect: false }, now), now);
    const gapMs = (-Math.log(1 - random.next()) * RUN_MS) / (SLOTS * load);
    if (now < END) events.add(addMs(now, gapMs), arrive);
  }

  events.add(START, tick);
  events.add(START, arrive);
  for (let at = events.findNext(() => true); at !== undefined; at = events.findNext(() => true)) {
    for (const event of events.takeDue(at)) event(at);
  }
  return ends;
}

function countHeldTooLong({ refusedAfterMs }: OverloadResult): number {
  return refusedAfterMs.filter((ms) => ms > FULL_VALUE_MS).length;
}

for (const load of [1.3, 1.6, 2]) {
  test(`overload of ${load}: late attempts are rejected early`, (t) => {
    const ends = runOverload(load, 1);
    const share = countHeldTooLong(ends) / ends.refusedAfterMs.length;
    t.true(ends.refusedAfterMs.length > 1_000);
    t.true(share < 0.02, `${share} of the rejected attempts waited past their full-value deadline`);
  });
}

test('no overload: late attempts still run', (t) => {
  const { arrived, answered } = runOverload(0.8, 1);
  t.true(answered / arrived > 0.98, `${answered} of ${arrived}`);
});
