/** A guard that is far away, over real sockets through a slow relay. */
import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import test from 'ava';
import { request } from 'undici';
import { findFreeAddress } from '../bench/mesh.js';
import type { Address } from '../src/ids.js';
import { splitAddress } from '../src/ids.js';
import { CallMesh } from './call-mesh.js';
import { makeKind, makeRoute, makeWhole } from './call-resources.js';
import { answerAfter } from './test-server.js';

const ONE_WAY_MS = 20;
const WHOLE = makeWhole(
  makeKind('short', { idempotent: false, timeoutMs: 400 }),
  makeKind('long', { idempotent: false, timeoutMs: 1_500 }),
  makeRoute('/', 'short'),
  makeRoute('/long', 'long'),
);

/** Relays connections to `target`, and every byte {@link ONE_WAY_MS} late. */
async function startRelay(target: Address): Promise<{ address: Address; close: () => void }> {
  const sockets: Socket[] = [];
  const server = createServer((near) => {
    const { host, port } = splitAddress(target);
    const far = connect(port, host);
    sockets.push(near, far);
    passLate(near, far);
    passLate(far, near);
  });
  const address = (await findFreeAddress()) as Address;
  const { host, port } = splitAddress(address);
  server.listen(port, host);
  await once(server, 'listening');
  const close = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return { address, close };
}

function passLate(from: Socket, to: Socket): void {
  from.on('data', (chunk) => setTimeout(() => to.destroyed || to.write(chunk), ONE_WAY_MS));
  from.on('close', () => to.destroy());
  from.on('error', () => to.destroy());
}

test('refusal of a far guard arrives before the deadline', async (t) => {
  const answers = [undefined, answerAfter(1_200)];
  const mesh = await CallMesh.start({ whole: WHOLE, answers, server: { slots: 1 } });
  t.teardown(() => mesh.stop());
  const entry = mesh.at(0);
  const { member, calls } = mesh.at(1);
  const relay = await startRelay(calls);
  t.teardown(relay.close);
  entry.task.post({ kind: 'member-up', member: { ...member, calls: relay.address } });
  const send = async (path: string): Promise<string> => {
    const { statusCode, headers, body } = await request(`http://${entry.calls}${path}`, {
      method: 'POST',
    });
    await body.dump();
    return `${statusCode} ${String(headers['bilberryswitch-outcome'])}`;
  };
  const first = send('/long');
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.regex(await send('/x'), / not-run$/);
  t.is(mesh.serverAt(1).countRuns(), 1);
  await first;
});
