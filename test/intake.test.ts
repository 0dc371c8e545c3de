/** Which calls a busy process takes on, and in which order. */
import test from 'ava';
import { addMs } from '../src/clock.js';
import type { IntakeIn, IntakeOut } from '../src/calls/index.js';
import { IntakeFilter } from '../src/calls/index.js';
import type { CallId } from '../src/ids.js';
import { makeForwarded, makeRouted } from './intake-calls.js';
import { START } from './call-resources.js';

/** Drives one intake by plain messages. */
class IntakeRun {
  now = START;
  readonly #filter = new IntakeFilter();
  #state = this.#filter.createState();

  post(message: IntakeIn): IntakeOut[] {
    const step = this.#filter.decide(this.#state, message, this.now);
    this.#state = step.state;
    return [...step.outputs];
  }

  /** Takes calls on, one every `eachMs`, and lists them. */
  takeOn(turns: number, eachMs = 0): string[] {
    return Array.from({ length: turns }, () => {
      this.now = addMs(this.now, eachMs);
      return formNames(this.post({ kind: 'turn' }));
    }).flat();
  }

  endTurn(): string[] {
    return formNames(this.post({ kind: 'turn-over' }));
  }
}

function formNames(outputs: readonly IntakeOut[]): string[] {
  return outputs.flatMap((output) => {
    if (output.kind === 'want-turn') return [];
    if (output.kind === 'refuse') return [`${output.id} ${output.reason}`];
    return [output.kind === 'routed' ? output.call.head.id : output.id];
  });
}

test('nothing is begun without a turn', (t) => {
  const run = new IntakeRun();
  t.deepEqual(run.post(makeRouted('a', { now: START })), [{ kind: 'want-turn' }]);
  t.deepEqual(run.takeOn(1), ['a']);
  t.deepEqual(run.takeOn(1), []);
});

test('asks for turns while calls wait', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('a', { now: START }));
  run.post(makeRouted('b', { now: START }));
  t.true(run.post({ kind: 'turn' }).some(({ kind }) => kind === 'want-turn'));
  t.false(run.post({ kind: 'turn' }).some(({ kind }) => kind === 'want-turn'));
});

test('worth goes first, then arrival', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('low', { now: START, worth: 1 }));
  run.post(makeRouted('high-1', { now: START, worth: 4 }));
  run.post(makeRouted('high-2', { now: START, worth: 4 }));
  t.deepEqual(run.takeOn(3), ['high-1', 'high-2', 'low']);
});

test('of equal worth, attempts of other proxies go before fresh calls', (t) => {
  const run = new IntakeRun();
  run.post(makeForwarded('low', { now: START, worth: 1 }));
  run.post(makeRouted('fresh', { now: START, worth: 4 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4 }));
  t.deepEqual(run.takeOn(3), ['attempt', 'fresh', 'low']);
});

test('what has waited too long is refused at the end of a turn', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('a', { now: START, aimMs: 80 }));
  run.post(makeRouted('b', { now: START, aimMs: 800 }));
  run.now = addMs(START, 19);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 20);
  t.deepEqual(run.endTurn(), ['a proxy-overloaded']);
  t.deepEqual(run.takeOn(1), ['b']);
});

test('after one long turn calls are taken on, not refused', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('a', { now: START, aimMs: 80 }));
  run.now = addMs(START, 40);
  t.deepEqual(run.takeOn(1), ['a']);
});

test('what will not get its turn in time is refused at once', (t) => {
  const run = new IntakeRun();
  for (let index = 0; index < 20; index += 1) {
    run.post(makeRouted(`old-${index}`, { now: run.now, aimMs: 10_000 }));
  }
  t.is(run.takeOn(10, 5).length, 10);
  t.deepEqual(formNames(run.post(makeRouted('late', { now: run.now, aimMs: 180 }))), [
    'late proxy-overloaded',
  ]);
  t.deepEqual(formNames(run.post(makeRouted('patient', { now: run.now, aimMs: 240 }))), []);
  t.deepEqual(
    formNames(run.post(makeRouted('worthy', { now: run.now, aimMs: 180, worth: 9 }))),
    [],
  );
});

