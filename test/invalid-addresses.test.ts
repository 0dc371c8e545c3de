/** Addresses at which nobody can be reached: no process ends for having heard of one. */
import { createSocket } from 'node:dgram';
import test from 'ava';
import { Packr } from 'msgpackr';
import { waitFor } from '../bench/mesh.js';
import { startSmallMesh } from '../bench/small-mesh.js';
import { encodeUpdate } from '../src/edge/member-codec.js';
import type { Address } from '../src/ids.js';
import { parseAddress, splitAddress } from '../src/ids.js';
import { makeMember } from './call-resources.js';

const PING_REQUEST = 2;
const GOSSIP = 4;
/** Two rounds of probes, each of which goes to one member. */
const ROUNDS_MS = 8_000;
const ODD = ['127.0.0.1:0', '127.0.0.1:00080', '[::::]:80', '[1:2]:80', '1.2.3.08:5', '1.2.3.4:'];
const SOUND = ['127.0.0.1:1', '10.0.0.255:65535', '[::1]:80', '[2001:DB8::7]:7000', '0.0.0.0:9'];

test('address that nobody can have: no address', (t) => {
  for (const text of ODD) t.throws(() => parseAddress(text), undefined, text);
  for (const text of SOUND) t.notThrows(() => parseAddress(text), text);
});

test('odd addresses in datagrams: no process ends', async (t) => {
  const { mesh, nodes } = await startSmallMesh(1, 1);
  t.teardown(() => mesh.stop());
  const peer = createSocket('udp4');
  t.teardown(() => peer.close());
  const packr = new Packr({ useRecords: false });
  const records = ODD.map((control, index) =>
    encodeUpdate({
      kind: 'record',
      member: makeMember(`odd-${index}`, [], { control: control as Address, isSource: true }),
    }),
  );
  for (const node of nodes) {
    const [, control = ''] = /"control":"([^"]+)"/.exec(node.output()) ?? [];
    const { host, port } = splitAddress(control as Address);
    for (const record of records) {
      peer.send(packr.pack([GOSSIP, 'odd', record]), port, host);
    }
    for (const address of ODD) {
      peer.send(packr.pack([PING_REQUEST, 'odd', 1, 'target', address]), port, host);
    }
    await waitFor('a reason', () => node.output().includes('member-update-dropped') || undefined);
  }
  await new Promise((resolve) => setTimeout(resolve, ROUNDS_MS));
  for (const { name, child, output } of nodes) t.is(child.exitCode, null, `${name}: ${output()}`);
});
