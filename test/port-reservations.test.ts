/** Ports that test processes pick at the same time. */
import { spawnSync } from 'node:child_process';
import { join } from 'node:path';
import test from 'ava';
import { findFreePort } from '../bench/mesh.js';
import { addReservation } from '../bench/port-reservations.js';

/** Tries to reserve a port in another process; returns whether it succeeded. */
function reserveElsewhere(port: number): boolean {
  const module = join(import.meta.dirname, '..', 'bench', 'port-reservations.js');
  const script = `import(${JSON.stringify(module)}).then(({ addReservation }) => {
    process.exitCode = addReservation(${port}) ? 0 : 1;
  });`;
  return spawnSync(process.execPath, ['-e', script]).status === 0;
}

// Guards against two test files whose processes listen on the same port.
test('found port: reserved for this process', async (t) => {
  const port = await findFreePort();
  t.false(addReservation(port));
  t.false(reserveElsewhere(port));
});

test('reservation ends with its process', async (t) => {
  const port = (await findFreePort()) + PORTS_OF_NO_TEST;
  t.true(reserveElsewhere(port));
  t.true(addReservation(port));
});

/** Beyond the ports that are found. */
const PORTS_OF_NO_TEST = 40_000;
