/** The guard filter and the quarantine of crashing requests, without sockets. */
import test from 'ava';
import fc from 'fast-check';
import type { GuardIn, GuardOut } from '../src/calls/guard-filter.js';
import { GuardFilter } from '../src/calls/guard-filter.js';
import { PrioritySlotPolicy } from '../src/calls/index.js';
import { addMs } from '../src/clock.js';
import type { Address, AttemptId, Instant, RequestKindName } from '../src/ids.js';
import type { Announcement, AttemptHead, CrashSeen } from '../src/messages/index.js';
import { makeServer, START } from './call-resources.js';

const SERVER = '10.0.0.1:80' as Address;
const WARMED_UP = addMs(START, 60_000);
const NAIVE_SLOTS = 3;

function makeAttempt(attempt: string, fields: Partial<AttemptHead> = {}): AttemptHead {
  return {
    attempt: attempt as AttemptId,
    server: SERVER,
    requestKind: 'k' as RequestKindName,
    worth: 1,
    deadline: addMs(WARMED_UP, 1_000),
    subject: attempt,
    suspect: false,
    ...fields,
  };
}

/** Drives a guard filter with one server. */
class GuardDriver {
  readonly #filter = new GuardFilter(() => new PrioritySlotPolicy());
  readonly #state = this.#filter.createState();
  readonly #server: Announcement;

  constructor(server: Partial<Announcement> = {}) {
    this.#server = makeServer(SERVER, { slots: NAIVE_SLOTS, ...server });
    this.announce({}, START);
  }

  announce(fields: Partial<Announcement>, now: Instant = WARMED_UP): string[] {
    return this.list({ kind: 'servers', servers: [{ ...this.#server, ...fields }] }, now);
  }

  post(message: GuardIn, now: Instant = WARMED_UP): GuardOut[] {
    const { outputs } = this.#filter.decide(this.#state, message, now);
    return outputs.filter(({ kind }) => kind !== 'wake');
  }

  list(message: GuardIn, now?: Instant): string[] {
    return this.post(message, now).map((output) => {
      if (output.kind === 'run') return `run ${output.head.attempt}`;
      if (output.kind === 'reject') return `${output.reason} ${output.attempt}`;
      return output.kind;
    });
  }

  admit(attempt: string, fields: Partial<AttemptHead> = {}, now?: Instant): string[] {
    return this.list({ kind: 'admit', head: makeAttempt(attempt, fields) }, now);
  }

  end(attempt: string, ending: 'answered' | 'lost' | 'cancelled', now?: Instant): string[] {
    return this.list({ kind: 'run-ended', attempt: attempt as AttemptId, ending }, now);
  }
}

/** A reference implementation with one list that is sorted at every step. */
class NaiveGuard {
  #waiting: AttemptHead[] = [];
  readonly running = new Set<string>();

  admit(head: AttemptHead, now: Instant): string[] {
    if (head.deadline <= now) return [`deadline ${head.attempt}`];
    this.#waiting.push(head);
    return this.#start(now);
  }

  end(attempt: string, now: Instant): string[] {
    return this.running.delete(attempt) ? this.#start(now) : [];
  }

  #start(now: Instant): string[] {
    const outputs: string[] = [];
    this.#waiting = this.#waiting.toSorted((left, right) => right.worth - left.worth);
    while (this.running.size < NAIVE_SLOTS) {
      const next = this.#waiting.shift();
      if (next === undefined) break;
      const isLate = next.deadline <= now;
      outputs.push(isLate ? `deadline ${next.attempt}` : `run ${next.attempt}`);
      if (!isLate) this.running.add(next.attempt);
    }
    return outputs;
  }
}

test('same as naive guard', (t) => {
  const step = fc.record({
    end: fc.boolean(),
    worth: fc.integer({ min: 1, max: 3 }),
    timeoutMs: fc.integer({ min: 0, max: 30 }),
    pause: fc.integer({ min: 0, max: 5 }),
    pick: fc.nat(9),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const driver = new GuardDriver();
      const naive = new NaiveGuard();
      let now = WARMED_UP;
      steps.forEach(({ end, worth, timeoutMs, pause, pick }, index) => {
        now = addMs(now, pause);
        const running = [...naive.running];
        const ended = running[pick % Math.max(1, running.length)] ?? 'none';
        const head = makeAttempt(`a${index}`, { worth, deadline: addMs(now, timeoutMs) });
        const ours = end
          ? driver.list({ kind: 'run-ended', attempt: ended as AttemptId, ending: 'not-sent' }, now)
          : driver.list({ kind: 'admit', head }, now);
        const theirs = end ? naive.end(ended, now) : naive.admit(head, now);
        t.deepEqual(ours, theirs);
      });
    }),
    { seed: 13, numRuns: 300 },
  );
});

test('higher worth runs first', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('a');
  driver.admit('low');
  driver.admit('high', { worth: 50 });
  t.deepEqual(driver.end('a', 'answered'), ['run high']);
});

test('attempt that cannot finish in time is rejected', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('a');
  driver.end('a', 'answered', addMs(WARMED_UP, 100));
  const deadline = addMs(WARMED_UP, 150);
  t.deepEqual(driver.admit('b', { deadline }, addMs(WARMED_UP, 100)), ['deadline b']);
});

