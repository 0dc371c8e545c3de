// A backend deregisters, its proxy is killed and started again, and a ping that was sent before arrives late.
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS, Mesh, waitFor } from '../lib/mesh.mjs';
import { runCase } from '../lib/run.mjs';
import { Backend, buildConfiguration, call, Operator, send } from '../lib/stand-ins.mjs';

const HOST = 'site.example';
const PATH = '/order/x';
/** After the ack of the deregistration, in milliseconds. */
const KILL_AT_MS = 200;
const START_AT_MS = 700;
const LATE_PING_AT_MS = 2_000;
const EXIT_AT_MS = 7_500;

const mesh = new Mesh({ sidecars: ['shop', 'shop', 'shop', 'shop', 'shop', 'shop'] });

await runCase(import.meta.dirname, mesh, async ({ record, hasTrouble }) => {
  await mesh.start();
  const [, , outbound, , ready, control, app] = mesh.ports;
  const backends = [];
  for (const { ip, service } of mesh.sidecars) {
    const backend = new Backend({
      service,
      ip,
      port: app,
      control: { ip, port: control },
      record,
      workMs: 300,
    });
    await backend.start();
    backends.push(backend);
  }
  const operator = new Operator({ nodes: mesh.cores.map(({ ip }) => ip), port: control, record });
  const first = await operator.replace(
    buildConfiguration(1, 0, { '/order/': 'shop' }, ['shop'], 'unsafe'),
  );
  if (first?.status !== 200) throw new Error('the first configuration was not accepted');
  const isReady =
    ({ ip }) =>
    async () =>
      (await send({ host: ip, port: ready, path: '/readyz' })).status === 200;
  for (const machine of mesh.sidecars) {
    await waitFor(`${machine.node} to be ready`, isReady(machine));
    await waitFor(`${machine.node} to serve`, async () => {
      const { ip } = machine;
      return (
        (await call({ ip, port: outbound, host: HOST, path: PATH, method: 'POST', record }))
          .status === 200
      );
    });
  }
  await wait(4_000);

  const [leaving] = backends;
  const [machine, ...others] = mesh.sidecars;
  const calls = [];
  let isOver = false;
  const traffic = (async () => {
    for (let n = 0; !isOver; n += 1) {
      const { ip } = others[n % others.length];
      calls.push(call({ ip, port: outbound, host: HOST, path: PATH, method: 'POST', record }));
      await wait(12);
    }
  })();
  await wait(1_000);
  const latePing = leaving.buildBeat();
  const ack = await leaving.deregister();
  if (ack.status !== 200) throw new Error('the deregistration was not acknowledged');
  const ackedAt = Date.now();
  record('acked', { backend: leaving.id });
  const until = (ms) => wait(Math.max(0, ackedAt + ms - Date.now()));
  // The rule binds the proxy that was started again once it is in touch.
  let boundMs = 1_000 * BOUNDS.drainTimeoutS;
  if (hasTrouble) {
    await until(KILL_AT_MS);
    await mesh.kill(machine);
    record('killed', { node: machine.node });
    await until(START_AT_MS);
    mesh.startProcess(machine);
    await waitFor(`${machine.node} to be ready`, isReady(machine));
    boundMs = Math.max(boundMs, Date.now() - ackedAt + 1_000 * BOUNDS.contactWindowS);
    record('ready-again', { node: machine.node, afterAckMs: Date.now() - ackedAt, boundMs });
  }
  await until(LATE_PING_AT_MS);
  const answer = await leaving.beat(latePing);
  record('late-ping', { status: answer.status });
  await until(EXIT_AT_MS);
  leaving.stop();
  record('exit', { backend: leaving.id });
  await wait(500);
  isOver = true;
  await traffic;
  const sent = new Map((await Promise.all(calls)).map((one) => [one.id, one]));
  const late = leaving.runs.filter(({ at }) => at > ackedAt + boundMs);
  const lost = late.filter(({ id }) => sent.get(id)?.status !== 200);
  record('late', { count: late.length, withoutAnswerOfTheBackend: lost.length });
  return late.map((run) => ({
    ...run,
    afterAckMs: run.at - ackedAt,
    status: sent.get(run.id)?.status,
  }));
});