test('an empty queue refuses nothing, however slow it was', (t) => {
  const run = new IntakeRun();
  for (const name of ['a', 'b', 'c']) run.post(makeRouted(name, { now: run.now, aimMs: 90_000 }));
  run.takeOn(3, 1_000);
  t.deepEqual(run.post(makeRouted('d', { now: run.now, aimMs: 100 })), [{ kind: 'want-turn' }]);
});

test('what is worth least gives way first', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('low', { now: START, worth: 1, aimMs: 80 }));
  run.post(makeRouted('high', { now: START, worth: 4, aimMs: 80 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4, aimMs: 80 }));
  run.now = addMs(START, 79);
  t.deepEqual(run.endTurn(), ['low proxy-overloaded']);
  run.now = addMs(START, 80);
  t.deepEqual(run.endTurn(), ['attempt proxy-overloaded', 'high proxy-overloaded']);
});

test('a kind that comes no more is not the least', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('low', { now: run.now, worth: 1 }));
  run.takeOn(1);
  run.now = addMs(START, 2_001);
  run.post(makeRouted('high', { now: run.now, worth: 4, aimMs: 80 }));
  run.now = addMs(run.now, 20);
  t.deepEqual(run.endTurn(), ['high proxy-overloaded']);
});

test('callers that left take no turn', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('a', { now: START }));
  run.post(makeRouted('b', { now: START }));
  run.post({ kind: 'gone', id: 'a' as CallId });
  t.deepEqual(run.takeOn(2), ['b']);
});

test('a call whose aim has passed waits by its deadline', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('again', { now: START, aimMs: -50, deadlineMs: 800 }));
  run.now = addMs(START, 199);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 200);
  t.deepEqual(run.endTurn(), ['again proxy-overloaded']);
});

test('callers that left make no queue look slow', (t) => {
  const run = new IntakeRun();
  for (const name of ['a', 'b']) run.post(makeRouted(name, { now: run.now }));
  run.takeOn(1);
  run.post({ kind: 'gone', id: 'b' as CallId });
  run.now = addMs(run.now, 10_000);
  run.post(makeRouted('alone', { now: run.now }));
  run.takeOn(1);
  run.post(makeRouted('first', { now: run.now }));
  t.deepEqual(formNames(run.post(makeRouted('second', { now: run.now }))), []);
});

test('a stall makes no queue look slow for long', (t) => {
  const run = new IntakeRun();
  for (const name of ['a', 'b', 'c']) run.post(makeRouted(name, { now: run.now }));
  run.takeOn(1);
  run.takeOn(2, 3_000);
  t.deepEqual(run.endTurn(), []);
  run.post(makeRouted('alone', { now: run.now }));
  t.deepEqual(run.takeOn(1, 1), ['alone']);
  run.post(makeRouted('first', { now: run.now }));
  t.deepEqual(formNames(run.post(makeRouted('second', { now: run.now }))), []);
  t.deepEqual(run.takeOn(2, 1), ['first', 'second']);
});

test('no call waits past its deadline, however far its aim is', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('low', { now: START, worth: 1 }));
  run.takeOn(1);
  run.post(makeRouted('call', { now: START, worth: 4, aimMs: 800, deadlineMs: 200 }));
  run.post(makeForwarded('attempt', { now: START, worth: 4, aimMs: 800, deadlineMs: 200 }));
  run.now = addMs(START, 200);
  t.deepEqual(run.endTurn(), ['attempt proxy-overloaded', 'call proxy-overloaded']);
});

test('planned stop: what still waits at its end is refused', (t) => {
  const run = new IntakeRun();
  run.post(makeRouted('before', { now: START, aimMs: 8_000 }));
  run.post({ kind: 'stopping', answerBy: addMs(START, 500) });
  run.post(makeForwarded('after', { now: START, aimMs: 8_000 }));
  run.now = addMs(START, 499);
  t.deepEqual(run.endTurn(), []);
  run.now = addMs(START, 500);
  t.deepEqual(run.endTurn(), ['after proxy-overloaded', 'before proxy-overloaded']);
});
