/** Large answers through proxies whose links carry less than is asked for. */
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import type { Answer } from './stand-in.js';

const LARGE_BYTES = 90_000;
const LINK_BYTES_PER_SECOND = 325_000;
const TIMEOUT_MS = 1_500;

const WHOLE = makeWhole(
  makeKind('download', { largeAnswers: true, timeoutMs: TIMEOUT_MS }),
  makeRoute('/drawings', 'download'),
);

const answerLarge: Answer = (incoming, response) => {
  incoming.resume();
  response.writeHead(200, { 'content-length': LARGE_BYTES });
  response.end(Buffer.alloc(LARGE_BYTES));
};

/** How a call ended: its status and whether the answer was whole, or that it was cut. */
async function download(address: string): Promise<string> {
  try {
    const { statusCode, body } = await request(`http://${address}/drawings/canopy`);
    const { byteLength } = await body.arrayBuffer();
    if (statusCode !== 200) return `${statusCode}`;
    return byteLength === LARGE_BYTES ? 'whole' : 'short';
  } catch {
    return 'cut';
  }
}

function startMesh(): Promise<CallMesh> {
  return CallMesh.start({
    whole: WHOLE,
    answers: [undefined, answerLarge],
    linkBytesPerSecond: LINK_BYTES_PER_SECOND,
  });
}

test('large answers that the link cannot carry: refused whole, not cut', async (t) => {
  const mesh = await startMesh();
  t.teardown(() => mesh.stop());
  const { calls } = mesh.at(0);
  const endings = await Promise.all(Array.from({ length: 20 }, () => download(calls)));
  const whole = endings.filter((ending) => ending === 'whole').length;
  t.true(whole >= 2, endings.join(' '));
  t.is(endings.filter((ending) => ending === '504').length, 20 - whole, endings.join(' '));
  t.is(mesh.serverAt(1).countRuns(), 20);
  await waitFor('an idle proxy', () => mesh.at(1).task.heldAnswers.answers === 0 || undefined);
});
