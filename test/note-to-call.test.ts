/** One path from end to end, as separate processes. */
import test from 'ava';
import { request } from 'undici';
import { waitFor } from '../bench/mesh.js';
import { FIRST_NOTE, startSmallMesh } from '../bench/small-mesh.js';
import type { NoteStatus } from '../src/messages/index.js';

test('note to call', async (t) => {
  const { mesh, operator, tokenFile, calls } = await startSmallMesh();
  t.teardown(() => mesh.stop());
  const access = ['--operator', operator, '--token-file', tokenFile];
  const note = mesh.writeFile('note.toml', FIRST_NOTE);

  const submitted = await mesh.runCommand(['note', 'submit', note, ...access]);
  t.is(submitted.code, 0, submitted.err);

  await waitFor('the note to be in force', async () => {
    const shown = await mesh.runCommand(['note', 'show', '1', ...access, '--json']);
    const status = JSON.parse(shown.out) as NoteStatus;
    return status.inForce && status.coverage.holding === 2 ? true : undefined;
  });

  for (const [index, address] of calls.entries()) {
    const answer = await waitFor('an answer', async () => {
      const one = await request(`http://${address}/catalogue/canopies`, {
        headers: { 'x-nonce': `nonce-${index}` },
      });
      const body = (await one.body.json()) as { nonce: string };
      return one.statusCode === 200 ? body : undefined;
    });
    t.is(answer.nonce, `nonce-${index}`);
  }
});