test('run time estimate decays', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('a');
  driver.end('a', 'answered', addMs(WARMED_UP, 1_000));
  const later = addMs(WARMED_UP, 20_000);
  t.deepEqual(driver.admit('b', { deadline: addMs(later, 50) }, later), ['run b']);
});

test('slow start: a quarter of the slots', (t) => {
  const driver = new GuardDriver({ slots: 8, state: 'starting' });
  t.deepEqual(driver.admit('a'), ['no-server a']);
  driver.announce({ state: 'ready' });
  const started = ['b', 'c', 'd'].flatMap((attempt) => driver.admit(attempt));
  t.deepEqual(started, ['run b', 'run c']);
});

test('cancelled run: its slot stays reserved for a while', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('a');
  driver.admit('b');
  t.deepEqual(driver.end('a', 'cancelled'), []);
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 20)), ['run b']);
});

test('draining server rejects waiting and new attempts', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('a');
  driver.admit('b');
  t.deepEqual(driver.announce({ state: 'draining' }), ['draining b']);
  t.deepEqual(driver.admit('c'), ['draining c']);
});

test('deadline stops a run', (t) => {
  const driver = new GuardDriver();
  driver.admit('a', { deadline: addMs(WARMED_UP, 50) });
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 50)), ['stop-run']);
});

/** Crashes a server with these requests in flight, and returns the broadcasts of its guard. */
function runCrash(driver: GuardDriver, subjects: readonly string[], address: Address): CrashSeen[] {
  for (const subject of subjects) driver.admit(`${subject}@`, { subject });
  subjects.forEach((subject) => driver.end(`${subject}@`, 'lost'));
  const outputs = driver.post({ kind: 'probed', server: SERVER, accepts: false });
  return outputs.flatMap((output) =>
    output.kind === 'broadcast' ? [{ ...output.item, server: address }] : [],
  );
}

test('second crash quarantines a request', (t) => {
  const first = runCrash(new GuardDriver(), ['bad', 'good'], '10.0.0.2:80' as Address);
  t.is(first.length, 2);
  const second = runCrash(new GuardDriver(), ['bad'], '10.0.0.3:80' as Address);
  const third = new GuardDriver();
  for (const item of [...first, ...second]) third.post({ kind: 'broadcast', item });
  t.deepEqual(third.admit('bad!', { subject: 'bad' }), ['quarantined bad!']);
  t.deepEqual(third.admit('good!', { subject: 'good' }), ['run good!']);
  const later = addMs(WARMED_UP, 120_000);
  const laterAttempt = { subject: 'bad', deadline: addMs(later, 50) };
  t.deepEqual(third.admit('bad?', laterAttempt, later), ['run bad?']);
});

test('suspect requests run one at a time', (t) => {
  const driver = new GuardDriver();
  const crashes = runCrash(new GuardDriver(), ['bad', 'good'], '10.0.0.2:80' as Address);
  for (const item of crashes) driver.post({ kind: 'broadcast', item });
  t.deepEqual(driver.admit('good!', { subject: 'good' }), ['run good!']);
  t.deepEqual(driver.admit('bad!', { subject: 'bad' }), ['overloaded bad!']);
});

test('recently answered request is not a suspect', (t) => {
  const driver = new GuardDriver();
  driver.admit('a', { subject: 'popular' });
  driver.end('a', 'answered');
  t.deepEqual(runCrash(driver, ['popular'], SERVER), []);
});

test('server that is down recovers after a probe', (t) => {
  const driver = new GuardDriver();
  runCrash(driver, ['bad'], SERVER);
  t.deepEqual(driver.admit('a'), ['no-server a']);
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 500)), ['probe']);
  driver.list({ kind: 'probed', server: SERVER, accepts: true });
  t.deepEqual(driver.admit('b'), ['run b']);
});

test('failing server still accepts attempts', (t) => {
  const driver = new GuardDriver();
  driver.announce({ state: 'failing' });
  t.deepEqual(driver.admit('a'), ['run a']);
});

test('broken connection alone is not a crash', (t) => {
  const driver = new GuardDriver();
  driver.admit('a');
  t.deepEqual(driver.end('a', 'lost'), ['probe']);
  t.deepEqual(driver.list({ kind: 'probed', server: SERVER, accepts: true }), []);
  t.deepEqual(driver.admit('b'), ['run b']);
});

