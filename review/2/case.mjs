// The open connections of the proxies go silent once; long afterwards, a configuration is changed.
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS, Mesh, waitFor } from '../lib/mesh.mjs';
import { runCase } from '../lib/run.mjs';
import { Backend, buildConfiguration, call, Operator, send } from '../lib/stand-ins.mjs';

const HOST = 'site.example';
const PATH = '/moved/x';
/** The order is sent this long after the connections went silent: the machines are in touch again. */
const ORDER_AFTER_MS = 1_000 * BOUNDS.contactWindowS + 500;
const WATCH_MS = 16_000;

const mesh = new Mesh({ sidecars: ['old', 'new', 'old', 'new'] });
const backends = [];

await runCase(import.meta.dirname, mesh, async ({ record, hasTrouble }) => {
  await mesh.start();
  const [, , outbound, , ready, control, app] = mesh.ports;
  for (const machine of mesh.sidecars) {
    const { ip, service } = machine;
    const backend = new Backend({ service, ip, port: app, control: { ip, port: control }, record });
    await backend.start();
    backends.push(backend);
  }
  const operator = new Operator({ nodes: mesh.cores.map(({ ip }) => ip), port: control, record });
  const services = ['old', 'new'];
  const first = await operator.replace(buildConfiguration(1, 0, { '/moved/': 'old' }, services));
  if (first?.status !== 200) throw new Error('the first configuration was not accepted');
  for (const { ip, node } of mesh.sidecars) {
    await waitFor(`${node} to be ready`, async () => {
      return (await send({ host: ip, port: ready, path: '/readyz' })).status === 200;
    });
    await waitFor(`${node} to serve`, async () => {
      return (await call({ ip, port: outbound, host: HOST, path: PATH, record })).status === 200;
    });
  }
  await wait(4_000);
  if (hasTrouble) {
    const proxies = new Set(mesh.sidecars.map(({ bind }) => bind));
    let count = 0;
    for (const { relay, role } of mesh.machines) {
      count += relay.silence(role === 'proxy' ? undefined : (peer) => proxies.has(peer));
    }
    record('silenced', { connections: count });
  }
  await wait(ORDER_AFTER_MS);
  const second = await operator.replace(buildConfiguration(2, 1, { '/moved/': 'new' }, services));
  if (second?.status !== 200) throw new Error('the second configuration was not accepted');
  const inForceAt = second.at + 1_000 * BOUNDS.configApplyS;
  const calls = [];
  while (Date.now() < second.at + WATCH_MS) {
    for (const { ip } of mesh.sidecars) {
      calls.push(call({ ip, port: outbound, host: HOST, path: PATH, record }));
    }
    await wait(200);
  }
  const sent = new Map((await Promise.all(calls)).map((one) => [one.id, one]));
  const runs = backends.flatMap((backend) => backend.runs);
  return runs
    .filter(({ id, service }) => service === 'old' && (sent.get(id)?.sentAt ?? 0) > inForceAt)
    .map((run) => ({
      ...run,
      lateMs: sent.get(run.id).sentAt - inForceAt,
      sentTo: sent.get(run.id).to,
    }));
});
