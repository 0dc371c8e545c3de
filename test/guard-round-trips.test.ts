/** The way to a guard and back, as the deadlines of attempts take it into account; without sockets. */
import test from 'ava';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import { GuardFilter } from '../src/calls/guard-filter.js';
import type { GuardIn } from '../src/calls/guard-filter.js';
import { SharedSlots, TwoChoicesPicker } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import { formatLoad, parseLoad } from '../src/edge/call-headers.js';
import type {
  Address,
  AttemptId,
  DataCentreId,
  HostId,
  Instant,
  RegionId,
  RequestKindName,
  ServiceName,
} from '../src/ids.js';
import type { AttemptHead } from '../src/messages/index.js';
import { SeededRandom } from '../src/random.js';
import { makeHead, makeKind, makeMember, makeServer, START } from './call-resources.js';

const SERVER = '10.0.0.1:80' as Address;
const PLACE = {
  host: 'entry' as HostId,
  dataCentre: 'a' as DataCentreId,
  region: 'hu-central' as RegionId,
};
const WARM = addMs(START, 60_000);
const HELD_MS = 30;
const REFUSED = { outcome: 'not-run', reason: 'deadline' } as const;

/** An entry proxy with guards on other hosts. */
class Entry {
  readonly #filter = new AttemptFilter({
    place: PLACE,
    picker: new TwoChoicesPicker(new SeededRandom(1)),
  });
  readonly #state = this.#filter.createState();

  constructor(...hosts: string[]) {
    hosts.forEach((host, index) => {
      const servers = [makeServer(`10.0.0.${index}:1`)];
      this.post({ kind: 'member-up', member: makeMember(host, servers) }, START);
    });
  }

  post(message: AttemptIn, now: Instant): readonly AttemptOut[] {
    return this.#filter.decide(this.#state, message, now).outputs;
  }

  /** Sends a call at `now`; returns the head of its attempt. */
  send(id: string, timeoutMs: number, now: Instant): AttemptHead {
    const requestKind = makeKind('k', { idempotent: false, timeoutMs });
    const service = 'shop' as ServiceName;
    const deadline = addMs(now, timeoutMs);
    const call = { head: makeHead(id), service, requestKind, deadline, subject: id };
    const dispatch = this.post({ kind: 'claimed', call }, now).find(
      (output) => output.kind === 'dispatch',
    );
    if (dispatch === undefined) throw new Error('the call was not sent');
    return dispatch.head;
  }

  /** Plays one call whose way there and back takes `wayMs`. */
  answer(id: string, wayMs: number, now: Instant): void {
    const { attempt } = this.send(id, 10_000, now);
    const load = { running: 0, waiting: 0, runMs: HELD_MS, heldMs: HELD_MS };
    const answeredAt = addMs(now, wayMs + HELD_MS);
    this.post({ kind: 'answer-started', attempt, status: 200, load }, answeredAt);
    this.post({ kind: 'answer-complete', attempt }, answeredAt);
  }

  /** Plays calls until the estimate has settled; returns the time that is left for the way back. */
  measureMargin(wayMs: number, timeoutMs: number): number {
    for (let index = 0; index < 100; index += 1) {
      this.answer(`w${index}`, wayMs, addMs(WARM, index * 1_000));
    }
    const now = addMs(WARM, 200_000);
    const { deadline, replyBy = deadline } = this.send('last', timeoutMs, now);
    return addMs(now, timeoutMs) - replyBy;
  }
}

/** The guard of one server with one slot. */
class Guard {
  readonly #filter = new GuardFilter(() => new SharedSlots());
  readonly #state = this.#filter.createState();

  constructor() {
    this.list({ kind: 'servers', servers: [makeServer(SERVER, { slots: 1 })] }, START);
  }

  list(message: GuardIn, now: Instant): string[] {
    return this.#filter.decide(this.#state, message, now).outputs.flatMap((output) => {
      if (output.kind === 'wake') return [];
      if (output.kind === 'run') return [`run ${output.head.attempt}`];
      return [output.kind === 'reject' ? `${output.reason} ${output.attempt}` : output.kind];
    });
  }

  findWake(message: GuardIn, now: Instant): number | undefined {
    const { outputs } = this.#filter.decide(this.#state, message, now);
    const wakes = outputs.flatMap((output) => (output.kind === 'wake' ? [output.at] : []));
    return Math.min(...wakes) - now;
  }
}

