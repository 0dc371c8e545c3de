/** Which calls a busy process accepts, and in which order. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { IntakeIn, IntakeOut } from '../src/calls/index.js';
import { IntakeFilter } from '../src/calls/index.js';
import type { CallId } from '../src/ids.js';
import { makeForwarded, makeRouted } from './intake-calls.js';
import { START } from './call-resources.js';

/** Drives an intake filter. */
class IntakeDriver {
  now = START;
  readonly #filter = new IntakeFilter();
  #state = this.#filter.createState();

  post(message: IntakeIn): IntakeOut[] {
    const step = this.#filter.decide(this.#state, message, this.now);
    this.#state = step.state;
    return [...step.outputs];
  }

  /** Sends `turns` turns, one every `intervalMs`, and lists the calls taken. */
  takeCalls(turns: number, intervalMs = 0): string[] {
    return Array.from({ length: turns }, () => {
      this.now = addMs(this.now, intervalMs);
      return buildNames(this.post({ kind: 'turn' }));
    }).flat();
  }

  endTurn(): string[] {
    return buildNames(this.post({ kind: 'turn-over' }));
  }
}

function buildNames(outputs: readonly IntakeOut[]): string[] {
  return outputs.flatMap((output) => {
    if (output.kind === 'want-turn') return [];
    if (output.kind === 'refuse') return [`${output.id} ${output.reason}`];
    return [output.kind === 'routed' ? output.call.head.id : output.id];
  });
}

test('no call is taken without a turn', (t) => {
  const run = new IntakeDriver();
  t.deepEqual(run.post(makeRouted('a', { now: START })), [{ kind: 'want-turn' }]);
  t.deepEqual(run.takeCalls(1), ['a']);
  t.deepEqual(run.takeCalls(1), []);
});

test('requests turns while calls wait', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('a', { now: START }));
  run.post(makeRouted('b', { now: START }));
  t.true(run.post({ kind: 'turn' }).some(({ kind }) => kind === 'want-turn'));
  t.false(run.post({ kind: 'turn' }).some(({ kind }) => kind === 'want-turn'));
});

test('ordered by worth, then by arrival', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('low', { now: START, worth: 1 }));
  run.post(makeRouted('high-1', { now: START, worth: 4 }));
  run.post(makeRouted('high-2', { now: START, worth: 4 }));
  t.deepEqual(run.takeCalls(3), ['high-1', 'high-2', 'low']);
});

test('equal worth: forwarded attempts before calls of callers', (t) => {
  const run = new IntakeDriver();
  run.post(makeForwarded('low', { now: START, worth: 1 }));
  run.post(makeRouted('fresh', { now: START, worth: 4 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4 }));
  t.deepEqual(run.takeCalls(3), ['attempt', 'fresh', 'low']);
});

test('expired calls are refused at the end of a turn', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('a', { now: START, fullValueMs: 80 }));
  run.post(makeRouted('b', { now: START, fullValueMs: 800 }));
  run.now = addMs(START, 19);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 20);
  t.deepEqual(run.endTurn(), ['a proxy-overloaded']);
  t.deepEqual(run.takeCalls(1), ['b']);
});

test('calls are taken after a long turn, not refused', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('a', { now: START, fullValueMs: 80 }));
  run.now = addMs(START, 40);
  t.deepEqual(run.takeCalls(1), ['a']);
});

test('call expected to wait too long is refused on arrival', (t) => {
  const run = new IntakeDriver();
  for (let index = 0; index < 20; index += 1) {
    run.post(makeRouted(`old-${index}`, { now: run.now, fullValueMs: 10_000 }));
  }
  t.is(run.takeCalls(10, 5).length, 10);
  t.deepEqual(buildNames(run.post(makeRouted('late', { now: run.now, fullValueMs: 180 }))), [
    'late proxy-overloaded',
  ]);
  t.deepEqual(buildNames(run.post(makeRouted('patient', { now: run.now, fullValueMs: 240 }))), []);
  t.deepEqual(
    buildNames(run.post(makeRouted('worthy', { now: run.now, fullValueMs: 180, worth: 9 }))),
    [],
  );
});

