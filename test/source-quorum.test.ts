/** Three source processes: loss of the leader, of disks and of the quorum. */
import { rmSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import { request } from 'undici';
import type { SourceHost } from '../bench/mesh-plan.js';
import { NAPERNYO_PLAN, RunningMesh } from '../bench/mesh-plan.js';
import { waitFor } from '../bench/mesh.js';
import { LEDGER_GROUPS } from '../src/ledger/index.js';

test('sources lose hosts and disks', async (t) => {
  const mesh = await RunningMesh.start({ ...NAPERNYO_PLAN, services: {} });
  t.teardown(() => mesh.stop());
  const [first, second, third] = mesh.sources as [SourceHost, SourceHost, SourceHost];

  await submit(mesh.sources, 1);
  await kill(first);
  await submit([second, third], 2);
  await loseDisk(mesh, first);
  await waitFor('the first source to be repaired', () => isRepaired(first));
  await kill(second);
  await submit([first, third], 3);
  await loseDisk(mesh, second);
  const notes = await ask(mesh.sources, 'GET', '/notes');
  for (const number of [1, 2, 3]) t.regex(notes, new RegExp(`"number":${number}\\b`));

  await kill(second);
  await kill(third);
  const answerWithoutQuorum = await request(`http://${first.operator}/notes`, { headers: HEADERS });
  t.is(answerWithoutQuorum.statusCode, 503, await answerWithoutQuorum.body.text());
  for (const { process } of mesh.sources)
    t.notRegex(process.output(), /(?:log-message|ledger-message|member-update)-dropped/);
});

const HEADERS = { authorization: 'Bearer mesh-token' };

async function submit(sources: readonly SourceHost[], number: number): Promise<void> {
  const note = `number = ${number}
title = "note ${number}"

[[add]]
kind = "service"
name = "service-${number}"
`;
  await ask(sources, 'POST', '/notes', note);
}

/** Sends the request to the sources in turn until one answers with 200. */
async function ask(
  sources: readonly SourceHost[],
  method: 'GET' | 'POST',
  path: string,
  body: string | null = null,
): Promise<string> {
  let attempts = 0;
  return waitFor(`${method} ${path}`, async () => {
    attempts += 1;
    const source = sources[attempts % sources.length];
    const url = `http://${source?.operator ?? ''}${path}`;
    const answer = await request(url, { method, headers: HEADERS, body });
    const text = await answer.body.text();
    return answer.statusCode === 200 ? text : undefined;
  });
}

async function kill({ process }: SourceHost): Promise<void> {
  const ended = new Promise((resolve) => process.child.once('exit', resolve));
  process.child.kill('SIGKILL');
  await ended;
}

async function loseDisk(mesh: RunningMesh, source: SourceHost): Promise<void> {
  rmSync(join(mesh.mesh.folder, `${source.name}-data`), { recursive: true, force: true });
  mesh.mesh.createFolder(`${source.name}-data`);
  await mesh.restartSource(source);
}

/** Returns whether the last `log-status` line of each log of a source reports it as a voter among three. */
function isRepaired({ process }: SourceHost): true | undefined {
  const lines = process.output().split('\n');
  const statuses = lines.filter((line) => line.includes('"log-status"'));
  const last = new Map(statuses.map((line) => [/"group":"([^"]*)"/.exec(line)?.[1], line]));
  const areRepaired = [...last.values()].every((line) => {
    return line.includes('"isVoter":true,"voters":3');
  });
  return (last.size === 1 + LEDGER_GROUPS && areRepaired) || undefined;
}
