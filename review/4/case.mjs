// A request that crashes its backends keeps coming while the operator changes the time-out of its route.
import { randomBytes } from 'node:crypto';
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS, Mesh, waitFor } from '../lib/mesh.mjs';
import { runCase } from '../lib/run.mjs';
import { Backend, buildConfiguration, call, Operator, send } from '../lib/stand-ins.mjs';

const HOST = 'site.example';
const CRASHING = '/shop/crash';
/** A backend is back this long after it has crashed. */
const DOWN_MS = 3_000;
const CRASHING_EVERY_MS = 500;
const ORDER_EVERY_MS = 40;
const CHANGES = 7;
const CHANGE_EVERY_MS = 7_000;

const mesh = new Mesh({ sidecars: ['shop', 'shop', 'shop', 'shop', 'shop'] });

await runCase(import.meta.dirname, mesh, async ({ record, hasTrouble }) => {
  await mesh.start();
  const [, , outbound, , ready, control, app] = mesh.ports;
  const crashes = [];
  const backends = mesh.sidecars.map(({ ip, service }) => {
    return new Backend({
      service,
      ip,
      port: app,
      control: { ip, port: control },
      record,
      workMs: 120,
    });
  });
  for (const backend of backends) {
    backend.onRun = (run) => {
      if (run.path !== CRASHING) return;
      const lost = backend.countRunning();
      crashes.push({ ...run, lost });
      record('crash', { backend: run.backend, lost });
      backend.crash(DOWN_MS);
    };
    await backend.start();
  }
  const operator = new Operator({ nodes: mesh.cores.map(({ ip }) => ip), port: control, record });
  const order = async (version, timeoutS) => {
    const configuration = buildConfiguration(
      version,
      version - 1,
      { '/shop/': 'shop', '/order/': 'shop' },
      ['shop'],
    );
    for (const { type, metadata, spec } of configuration.resources) {
      if (type !== 'routes') continue;
      if (metadata.name === 'r-shop') spec.timeoutS = timeoutS;
      else spec.kind = 'unsafe';
    }
    const answer = await operator.replace(configuration);
    if (answer?.status !== 200) throw new Error(`configuration ${version} was not accepted`);
  };
  await order(1, 1.2);
  for (const { ip, node } of mesh.sidecars) {
    await waitFor(`${node} to be ready`, async () => {
      return (await send({ host: ip, port: ready, path: '/readyz' })).status === 200;
    });
    await waitFor(`${node} to serve`, async () => {
      return (
        (await call({ ip, port: outbound, host: HOST, path: '/shop/x', record })).status === 200
      );
    });
  }
  await wait(4_000);

  const calls = [];
  let isOver = false;
  const repeat = async (everyMs, path, method) => {
    for (let n = 0; !isOver; n += 1) {
      const { ip } = mesh.sidecars[n % mesh.sidecars.length];
      calls.push(call({ ip, port: outbound, host: HOST, path, method, record }));
      await wait(everyMs);
    }
  };
  const traffic = [
    repeat(CRASHING_EVERY_MS, CRASHING, 'GET'),
    repeat(ORDER_EVERY_MS, '/order/x', 'POST'),
  ];
  for (let n = 0; n < CHANGES; n += 1) {
    await wait(CHANGE_EVERY_MS);
    if (hasTrouble) await order(n + 2, 1.2 + (n + 1) / 10);
  }
  await wait(CHANGE_EVERY_MS);
  isOver = true;
  await Promise.all(traffic);
  const sent = new Map((await Promise.all(calls)).map((one) => [one.id, one]));

  const third = crashes[2];
  record('crashes', {
    count: crashes.length,
    ordersCut: crashes.reduce((sum, { lost }) => sum + lost, 0),
  });
  if (third === undefined) return [];
  const countedFrom = third.at + 1_000 * BOUNDS.contactWindowS;
  const late = crashes.filter(({ id }) => sent.get(id).sentAt > countedFrom);
  // One retry of a client may reach two backends; it counts once.
  const retries = new Map(late.map((one) => [one.id, one]));
  record('retries', { count: retries.size, allowed: 3 });
  return retries.size > 3 ? [...retries.values()] : [];
});
