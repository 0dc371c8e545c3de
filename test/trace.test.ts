/** Traces of calls across real processes. */
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { buildServicesNote } from '../bench/mesh-notes.js';
import { NAPERNYO_PLAN, RunningMesh } from '../bench/mesh-plan.js';
import type { CollectedSpan } from '../bench/span-collector.js';
import { SpanCollector } from '../bench/span-collector.js';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const CALLER_SPAN = 'b7ad6b7169203331';

/** Lists the names of the spans from the root to `span`. */
function listPath(spans: readonly CollectedSpan[], span: CollectedSpan): string[] {
  const parent = spans.find(({ spanId }) => spanId === span.parentSpanId);
  return parent === undefined ? [span.name] : [...listPath(spans, parent), span.name];
}

test('three hops: one trace', async (t) => {
  const collector = await SpanCollector.start();
  const services = { first: 1, second: 1, third: 1 };
  const plan = { ...NAPERNYO_PLAN, sources: 1, services, otlpUrl: collector.url };
  t.teardown(() => {
    collector.stop();
  });
  const running = await RunningMesh.start(plan);
  t.teardown(() => running.stop());
  const note = running.mesh.writeFile('n.toml', buildServicesNote(1, Object.keys(services)));
  const submitted = await running.mesh.runCommand([
    'note',
    'submit',
    note,
    ...running.accessOptions,
  ]);
  t.is(submitted.code, 0, submitted.err);
  const [entry] = running.proxies;
  await waitFor('the three services to answer', async () => {
    const answer = await request(`http://${entry?.calls ?? ''}/first`, {
      headers: { 'x-next': '/second,/third' },
    });
    await answer.body.dump();
    return answer.statusCode === 200 || undefined;
  });
  const answer = await request(`http://${entry?.calls ?? ''}/first`, {
    headers: { 'x-next': '/second,/third', traceparent: `00-${TRACE_ID}-${CALLER_SPAN}-01` },
  });
  await answer.body.dump();
  t.is(answer.statusCode, 200);

  const deepest = await waitFor('the spans of all hops', () => {
    const spans = collector.spans.filter(({ traceId }) => traceId === TRACE_ID);
    const paths = spans.map((span) => listPath(spans, span));
    return paths.find((path) => path.filter((name) => name === 'call').length === 3);
  });
  t.is(deepest[0], 'call');
  const roots = collector.spans.filter(({ parentSpanId }) => parentSpanId === CALLER_SPAN);
  t.is(roots.length, 1);
});
