/** When the reports of sent versions become overdue. */
import test from 'ava';
import { addMs, NEVER } from '../src/clock.js';
import { SentVersions } from '../src/distribution/sent-versions.js';
import type { Digest, Instant, ResourceKey, Version } from '../src/ids.js';
import { NO_VERSION } from '../src/ids.js';
import type { DeltaSpan } from '../src/messages/index.js';

const START = 1_000 as Instant;

function makeSpan(version: number, changes: number): DeltaSpan {
  return {
    after: (version - 1) as Version,
    version: version as Version,
    changes: Array.from({ length: changes }, (_, index) => ({
      op: 'remove',
      key: `route/${index}` as ResourceKey,
    })),
    digest: 'd' as Digest,
  };
}

test('report overdue half a second after a small version', (t) => {
  const sent = new SentVersions();
  sent.add(1 as Version, [makeSpan(1, 1)], START);
  t.is(sent.findOverdue(addMs(START, 500)), NO_VERSION);
  t.is(sent.findOverdue(addMs(START, 501)), 1 as Version);
  t.is(sent.deadline, NEVER);
});

test('large version: proxies get the time to apply it', (t) => {
  const sent = new SentVersions();
  sent.add(1 as Version, [makeSpan(1, 1_600)], START);
  sent.add(2 as Version, [makeSpan(2, 1)], addMs(START, 100));
  t.is(sent.findOverdue(addMs(START, 1_299)), NO_VERSION);
  t.is(sent.findOverdue(addMs(START, 1_300)), 2 as Version);
});
