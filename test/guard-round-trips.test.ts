/** How the round-trip time to guards shortens the deadlines of attempts; without sockets. */
import test from 'ava';
import { AttemptFilter } from '../src/calls/attempt-filter.js';
import type { AttemptIn, AttemptOut } from '../src/calls/attempt-messages.js';
import { GuardFilter } from '../src/calls/guard-filter.js';
import type { GuardIn } from '../src/calls/guard-filter.js';
import { PrioritySlotPolicy, TwoChoicesPicker } from '../src/calls/index.js';
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
  Version,
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
const WARMED_UP = addMs(START, 60_000);
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
    const version = 3 as Version;
    const call = {
      head: makeHead(id),
      version,
      service,
      requestKind,
      worth: 1,
      deadline,
      subject: id,
    };
    const dispatch = this.post({ kind: 'claimed', call }, now).find(
      (output) => output.kind === 'dispatch',
    );
    if (dispatch === undefined) throw new Error('the attempt was not dispatched');
    return dispatch.head;
  }

  /** Simulates one answered call with this round-trip time in milliseconds. */
  answer(id: string, roundTripMs: number, now: Instant): void {
    const { attempt } = this.send(id, 10_000, now);
    const load = { running: 0, waiting: 0, runMs: HELD_MS, heldMs: HELD_MS };
    const answeredAt = addMs(now, roundTripMs + HELD_MS);
    this.post({ kind: 'answer-started', attempt, status: 200, load }, answeredAt);
    this.post({ kind: 'answer-complete', attempt }, answeredAt);
  }

  /** Simulates calls until the estimate converges; returns the margin of the reply deadline in milliseconds. */
  measureMargin(roundTripMs: number, timeoutMs: number): number {
    for (let index = 0; index < 100; index += 1) {
      this.answer(`w${index}`, roundTripMs, addMs(WARMED_UP, index * 1_000));
    }
    const now = addMs(WARMED_UP, 200_000);
    const { deadline, replyBy = deadline } = this.send('last', timeoutMs, now);
    return addMs(now, timeoutMs) - replyBy;
  }
}

/** A guard of one server with one slot. */
class Guard {
  readonly #filter = new GuardFilter(() => new PrioritySlotPolicy());
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
    deadline: addMs(WARMED_UP, deadlineMs),
    replyBy: addMs(WARMED_UP, replyByMs),
    subject: attempt,
    suspect: false,
  };
}

test('margin covers the measured round trip', (t) => {
  t.true(new Entry('far').measureMargin(120, 10_000) >= 120);
});

test('unknown guard: round trip of the other guards', (t) => {
  const entry = new Entry('near', 'fresh');
  for (let index = 0; index < 100; index += 1) entry.answer(`w${index}`, 2, WARMED_UP);
  const { deadline, replyBy = deadline } = entry.send('last', 10_000, WARMED_UP);
  t.true(replyBy >= addMs(WARMED_UP, 10_000 - 10));
});

test('short round trip: small margin', (t) => {
  t.true(new Entry('near').measureMargin(2, 10_000) <= 10);
});

test('run time is not part of the round trip', (t) => {
  t.true(new Entry('near').measureMargin(2, 10_000) < HELD_MS);
});

test('short timeout: margin is at most a quarter of it', (t) => {
  t.true(new Entry('far').measureMargin(900, 200) <= 200 / 4 + 3);
});

test('stalled guard: margin is at most 250 ms', (t) => {
  t.true(new Entry('far').measureMargin(5_000, 60_000) <= 250 + 3);
});

test('waiting attempt is rejected at the reply deadline', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARMED_UP);
  guard.list({ kind: 'admit', head: makeAttempt('b', 100, 61) }, WARMED_UP);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARMED_UP, 50)), 11);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 61)), ['deadline b']);
});

test('run continues after the reply deadline until its deadline', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 100, 60) }, WARMED_UP);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 61)), []);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 100)), ['stop-run']);
});

test('run that waited continues until its deadline', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARMED_UP);
  guard.list({ kind: 'admit', head: makeAttempt('b', 100, 60) }, WARMED_UP);
  const ended = { kind: 'run-ended', attempt: 'a' as AttemptId, ending: 'not-sent' } as const;
  t.deepEqual(guard.list(ended, addMs(WARMED_UP, 10)), ['run b']);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 61)), []);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARMED_UP, 62)), 38);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 100)), ['stop-run']);
});

test('planned stop: stops a run that waited', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 1_000, 1_000) }, WARMED_UP);
  guard.list({ kind: 'stopping', answerBy: addMs(WARMED_UP, 100) }, WARMED_UP);
  guard.list({ kind: 'admit', head: makeAttempt('b', 1_000, 900) }, WARMED_UP);
  const ended = { kind: 'run-ended', attempt: 'a' as AttemptId, ending: 'not-sent' } as const;
  t.deepEqual(guard.list(ended, addMs(WARMED_UP, 10)), ['run b']);
  t.deepEqual(guard.list({ kind: 'tick' }, addMs(WARMED_UP, 100)), ['stop-run']);
});

test('run of a removed server: wake-up at its deadline', (t) => {
  const guard = new Guard();
  guard.list({ kind: 'admit', head: makeAttempt('a', 100, 100) }, WARMED_UP);
  guard.list({ kind: 'servers', servers: [] }, WARMED_UP);
  t.is(guard.findWake({ kind: 'tick' }, addMs(WARMED_UP, 10)), 90);
});

test('late refusal: no retry that could make the outcome unknown', (t) => {
  const entry = new Entry('far', 'farther');
  const { attempt } = entry.send('c', 1_000, WARMED_UP);
  const failed = { kind: 'attempt-failed', attempt, failure: REFUSED } as const;
  const outputs = entry.post(failed, addMs(WARMED_UP, 980));
  t.deepEqual(
    outputs.filter(({ kind }) => kind !== 'wake'),
    [{ kind: 'refuse', id: makeHead('c').id, reason: 'deadline', outcome: 'not-run' }],
  );
});

test('held time is encoded in the load header', (t) => {
  const load = { running: 1, waiting: 2, runMs: 30, heldMs: 45.5 };
  t.deepEqual(parseLoad(formatLoad(load)), load);
  t.deepEqual(parseLoad('1;2;30.0'), { running: 1, waiting: 2, runMs: 30 });
});
