/** Rate limits of the log, and standard output without a reader. */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import type { HostId } from '../src/ids.js';
import { EVENT_RATES } from '../src/program/event-rates.js';
import { RateLimitedLog } from '../src/program/logger.js';
import { ListSink } from './list-sink.js';
import { ManualClock } from './manual-clock.js';

function startLog() {
  const clock = new ManualClock();
  const sink = new ListSink();
  const log = new RateLimitedLog({ host: 'host-0' as HostId, level: 'info', clock, sink });
  return { log, clock, sink };
}

test('dropped lines: fields are not built', (t) => {
  const { log, sink } = startLog();
  let formed = 0;
  for (let count = 0; count < 1_000; count += 1) {
    log.write('call-failed', () => ({ formed: (formed += 1) }));
  }
  t.is(formed, 50);
  t.is(sink.lines.length, 50);
  t.is(log.dropped.get('call-failed'), 950);
});

test('two rate limit keys of one event: limited separately', (t) => {
  const { log, sink } = startLog();
  for (let count = 0; count < 100; count += 1) log.write('call-failed');
  log.write('call-failed', { request: 'a-1' }, 'refused-call');
  t.is(sink.lines.length, 51);
  t.is(sink.lines.at(-1)?.request, 'a-1');
});

test('unread lines: counted and reported', (t) => {
  const { log, sink } = startLog();
  sink.isFull = true;
  let formed = 0;
  for (let count = 0; count < 3; count += 1) log.write('started', () => ({ count: (formed += 1) }));
  t.is(formed, 0);
  t.is(log.lost, 3);
  sink.isFull = false;
  log.write('stopping');
  t.deepEqual(
    sink.lines.map(({ event, lines }) => [event, lines]),
    [
      ['log-lines-lost', 3],
      ['stopping', undefined],
    ],
  );
});

test('every event: documented for operators', (t) => {
  const page = readFileSync('docs/OPERATIONS.md', 'utf8');
  const missing = Object.keys(EVENT_RATES).filter((event) => !page.includes(`\`${event}\``));
  t.deepEqual(missing, []);
});

/** Writes far more lines than a pipe and the buffer hold, then ends like a process of the program. */
const WRITER = `
import { SystemClock } from '${join(import.meta.dirname, '..', 'src', 'clock.js')}';
import { createLineSink } from '${join(import.meta.dirname, '..', 'src', 'program', 'line-sink.js')}';
const sink = createLineSink();
let turns = 0;
const timer = setInterval(() => {
  turns += 1;
  for (let count = 0; count < 1_000; count += 1) if (sink.admit()) sink.write('x'.repeat(1_000) + '\\n');
  if (turns < 10) return;
  clearInterval(timer);
  process.stderr.write(\`lost \${sink.lost}\`);
  void sink.close(new SystemClock());
}, 1);
`;

test('unread standard output: lines are counted, process exits', async (t) => {
  const args = ['--input-type=module', '--eval', WRITER];
  const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
  t.teardown(() => child.kill('SIGKILL'));
  let told = '';
  child.stderr.on('data', (chunk: Buffer) => (told += chunk.toString()));
  const [code] = (await once(child, 'exit')) as [number | null];
  t.is(code, 0);
  const lost = Number(/lost (\d+)/.exec(told)?.[1]);
  t.true(lost > 9_000 && lost < 10_000, told);
});