test('empty queue refuses no call, however slow it was', (t) => {
  const run = new IntakeDriver();
  for (const name of ['a', 'b', 'c'])
    run.post(makeRouted(name, { now: run.now, fullValueMs: 90_000 }));
  run.takeCalls(3, 1_000);
  t.deepEqual(run.post(makeRouted('d', { now: run.now, fullValueMs: 100 })), [
    { kind: 'want-turn' },
  ]);
});

test('calls of the lowest worth are shed first', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('low', { now: START, worth: 1, fullValueMs: 80 }));
  run.post(makeRouted('high', { now: START, worth: 4, fullValueMs: 80 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4, fullValueMs: 80 }));
  run.now = addMs(START, 79);
  t.deepEqual(run.endTurn(), ['low proxy-overloaded']);
  run.now = addMs(START, 80);
  t.deepEqual(run.endTurn(), ['attempt proxy-overloaded', 'high proxy-overloaded']);
});

test('lowest worth expires without new calls', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('low', { now: run.now, worth: 1 }));
  run.takeCalls(1);
  run.now = addMs(START, 2_001);
  run.post(makeRouted('high', { now: run.now, worth: 4, fullValueMs: 80 }));
  run.now = addMs(run.now, 20);
  t.deepEqual(run.endTurn(), ['high proxy-overloaded']);
});

test('calls of disconnected callers are removed', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('a', { now: START }));
  run.post(makeRouted('b', { now: START }));
  run.post({ kind: 'gone', id: 'a' as CallId });
  t.deepEqual(run.takeCalls(2), ['b']);
});

test('full-value deadline passed: wait is bounded by the deadline', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('again', { now: START, fullValueMs: -50, deadlineMs: 800 }));
  run.now = addMs(START, 199);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 200);
  t.deepEqual(run.endTurn(), ['again proxy-overloaded']);
});

test('disconnected callers do not slow the estimate', (t) => {
  const run = new IntakeDriver();
  for (const name of ['a', 'b']) run.post(makeRouted(name, { now: run.now }));
  run.takeCalls(1);
  run.post({ kind: 'gone', id: 'b' as CallId });
  run.now = addMs(run.now, 10_000);
  run.post(makeRouted('alone', { now: run.now }));
  run.takeCalls(1);
  run.post(makeRouted('first', { now: run.now }));
  t.deepEqual(buildNames(run.post(makeRouted('second', { now: run.now }))), []);
});

test('estimate recovers quickly after a stall', (t) => {
  const run = new IntakeDriver();
  for (const name of ['a', 'b', 'c']) run.post(makeRouted(name, { now: run.now }));
  run.takeCalls(1);
  run.takeCalls(2, 3_000);
  t.deepEqual(run.endTurn(), []);
  run.post(makeRouted('alone', { now: run.now }));
  t.deepEqual(run.takeCalls(1, 1), ['alone']);
  run.post(makeRouted('first', { now: run.now }));
  t.deepEqual(buildNames(run.post(makeRouted('second', { now: run.now }))), []);
  t.deepEqual(run.takeCalls(2, 1), ['first', 'second']);
});

test('no call waits past its deadline', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('low', { now: START, worth: 1 }));
  run.takeCalls(1);
  run.post(makeRouted('call', { now: START, worth: 4, fullValueMs: 800, deadlineMs: 200 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4, fullValueMs: 800, deadlineMs: 200 }));
  run.now = addMs(START, 200);
  t.deepEqual(run.endTurn(), ['attempt proxy-overloaded', 'call proxy-overloaded']);
});

test('planned stop: waiting calls are refused at its end', (t) => {
  const run = new IntakeDriver();
  run.post(makeRouted('before', { now: START, fullValueMs: 8_000 }));
  run.post({ kind: 'stopping', answerBy: addMs(START, 500) });
  run.post(makeForwarded('after', { now: START, fullValueMs: 8_000 }));
  run.now = addMs(START, 499);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 500);
  t.deepEqual(run.endTurn(), ['after proxy-overloaded', 'before proxy-overloaded']);
});
