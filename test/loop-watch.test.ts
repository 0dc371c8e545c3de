/** Log lines and metrics of event loop turns and connections. */
import test from 'ava';
import { waitFor } from '../bench/mesh.js';
import { startSmallMesh } from '../bench/small-mesh.js';
import { NoopObserver } from '../src/calls/index.js';
import type { CallEnd } from '../src/calls/index.js';
import type { CancelTimer } from '../src/clock.js';
import { addMs } from '../src/clock.js';
import { LoopTurns } from '../src/edge/index.js';
import type { Instant } from '../src/ids.js';
import { MetricsRegistry } from '../src/metrics/index.js';
import type { LogFields } from '../src/program/logger.js';
import { LoopMonitor } from '../src/program/loop-monitor.js';
import { ManualClock } from './manual-clock.js';

const SECOND_MS = 1_000;

/** An event loop state controlled by the test. */
class FakeEventLoop {
  #turns = 0;
  #idleMs = 0;
  #now = 0;

  readonly read = () => ({ turns: this.#turns, idleMs: this.#idleMs, now: this.#now });

  turn(busyMs: number, idleMs = 0): void {
    this.#turns += 1;
    this.#idleMs += idleMs;
    this.#now += busyMs + idleMs;
  }
}

/** Fires its timers late, like a process that is paused. */
class LateClock extends ManualClock {
  readonly #lateMs: number;

  constructor(lateMs: number) {
    super();
    this.#lateMs = lateMs;
  }

  override callAt(deadline: Instant, wake: () => void): CancelTimer {
    return super.callAt(addMs(deadline, this.#lateMs), wake);
  }
}

function startMonitor(clock = new ManualClock()) {
  const loop = new FakeEventLoop();
  const lines: LogFields[] = [];
  const registry = new MetricsRegistry();
  const monitor = new LoopMonitor({
    log: (event, fields) => {
      lines.push({ event, ...(typeof fields === 'function' ? fields() : fields) });
    },
    clock,
    registry,
    next: new NoopObserver(),
    readLoopState: loop.read,
  });
  monitor.start();
  const listSamples = (name: string): string[] => {
    const text = registry.formatText().split('\n');
    return text.filter((line) => line.startsWith(`bilberryswitch_${name}`));
  };
  return { clock, loop, lines, monitor, listSamples };
}

const ENDED_CALL: CallEnd = {
  isForwarded: false,
  request: undefined,
  version: undefined,
  account: undefined,
  path: '/',
  attempt: 1,
  status: 200,
  reason: undefined,
  outcome: undefined,
  lateMs: undefined,
  attemptMs: undefined,
  milliseconds: 1,
};

test('turns: mean and longest, without idle time', (t) => {
  const loop = new FakeEventLoop();
  const recorded: [number, number][] = [];
  const turns = new LoopTurns((meanMs, count) => recorded.push([meanMs, count]), loop.read);
  loop.turn(4, 50);
  turns.mark();
  turns.mark();
  loop.turn(30);
  turns.mark();
  loop.turn(1, 10);
  loop.turn(3, 10);
  t.deepEqual(turns.readAndReset(), { turns: 4, busyMs: 38, longestMs: 30 });
  t.deepEqual(recorded, [
    [4, 1],
    [30, 1],
    [2, 2],
  ]);
  t.deepEqual(turns.readAndReset(), { turns: 0, busyMs: 0, longestMs: 0 });
});

test('many long turns: one accept per turn', (t) => {
  const { clock, loop, lines, monitor } = startMonitor();
  for (let count = 0; count < 20; count += 1) {
    loop.turn(50);
    monitor.acceptConnection('callers');
    monitor.reportFirstCall('callers', 50 + count);
    monitor.startCall(false);
    if (count % 2 === 0) monitor.endCall(ENDED_CALL);
  }
  monitor.startCall(true);
  monitor.acceptConnection('proxies');
  monitor.reportUnusedConnection('callers');
  clock.advance(SECOND_MS);
  t.is(lines.length, 1);
  const turns = { ms: 1_000, turns: 20, meanTurnMs: 50, longestTurnMs: 50, busyMs: 1_000 };
  t.like(lines[0], { event: 'loop-busy', ...turns, accepted: 20, acceptedForwards: 1 });
  t.like(lines[0], { unused: 1, firstCallMs: 69, calls: 20, forwards: 1 });
  t.like(lines[0], { openCalls: 10, openForwards: 1 });
  clock.advance(SECOND_MS);
  t.is(lines.length, 1);
});

test('one long turn: logged with few turns', (t) => {
  const { clock, loop, lines, monitor } = startMonitor();
  loop.turn(2_000);
  monitor.acceptConnection('callers');
  clock.advance(SECOND_MS);
  t.like(lines[0], { turns: 1, longestTurnMs: 2_000, accepted: 1 });
});

test('one long turn among many idle ones: logged', (t) => {
  const { clock, loop, lines } = startMonitor(new LateClock(800));
  for (let count = 0; count < 200; count += 1) loop.turn(0.1, 4);
  loop.turn(800);
  clock.advance(SECOND_MS);
  t.is(lines.length, 0);
  clock.advance(SECOND_MS);
  t.like(lines[0], { ms: 1_800, turns: 201, meanTurnMs: 4.1, longestTurnMs: 800, accepted: 0 });
});

test('short turns: no line', (t) => {
  const { clock, loop, lines, monitor } = startMonitor();
  for (let count = 0; count < 400; count += 1) {
    loop.turn(1.9, 0.6);
    monitor.startCall(false);
    monitor.endCall(ENDED_CALL);
  }
  clock.advance(SECOND_MS);
  clock.advance(SECOND_MS);
  t.is(lines.length, 0);
});

test('no line after the stop', (t) => {
  const { clock, loop, lines, monitor } = startMonitor();
  monitor.stop();
  loop.turn(2_000);
  clock.advance(SECOND_MS);
  t.is(lines.length, 0);
});

test('turns and connections: metrics', (t) => {
  const { clock, loop, monitor, listSamples } = startMonitor();
  monitor.acceptConnection('callers');
  monitor.acceptConnection('callers');
  monitor.acceptConnection('proxies');
  monitor.reportFirstCall('callers', 40);
  monitor.reportUnusedConnection('callers');
  loop.turn(40);
  loop.turn(80);
  clock.advance(SECOND_MS);
  const prefix = 'bilberryswitch_';
  t.deepEqual(listSamples('connections_'), [
    `${prefix}connections_accepted_total{listener="callers"} 2`,
    `${prefix}connections_accepted_total{listener="proxies"} 1`,
    `${prefix}connections_unused_total{listener="callers"} 1`,
  ]);
  t.deepEqual(listSamples('loop_longest_turn_seconds'), [
    `${prefix}loop_longest_turn_seconds 0.06`,
  ]);
  t.deepEqual(listSamples('loop_turn_seconds_'), [
    `${prefix}loop_turn_seconds_sum 0.12`,
    `${prefix}loop_turn_seconds_count 2`,
  ]);
  t.deepEqual(listSamples('connection_first_call_seconds_sum'), [
    `${prefix}connection_first_call_seconds_sum{listener="callers"} 0.04`,
  ]);
});

const PAUSE_MS = 1_600;
/** The pending timer was due at most one second after the pause began, so at least this much delay is seen. */
const MIN_REPORTED_MS = 500;

test('paused process: logged as busy loop', async (t) => {
  const { mesh, processes } = await startSmallMesh(1, 0);
  t.teardown(() => mesh.stop());
  const [, proxy] = processes;
  if (proxy === undefined) throw new Error('the mesh has no proxy');
  const from = proxy.output().length;
  proxy.child.kill('SIGSTOP');
  await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
  proxy.child.kill('SIGCONT');
  const line = await waitFor('the line', () => {
    const lines = proxy.output().slice(from).split('\n');
    return lines.slice(0, -1).find((text) => text.includes('"loop-busy"'));
  });
  const { longestTurnMs, accepted } = JSON.parse(line) as Record<string, number>;
  t.true((longestTurnMs ?? 0) >= MIN_REPORTED_MS, line);
  t.is(accepted, 0);
});
