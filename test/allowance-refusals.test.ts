/** Refusals for want of an allowance: statuses and `Retry-After` on both fronts. */
import type { IncomingMessage } from 'node:http';
import test from 'ava';
import { PlatformCallFront } from '../platform/platform-call-front.js';
import type { Refusal } from '../src/edge/index.js';
import { DefaultCallFront } from '../src/edge/index.js';

const REQUEST = { headers: {} } as unknown as IncomingMessage;
const OVER: Refusal = { reason: 'over-allowance', outcome: 'not-run', retryAfterMs: 20 };
const NONE: Refusal = { reason: 'no-allowance', outcome: 'not-run' };

test('over the allowance: 429 with the time of the next token', (t) => {
  const platform = new PlatformCallFront().buildRefusal(REQUEST, OVER);
  t.is(platform.status, 429);
  t.is(platform.headers['Retry-After'], '0.020');
  const product = new DefaultCallFront().buildRefusal(REQUEST, OVER);
  t.is(product.status, 429);
  t.is(product.headers['retry-after'], '1', 'HTTP has whole seconds');
});

test('no lease: 503, never 429', (t) => {
  const platform = new PlatformCallFront().buildRefusal(REQUEST, NONE);
  t.is(platform.status, 503);
  t.truthy(platform.headers['Retry-After']);
  t.is(new DefaultCallFront().buildRefusal(REQUEST, NONE).status, 503);
});