test('timely attempts run before late ones', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  t.deepEqual(driver.admit('running'), ['run running']);
  t.deepEqual(driver.admit('old', { aim: addMs(WARMED_UP, 50) }), []);
  t.deepEqual(driver.admit('young', { aim: addMs(WARMED_UP, 300) }), []);
  const ended = { kind: 'run-ended', attempt: 'running' as AttemptId, ending: 'answered' } as const;
  t.deepEqual(driver.list(ended, addMs(WARMED_UP, 100)), ['run young']);
  const next = { kind: 'run-ended', attempt: 'young' as AttemptId, ending: 'answered' } as const;
  t.deepEqual(driver.list(next, addMs(WARMED_UP, 200)), ['run old']);
});

test('timely attempts run in the order of arrival', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('running');
  driver.admit('first', { aim: addMs(WARMED_UP, 400) });
  driver.admit('second', { aim: addMs(WARMED_UP, 300) });
  const ended = { kind: 'run-ended', attempt: 'running' as AttemptId, ending: 'answered' } as const;
  t.deepEqual(driver.list(ended, addMs(WARMED_UP, 100)), ['run first']);
});

test('shed: the slot stays reserved for a while', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('shed');
  driver.admit('waits');
  const shed = { kind: 'run-ended', attempt: 'shed' as AttemptId, ending: 'shed' } as const;
  t.deepEqual(driver.list(shed, addMs(WARMED_UP, 1)), []);
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 99)), []);
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 102)), ['run waits']);
});

test('shed runs do not change the run time estimate', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  for (let index = 0; index < 20; index += 1) {
    const attempt = `a${index}`;
    const at = addMs(WARMED_UP, index * 400);
    driver.admit(attempt, { deadline: addMs(at, 1_000) }, at);
    const ending = index % 2 === 0 ? 'answered' : 'shed';
    const endsAt = addMs(at, ending === 'shed' ? 1 : 200);
    driver.post({ kind: 'run-ended', attempt: attempt as AttemptId, ending }, endsAt);
  }
  const now = addMs(WARMED_UP, 8_000);
  t.deepEqual(driver.admit('short', { deadline: addMs(now, 150) }, now), ['deadline short']);
});

test('late attempts beyond the slots are rejected', (t) => {
  const driver = new GuardDriver({ slots: 2 });
  for (const attempt of ['r0', 'r1']) driver.admit(attempt);
  for (let index = 0; index < 5; index += 1) {
    driver.admit(`w${index}`, { aim: addMs(WARMED_UP, 50) });
  }
  const ended = { kind: 'run-ended', attempt: 'r0' as AttemptId, ending: 'answered' } as const;
  const outputs = driver.list(ended, addMs(WARMED_UP, 100));
  t.deepEqual(outputs, ['run w0', 'overloaded w1', 'overloaded w2']);
});

test('onlyIfFree: rejected with the load if no slot is free', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  t.deepEqual(driver.admit('a', { onlyIfFree: true }), ['run a']);
  const head = makeAttempt('b', { onlyIfFree: true });
  const [refused] = driver.post({ kind: 'admit', head });
  t.like(refused, { kind: 'reject', reason: 'busy', load: { running: 1, waiting: 0 } });
  t.deepEqual(driver.admit('c'), [], 'attempts without onlyIfFree wait');
  t.deepEqual(driver.end('a', 'answered'), ['run c']);
});

test('server that announces warmAt: all slots', (t) => {
  const driver = new GuardDriver({ slots: 2, warmAt: addMs(WARMED_UP, 3_000) });
  driver.announce({ warmAt: addMs(WARMED_UP, 3_000) });
  t.deepEqual(driver.admit('a'), ['run a']);
  t.deepEqual(driver.admit('b'), ['run b']);
  t.deepEqual(driver.admit('c'), []);
});

test('planned stop: caps the deadlines of runs and later attempts', (t) => {
  const driver = new GuardDriver();
  const answerBy = addMs(WARMED_UP, 100);
  t.deepEqual(driver.admit('a'), ['run a']);
  t.deepEqual(driver.list({ kind: 'stopping', answerBy }), []);
  t.deepEqual(driver.admit('b', { deadline: addMs(WARMED_UP, 500) }), ['run b']);
  t.deepEqual(driver.list({ kind: 'tick' }, addMs(WARMED_UP, 99)), []);
  t.deepEqual(driver.list({ kind: 'tick' }, answerBy), ['stop-run', 'stop-run']);
});

test('timely attempts after a long wait: last in, first out', (t) => {
  const driver = new GuardDriver({ slots: 1 });
  driver.admit('running');
  driver.admit('first', { aim: addMs(WARMED_UP, 400) });
  driver.admit('second', { aim: addMs(WARMED_UP, 600) }, addMs(WARMED_UP, 200));
  const ended = { kind: 'run-ended', attempt: 'running' as AttemptId, ending: 'answered' } as const;
  t.deepEqual(driver.list(ended, addMs(WARMED_UP, 250)), ['run second']);
});
