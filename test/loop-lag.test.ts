/** How long messages may have waited before a busy process read them. */
import test from 'ava';
import { LoopLag } from '../src/edge/loop-lag.js';

function keepBusy(milliseconds: number): void {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
}

const wait = (milliseconds: number) => new Promise((resolve) => setTimeout(resolve, milliseconds));

test.serial('busy process', async (t) => {
  const lag = new LoopLag();
  lag.measure();
  await wait(5);
  keepBusy(150);
  t.true(lag.measure() >= 140);
});

test.serial('idle process', async (t) => {
  const lag = new LoopLag();
  lag.measure();
  await wait(200);
  t.is(lag.measure(), 0);
});