function makeAttempt(attempt: string, deadlineMs: number, replyByMs: number): AttemptHead {
  return {
    attempt: attempt as AttemptId,
    server: SERVER,
    requestKind: 'k' as RequestKindName,
    worth: 1,
    deadline: addMs(WARM, deadlineMs),
    replyBy: addMs(WARM, replyByMs),
    subject: attempt,
    suspect: false,
  };
}

test('refusals get the measured way to come back', (t) => {
  t.true(new Entry('far').measureMargin(120, 10_000) >= 120);
});

test('way to a fresh guard is taken for that to the others', (t) => {
  const entry = new Entry('near', 'fresh');
  for (let index = 0; index < 100; index += 1) entry.answer(`w${index}`, 2, WARM);
  const { deadline, replyBy = deadline } = entry.send('last', 10_000, WARM);
  t.true(replyBy >= addMs(WARM, 10_000 - 10));
});

test('way to a near guard takes little of the time', (t) => {
  t.true(new Entry('near').measureMargin(2, 10_000) <= 10);
});

test('time of the run is no part of the way', (t) => {
  t.true(new Entry('near').measureMargin(2, 10_000) < HELD_MS);
});

test('short deadline is not eaten up by a long way', (t) => {
  t.true(new Entry('far').measureMargin(900, 200) <= 200 / 4 + 3);
});

test('guard that stalled does not hold back long calls', (t) => {
  t.true(new Entry('far').measureMargin(5_000, 60_000) <= 250 + 3);
});

test('waiting attempt is refused while the refusal can come back', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARM);
  guard.list({ kind: 'admit', head: makeAttempt('b', 100, 61) }, WARM);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARM, 50)), 11);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 61)), ['deadline b']);
});

test('run goes on until its deadline, late for a refusal or not', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 100, 60) }, WARM);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 61)), []);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 100)), ['stop-run']);
});

test('run that waited before goes on until its deadline', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARM);
  guard.list({ kind: 'admit', head: makeAttempt('b', 100, 60) }, WARM);
  const ended = { kind: 'run-ended', attempt: 'a' as AttemptId, ending: 'not-sent' } as const;
  t.deepEqual(guard.list(ended, addMs(WARM, 10)), ['run b']);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 61)), []);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARM, 62)), 38);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 100)), ['stop-run']);
});

test('planned stop: run that waited before ends by then', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARM);
  guard.list({ kind: 'stopping', answerBy: addMs(WARM, 100) }, WARM);
  guard.list({ kind: 'admit', head: makeAttempt('b', 1_000, 900) }, WARM);
  const ended = { kind: 'run-ended', attempt: 'a' as AttemptId, ending: 'not-sent' } as const;
  t.deepEqual(guard.list(ended, addMs(WARM, 10)), ['run b']);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARM, 100)), ['stop-run']);
});

test('guard wakes at the deadline of a run whose server has left', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 100, 100) }, WARM);
  guard.list({ kind: 'servers', servers: [] }, WARM);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARM, 10)), 90);
});

test('late refusal: no attempt that would leave the outcome unknown', (t) => {
  const entry = new Entry('far', 'farther');
  const { attempt } = entry.send('c', 1_000, WARM);
  const failed = { kind: 'attempt-failed', attempt, failure: REFUSED } as const;
  const outputs = entry.post(failed, addMs(WARM, 980));
  t.deepEqual(
    outputs.filter(({ kind }) => kind !== 'wake'),
    [{ kind: 'refuse', id: makeHead('c').id, reason: 'deadline', outcome: 'not-run' }],
  );
});

test('time at the guard goes over the wire', (t) => {
  const load = { running: 1, waiting: 2, runMs: 30, heldMs: 45.5 };
  t.deepEqual(parseLoad(formatLoad(load)), load);
  t.deepEqual(parseLoad('1;2;30.0'), { running: 1, waiting: 2, runMs: 30 });
});
