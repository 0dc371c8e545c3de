/** The metrics and their text format. */
import test from 'ava';
import type { Address, HostId, Version } from '../src/ids.js';
import { Counter, DurationSummary, Gauge, MetricsRegistry } from '../src/metrics/index.js';
import { CallMetrics } from '../src/program/call-metrics.js';
import { RateLimitedLog } from '../src/program/logger.js';
import { addLogMetrics } from '../src/program/process-metrics.js';
import { VersionMetrics } from '../src/program/version-metrics.js';
import { ListSink } from './list-sink.js';
import { ManualClock } from './manual-clock.js';

test('counter text', (t) => {
  const registry = new MetricsRegistry();
  const refused = registry.add(new Counter('refused_calls_total', 'Calls refused.'));
  refused.add({ reason: 'a"b' });
  refused.add({ reason: 'a"b' }, 2);
  t.is(
    registry.formatText(),
    '# HELP bilberryswitch_refused_calls_total Calls refused.\n' +
      '# TYPE bilberryswitch_refused_calls_total counter\n' +
      'bilberryswitch_refused_calls_total{reason="a\\"b"} 3\n',
  );
});

test('gauge is read on request', (t) => {
  const registry = new MetricsRegistry();
  let version = 1;
  registry.add(new Gauge('held_version', 'Version held.', () => [{ value: version }]));
  version = 7;
  t.regex(registry.formatText(), /bilberryswitch_held_version 7\n/);
});

test('summary quantiles', (t) => {
  const summary = new DurationSummary('call_duration_seconds', 'Time of a call.');
  for (let milliseconds = 1; milliseconds <= 100; milliseconds += 1)
    summary.record({}, milliseconds);
  const values = new Map(
    summary.listSamples().map(({ suffix, labels, value }) => [suffix + labels, value]),
  );
  t.is(values.get('_count'), 100);
  const median = values.get('{quantile="0.5"}') ?? 0;
  t.true(Math.abs(median - 0.05) <= 0.001, `${median}`);
});

test('duplicate name is rejected', (t) => {
  const registry = new MetricsRegistry();
  registry.add(new Counter('x_total', 'X.'));
  t.throws(() => registry.add(new Counter('x_total', 'X.')), { message: /exists already/ });
});

function listLines(registry: MetricsRegistry, name: string): string[] {
  const lines = registry.formatText().split('\n');
  return lines.filter((line) => line.startsWith(`bilberryswitch_${name}`));
}

test('attempts and retries are counted', (t) => {
  const registry = new MetricsRegistry();
  const metrics = new CallMetrics(registry);
  const server = '10.0.0.1:80' as Address;
  const end = {
    server,
    request: 'a-1',
    version: undefined,
    attempt: 1,
    isLocal: true,
    cause: undefined,
  };
  const refused = { outcome: 'not-run', reason: 'shed', proof: 'marked-answer' } as const;
  metrics.endAttempt({ ...end, ...refused, status: 503, milliseconds: 3 });
  const answered = { outcome: 'answered', reason: undefined, proof: 'marked-answer' } as const;
  metrics.endAttempt({ ...end, ...answered, status: 200, milliseconds: 3 });
  metrics.sendAgain(undefined, {
    kind: 'sent-again',
    id: 'c' as never,
    attempt: 2,
    from: server,
    to: server,
    reason: 'shed',
    outcome: 'not-run',
    isIdempotent: false,
  });
  const ends = 'bilberryswitch_attempts_total';
  t.deepEqual(listLines(registry, 'attempts_total'), [
    `${ends}{outcome="not-run",proof="marked-answer",reason="shed",target="backend-server"} 1`,
    `${ends}{outcome="answered",proof="marked-answer",reason="none",target="backend-server"} 1`,
  ]);
  const again = 'bilberryswitch_calls_sent_again_total';
  t.deepEqual(listLines(registry, 'calls_sent_again_total'), [
    `${again}{idempotent="false",outcome="not-run",reason="shed"} 1`,
  ]);
});

test('hedges are counted by result', (t) => {
  const registry = new MetricsRegistry();
  const metrics = new CallMetrics(registry);
  const again = { id: 'c' as never, attempt: 2, to: '10.0.0.1:80' as Address, from: undefined };
  const hedge = { reason: 'hedge', outcome: 'unknown', isIdempotent: true } as const;
  metrics.sendAgain(undefined, { kind: 'sent-again', ...again, ...hedge });
  metrics.reportHedge(undefined, 'won');
  t.deepEqual(listLines(registry, 'hedges_total'), [
    'bilberryswitch_hedges_total{result="started"} 1',
    'bilberryswitch_hedges_total{result="won"} 1',
  ]);
});

test('age of the served version', (t) => {
  const registry = new MetricsRegistry();
  const clock = new ManualClock();
  const versions = new VersionMetrics(registry, clock);
  t.deepEqual(listLines(registry, 'proxy_version_age_seconds'), []);
  versions.handleHeld(8 as Version);
  versions.handleServed(7 as Version);
  clock.advance(2_500);
  t.deepEqual(listLines(registry, 'proxy_version'), [
    'bilberryswitch_proxy_version{use="held"} 8',
    'bilberryswitch_proxy_version{use="served"} 7',
    'bilberryswitch_proxy_version_age_seconds 2.5',
  ]);
});

test('dropped log lines are counted', (t) => {
  const registry = new MetricsRegistry();
  const sink = new ListSink();
  const clock = new ManualClock();
  const log = new RateLimitedLog({ host: 'host-0' as HostId, level: 'info', clock, sink });
  addLogMetrics(registry, log);
  for (let count = 0; count < 53; count += 1) log.write('call-failed');
  sink.isFull = true;
  log.write('started');
  t.deepEqual(listLines(registry, 'log_lines_dropped'), [
    'bilberryswitch_log_lines_dropped{cause="rate",event="call-failed"} 3',
    'bilberryswitch_log_lines_dropped{cause="unread",event="any"} 1',
  ]);
});
