/** Encoding of link messages: large messages are deflated, and a body is encoded once for all peers. */
import { deflateRawSync } from 'node:zlib';
import test from 'ava';
import { Packr } from 'msgpackr';
import {
  decodeFrame,
  encodeMessage,
  MAX_FRAME_BYTES,
  MessageEncoder,
} from '../src/edge/link-codec.js';

const NAMES = Array.from({ length: 5_000 }, (_, index) => `route-${index}`);

test('large message is deflated', (t) => {
  const body = { names: NAMES };
  const bytes = encodeMessage('spread', body);
  t.true(bytes.length < NAMES.join('').length / 2);
  t.deepEqual(decodeFrame(bytes), { kind: 'message', channel: 'spread', body });
});

test('same body and channel: encoded once', (t) => {
  const encoder = new MessageEncoder();
  const body = { names: NAMES };
  const bytes = encoder.encode('spread', body);
  t.is(encoder.encode('spread', body), bytes);
  t.deepEqual(encoder.encode('members', body), encodeMessage('members', body));
  t.deepEqual(encoder.encode('spread', undefined), encodeMessage('spread', undefined));
});

test('malformed deflated frames are rejected', (t) => {
  const packr = new Packr({ useRecords: false });
  const bodies = [
    undefined,
    'text',
    Buffer.from('not deflated'),
    deflateRawSync(packr.pack('no pair')),
    deflateRawSync(encodeMessage('spread', { names: NAMES })),
    deflateRawSync(Buffer.alloc(MAX_FRAME_BYTES + 1)),
  ];
  for (const body of bodies) t.throws(() => decodeFrame(packr.pack(['deflated', body])));
});
