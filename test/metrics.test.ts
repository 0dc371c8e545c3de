/** Metrics and their text format. */
import test from 'ava';
import { Counter, DurationSummary, Gauge, MetricsRegistry } from '../src/metrics/index.js';

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

test('gauge reads late', (t) => {
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

test('taken name', (t) => {
  const registry = new MetricsRegistry();
  registry.add(new Counter('x_total', 'X.'));
  t.throws(() => registry.add(new Counter('x_total', 'X.')), { message: /exists already/ });
});
