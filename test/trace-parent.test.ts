/** The `traceparent` header. */
import test from 'ava';
import { formatTraceParent, parseTraceParent } from '../src/traces/index.js';

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c';
const SPAN_ID = 'b7ad6b7169203331';

test('round trip', (t) => {
  const header = `00-${TRACE_ID}-${SPAN_ID}-01`;
  const context = parseTraceParent(header);
  t.truthy(context);
  if (context) t.is(formatTraceParent(context), header);
});

test('later version is parsed', (t) => {
  t.is(parseTraceParent(`01-${TRACE_ID}-${SPAN_ID}-00-more`)?.spanId, SPAN_ID);
});

for (const header of [
  undefined,
  '',
  `ff-${TRACE_ID}-${SPAN_ID}-01`,
  `00-${'0'.repeat(32)}-${SPAN_ID}-01`,
  `00-${TRACE_ID}-${SPAN_ID}-01-more`,
  `00-${TRACE_ID.toUpperCase()}-${SPAN_ID}-01`,
]) {
  test(`invalid ${header ?? 'absent'}`, (t) => {
    t.is(parseTraceParent(header), undefined);
  });
}
