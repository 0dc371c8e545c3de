// A core machine is replaced; seconds after its successor has caught up, two others lose their disks.
// TROUBLE=disks loses the two disks without the replacement, to compare.
import { setTimeout as wait } from 'node:timers/promises';
import { BOUNDS, Mesh, waitFor } from '../lib/mesh.mjs';
import { runCase } from '../lib/run.mjs';
import { buildConfiguration, Operator, send } from '../lib/stand-ins.mjs';

/** How long a new core machine counts as lost after its start. */
const CATCH_UP_MS = 4_000;
const MARGIN_MS = 1_500;
const RECOVERY_MS = 15_000;
const SUCCESSOR_AFTER_MS = 1_000;
const DOWN_MS = 1_000;
const WATCH_MS = 30_000;

const mesh = new Mesh({ spares: 1, sidecars: ['shop', 'shop'] });

await runCase(import.meta.dirname, mesh, async ({ record, hasTrouble }) => {
  const replaces = hasTrouble && process.env.TROUBLE !== 'disks';
  await mesh.start();
  const [, , , , ready, control] = mesh.ports;
  const successor = mesh.cores.find(({ isSpare }) => isSpare);
  const cores = mesh.cores.filter(({ isSpare }) => !isSpare);
  const operator = new Operator({ nodes: cores.map(({ ip }) => ip), port: control, record });
  const change = async (version) => {
    const answer = await operator.replace(
      buildConfiguration(version, version - 1, { '/shop/': 'shop' }, ['shop']),
    );
    if (answer?.status !== 200) throw new Error(`configuration ${version} was not accepted`);
    record('acked', { version, by: answer.by });
  };
  await change(1);
  for (const { ip, node } of mesh.sidecars) {
    await waitFor(`${node} to be ready`, async () => {
      return (await send({ host: ip, port: ready, path: '/readyz' })).status === 200;
    });
  }
  await wait(4_000);

  const gone = cores[4];
  if (replaces) {
    await mesh.kill(gone);
    record('gone', { node: gone.node });
    await wait(SUCCESSOR_AFTER_MS);
    mesh.startProcess(successor);
    record('successor', { node: successor.node });
    operator.nodes = [...cores.slice(0, 4), successor].map(({ ip }) => ip);
    await wait(CATCH_UP_MS + MARGIN_MS);
  } else {
    await wait(SUCCESSOR_AFTER_MS + CATCH_UP_MS + MARGIN_MS);
  }
  // The successor no longer counts as lost, and the machine that it replaces does not either.
  await change(2);
  if (hasTrouble) {
    const lost = cores.slice(0, 2);
    await Promise.all(lost.map((machine) => mesh.kill(machine)));
    for (const machine of lost) mesh.loseDisk(machine);
    record('disks-lost', { nodes: lost.map(({ node }) => node) });
    await wait(DOWN_MS);
    for (const machine of lost) mesh.startProcess(machine);
    record('back', { nodes: lost.map(({ node }) => node) });
  }
  const backAt = Date.now();
  let readAt;
  let version;
  while (Date.now() < backAt + WATCH_MS && readAt === undefined) {
    const answer = await operator.read(1_000);
    if (answer?.status !== 200) continue;
    readAt = Date.now();
    version = JSON.parse(answer.text).version;
  }
  record('read', { afterMs: readAt === undefined ? undefined : readAt - backAt, version });
  if (readAt === undefined)
    return [{ seen: `no configuration came in ${WATCH_MS} ms`, expected: 'r2' }];
  if (version !== 'r2') return [{ seen: version, expected: 'r2' }];
  const limitMs = RECOVERY_MS + 1_000 * BOUNDS.contactWindowS;
  return readAt - backAt > limitMs
    ? [{ seen: `r2 came after ${readAt - backAt} ms`, limitMs }]
    : [];
});
