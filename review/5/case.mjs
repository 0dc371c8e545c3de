// A request that crashes its backends keeps coming while one proxy is killed once and started again.
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS, Mesh, waitFor } from '../lib/mesh.mjs';
import { runCase } from '../lib/run.mjs';
import { Backend, buildConfiguration, call, Operator, send } from '../lib/stand-ins.mjs';

const HOST = 'site.example';
const CRASHING = '/shop/crash';
/** A backend is back this long after it has crashed. */
const DOWN_MS = 3_000;
const CRASHING_EVERY_MS = 150;
const ORDER_EVERY_MS = 40;
const KILL_AFTER_MS = 6_000;
const START_AFTER_MS = 500;
const WATCH_MS = 50_000;

const mesh = new Mesh({ sidecars: ['shop', 'shop', 'shop', 'shop', 'shop', 'shop'] });

await runCase(import.meta.dirname, mesh, async ({ record, hasTrouble }) => {
  await mesh.start();
  const [, , outbound, , ready, control, app] = mesh.ports;
  const crashes = [];
  const backends = new Map();
  for (const machine of mesh.sidecars) {
    const { ip, service } = machine;
    const backend = new Backend({
      service,
      ip,
      port: app,
      control: { ip, port: control },
      record,
      workMs: 120,
    });
    backend.onRun = (run) => {
      if (run.path !== CRASHING) return;
      const lost = backend.countRunning();
      crashes.push({ ...run, lost, machine });
      record('crash', { node: machine.node, lost });
      backend.crash(DOWN_MS);
    };
    await backend.start();
    backends.set(machine, backend);
  }
  const operator = new Operator({ nodes: mesh.cores.map(({ ip }) => ip), port: control, record });
  const configuration = buildConfiguration(1, 0, { '/shop/': 'shop', '/order/': 'shop' }, ['shop']);
  for (const { metadata, spec } of configuration.resources)
    if (metadata.name === 'r-order') spec.kind = 'unsafe';
  if ((await operator.replace(configuration))?.status !== 200)
    throw new Error('the configuration was not accepted');
  const isReady = async ({ ip }) =>
    (await send({ host: ip, port: ready, path: '/readyz' })).status === 200;
  for (const machine of mesh.sidecars) {
    await waitFor(`${machine.node} to be ready`, () => isReady(machine));
    await waitFor(`${machine.node} to serve`, async () => {
      return (
        (await call({ ip: machine.ip, port: outbound, host: HOST, path: '/shop/x', record }))
          .status === 200
      );
    });
  }
  await wait(4_000);

  const calls = [];
  const away = new Set();
  let isOver = false;
  const repeat = async (everyMs, path, method) => {
    for (let n = 0; !isOver; n += 1) {
      const machine = mesh.sidecars[n % mesh.sidecars.length];
      if (!away.has(machine)) {
        calls.push(call({ ip: machine.ip, port: outbound, host: HOST, path, method, record }));
        await wait(everyMs);
      }
    }
  };
  const traffic = [
    repeat(CRASHING_EVERY_MS, CRASHING, 'GET'),
    repeat(ORDER_EVERY_MS, '/order/x', 'POST'),
  ];
  await wait(KILL_AFTER_MS);
  // A machine whose backend has not crashed.
  const victim = mesh.sidecars.find((machine) => crashes.every((one) => one.machine !== machine));
  if (hasTrouble) {
    away.add(victim);
    await mesh.kill(victim);
    record('killed', { node: victim.node });
    await wait(START_AFTER_MS);
    mesh.startProcess(victim);
    await waitFor(`${victim.node} to be ready`, () => isReady(victim));
    record('ready-again', { node: victim.node });
    away.delete(victim);
  }
  await wait(WATCH_MS);
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
  const retries = new Map(
    late.map(({ id, at, machine, lost }) => [id, { id, at, node: machine.node, lost }]),
  );
  record('retries', { count: retries.size, allowed: 3 });
  return retries.size > 3 ? [...retries.values()] : [];
});
