/** Membership of real processes. */
import test from 'ava';
import { request } from 'undici';
import { stopProcess, waitFor } from '../bench/mesh.js';
import { FIRST_NOTE, startSmallMesh } from '../bench/small-mesh.js';

async function readStatus(address: string): Promise<number> {
  const answer = await request(`http://${address}/catalogue/canopies`);
  await answer.body.dump();
  return answer.statusCode;
}

test('server of another proxy: used, then refused after it leaves', async (t) => {
  const { mesh, operator, tokenFile, calls, processes } = await startSmallMesh(3, 1);
  t.teardown(() => mesh.stop());
  const note = mesh.writeFile('note.toml', FIRST_NOTE);
  await mesh.runCommand([
    'note',
    'submit',
    note,
    '--operator',
    operator,
    '--token-file',
    tokenFile,
  ]);
  const [, , third = ''] = calls;
  await waitFor('an answer', async () => (await readStatus(third)) === 200 || undefined);

  const [, first] = processes;
  if (first !== undefined) await stopProcess(first);
  const refused = await waitFor('the leave to arrive', async () => {
    const status = await readStatus(third);
    return status === 200 ? undefined : status;
  });
  t.is(refused, 503);
});
