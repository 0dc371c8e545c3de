/** Measurement of the event loop lag. */
import test from 'ava';
import { LoopLag } from '../src/edge/loop-lag.js';

const BUSY_MS = 150;
const IDLE_MS = 200;
/** A shorter lag is reported as 0. */
const MIN_LAG_MS = 50;

function keepBusy(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

const wait = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));

test.serial('busy process', async (t) => {
  const lag = new LoopLag();
  await wait(5);
  // The timer is due at the end of the busy time, so that exactly one turn is measured.
  const nextTurn = wait(1);
  lag.measure();
  keepBusy(BUSY_MS);
  await nextTurn;
  t.true(lag.measure() >= BUSY_MS - 10);
});

test.serial('idle process', async (t) => {
  const start = performance.eventLoopUtilization();
  const lag = new LoopLag();
  lag.measure();
  await wait(IDLE_MS);
  const lagMs = lag.measure();
  const { active, idle } = performance.eventLoopUtilization(start);
  t.true(idle > 0);
  if (active < MIN_LAG_MS) t.is(lagMs, 0);
  else t.true(lagMs <= active, `${lagMs} ms of ${active} ms`);
});
